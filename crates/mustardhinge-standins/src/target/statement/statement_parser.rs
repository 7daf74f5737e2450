use super::sql_token::SqlToken;
use super::token_reader::TokenReader;
use super::{CallFunction, SqlStatement, TextOperand};

/// Parses statements separated by semicolons; none if one is not understood.
#[must_use]
pub fn parse_statements(text: &str) -> Option<Vec<SqlStatement>> {
    let tokens = TokenReader::new(text).read_all()?;
    tokens
        .split(|token| *token == SqlToken::Symbol(';'))
        .filter(|part| !part.is_empty())
        .map(|part| StatementParser { tokens: part }.parse())
        .collect()
}

/// Parses the tokens of one statement.
struct StatementParser<'a> {
    tokens: &'a [SqlToken],
}

impl StatementParser<'_> {
    fn parse(mut self) -> Option<SqlStatement> {
        let statement = match self.word()? {
            "begin" | "start" => return Some(SqlStatement::Begin),
            "commit" | "end" => return Some(SqlStatement::Commit),
            "rollback" | "abort" => return Some(SqlStatement::Rollback),
            "discard" => self.keyword("all").map(|()| SqlStatement::DiscardAll),
            "insert" => self.insert(),
            "update" => self.update(),
            "delete" => self.delete(),
            "select" => self.select(),
            _ => None,
        }?;
        self.tokens.is_empty().then_some(statement)
    }

    fn insert(&mut self) -> Option<SqlStatement> {
        self.keyword("into")?;
        let table = self.word()?.to_owned();
        self.symbol('(')?;
        self.keyword("k")?;
        self.symbol(',')?;
        self.keyword("v")?;
        self.symbol(')')?;
        self.keyword("values")?;
        let values = self.operand_list()?;
        let [key, value] = <[TextOperand; 2]>::try_from(values).ok()?;
        let skip_present = self.keyword("on").is_some();
        if skip_present {
            self.keyword("conflict")?;
            self.keyword("do")?;
            self.keyword("nothing")?;
        }
        Some(SqlStatement::Insert {
            table,
            key,
            value,
            skip_present,
        })
    }

    fn update(&mut self) -> Option<SqlStatement> {
        let table = self.word()?.to_owned();
        self.keyword("set")?;
        self.keyword("v")?;
        self.symbol('=')?;
        let value = self.operand()?;
        let key = self.key_condition()?;
        Some(SqlStatement::Update { table, key, value })
    }

    fn delete(&mut self) -> Option<SqlStatement> {
        self.keyword("from")?;
        let table = self.word()?.to_owned();
        let key = self.key_condition()?;
        Some(SqlStatement::Delete { table, key })
    }

    fn select(&mut self) -> Option<SqlStatement> {
        if let Some(operand) = self.operand() {
            return Some(SqlStatement::SelectLiteral(operand));
        }
        let first = self.word()?.to_owned();
        if self.tokens.first() == Some(&SqlToken::Symbol('(')) {
            let function = CallFunction::from_name(&first)?;
            let arguments = self.operand_list()?;
            return Some(SqlStatement::Call {
                function,
                arguments,
            });
        }
        let mut columns = vec![first];
        while self.symbol(',').is_some() {
            columns.push(self.word()?.to_owned());
        }
        if columns.iter().any(|column| column != "k" && column != "v") {
            return None;
        }
        self.keyword("from")?;
        let table = self.word()?.to_owned();
        let key = if self.tokens.is_empty() {
            None
        } else {
            Some(self.key_condition()?)
        };
        Some(SqlStatement::SelectRows {
            columns,
            table,
            key,
        })
    }

    fn key_condition(&mut self) -> Option<TextOperand> {
        self.keyword("where")?;
        self.keyword("k")?;
        self.symbol('=')?;
        self.operand()
    }

    fn operand_list(&mut self) -> Option<Vec<TextOperand>> {
        self.symbol('(')?;
        let mut operands = Vec::new();
        while self.symbol(')').is_none() {
            if !operands.is_empty() {
                self.symbol(',')?;
            }
            operands.push(self.operand()?);
        }
        Some(operands)
    }

    fn operand(&mut self) -> Option<TextOperand> {
        let (first, rest) = self.tokens.split_first()?;
        let operand = match first {
            SqlToken::Text(text) | SqlToken::Number(text) => TextOperand::Literal(text.clone()),
            SqlToken::Parameter(number) => TextOperand::Parameter(*number),
            SqlToken::Word(_) | SqlToken::Symbol(_) => return None,
        };
        self.tokens = rest;
        Some(operand)
    }

    fn word(&mut self) -> Option<&str> {
        let (SqlToken::Word(word), rest) = self.tokens.split_first()? else {
            return None;
        };
        self.tokens = rest;
        Some(word)
    }

    fn keyword(&mut self, expected: &str) -> Option<()> {
        let (first, rest) = self.tokens.split_first()?;
        if *first != SqlToken::Word(expected.to_owned()) {
            return None;
        }
        self.tokens = rest;
        Some(())
    }

    fn symbol(&mut self, expected: char) -> Option<()> {
        let (first, rest) = self.tokens.split_first()?;
        if *first != SqlToken::Symbol(expected) {
            return None;
        }
        self.tokens = rest;
        Some(())
    }
}
