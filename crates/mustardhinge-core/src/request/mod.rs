//! How a request may end: what was sent, what was proved, what was recorded.

mod not_run_proof;
mod record_decision;
mod recorded_request;
mod sent_request;
mod unsent_request;

pub use not_run_proof::NotRunProof;
pub use record_decision::RecordDecision;
pub use recorded_request::RecordedRequest;
pub use sent_request::SentRequest;
pub use unsent_request::UnsentRequest;
