//! The served configuration (routes, customers and services) and the entries of the targets.

mod plan_customer;
mod plan_route;
mod read_rule;
mod serving_plan;
mod target_entry;
mod targets_digest;

pub use plan_customer::PlanCustomer;
pub use plan_route::PlanRoute;
pub use read_rule::ReadRule;
pub use serving_plan::{PlanParts, ServingPlan};
pub use target_entry::TargetEntry;
pub use targets_digest::TargetsDigest;
