//! Reports of where this instance would route a request at this moment, and why.
//!
//! The report is built from the decision functions of the request path, without any effect: nothing
//! is sent, used, drawn or counted.

mod choice_walk;
mod explain_context;
mod explain_request;
mod lease_step;
mod millis;
mod primary_choice;
mod rate_step;
mod read_candidates;
mod read_choice;
mod step_decision;
mod target_choice;
mod target_rows;

pub use explain_request::explain_request;
