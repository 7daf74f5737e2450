//! The lifecycle of a request, from arrival to its outcome.
//!
//! [`UnsentRequest`] and [`SentRequest`] are typestates: a request that may have reached
//! a target can be refused only with a [`NotRunProof`]. A [`RecordedRequest`] lets a
//! retry with the same id return the recorded response.

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
