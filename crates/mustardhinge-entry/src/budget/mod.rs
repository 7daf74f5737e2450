//! Customers' budgets: what may be admitted here, and the calls that ask for more.

mod budget_table;
mod customer_budget;

pub use budget_table::BudgetTable;
pub use customer_budget::CustomerBudget;
