//! Customer budgets of the entry: admission of requests and requests for further
//! grants.

mod budget_table;
mod customer_budget;

pub use budget_table::BudgetTable;
pub use customer_budget::CustomerBudget;
