//! Reports of where an instance would route a request at this moment, and why. They are data only:
//! the resident process fills them in, and the command line prints them.

mod admission_report;
mod candidate_report;
mod configuration_report;
mod explain_outcome;
mod explain_query;
mod explain_report;
mod explain_step;
mod floor_report;
mod floor_state;
mod gateway_report;
mod gateway_state;
mod lease_report;
mod lease_state;
mod query_error;
mod query_fault;
mod rate_report;
mod rate_state;
mod request_kind;
mod target_path;
mod wait_report;
mod wait_source;

pub use admission_report::AdmissionReport;
pub use candidate_report::CandidateReport;
pub use configuration_report::ConfigurationReport;
pub use explain_outcome::ExplainOutcome;
pub use explain_query::ExplainQuery;
pub use explain_report::ExplainReport;
pub use explain_step::ExplainStep;
pub use floor_report::FloorReport;
pub use floor_state::FloorState;
pub use gateway_report::GatewayReport;
pub use gateway_state::GatewayState;
pub use lease_report::LeaseReport;
pub use lease_state::LeaseState;
pub use query_error::QueryError;
pub use query_fault::QueryFault;
pub use rate_report::RateReport;
pub use rate_state::RateState;
pub use request_kind::RequestKind;
pub use target_path::TargetPath;
pub use wait_report::WaitReport;
pub use wait_source::WaitSource;
