//! Customers' budgets: what may be admitted here, and the calls that ask for more.

mod agent_client;
mod budget_table;
mod customer_budget;

pub use agent_client::AgentClient;
pub use budget_table::BudgetTable;
pub use customer_budget::CustomerBudget;
