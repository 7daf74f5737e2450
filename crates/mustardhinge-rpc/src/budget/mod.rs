//! Requests that the agent grants to the entry out of a customer's rate and burst.

mod budget_grant;
mod budget_request;

pub use budget_grant::BudgetGrant;
pub use budget_request::BudgetRequest;
