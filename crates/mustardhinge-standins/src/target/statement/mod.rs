//! The few statements that the stand-in understands, and their parser.

mod call_function;
mod sql_statement;
mod sql_token;
mod statement_parser;
mod text_operand;
mod token_reader;

pub use call_function::CallFunction;
pub use sql_statement::SqlStatement;
pub use statement_parser::parse_statements;
pub use text_operand::TextOperand;
