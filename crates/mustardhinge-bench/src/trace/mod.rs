//! Recorded inputs with times, replayed into the decisions of `mustardhinge-core`.
//!
//! A trace is a file of JSON lines. The first is a header:
//!
//! ```json
//! {"format":"mustardhinge-trace","version":1,"decision":"ack_tracker","setup":{}}
//! ```
//!
//! Each further line is one input with its time in microseconds since the
//! start of the trace:
//!
//! ```json
//! {"at_us":1000,"input":{"kind":"expire"}}
//! ```
//!
//! The expected outcomes are a file of JSON lines as well: for each input its
//! time and the actions that the decision took, as text.

mod ack_decision;
mod adoption_decision;
mod failover_decision;
mod floor_decision;
mod parse_report;
mod proof_decision;
mod queue_decision;
mod replay_difference;
mod replay_step;
mod trace_decision;
mod trace_header;
mod trace_input;
mod trace_replay;

pub use ack_decision::{AckDecision, AckInput, AckSetup};
pub use adoption_decision::{AdoptionDecision, AdoptionInput, AdoptionSetup};
pub use failover_decision::{FailoverDecision, FailoverInput, FailoverSetup};
pub use floor_decision::{FloorDecision, FloorInput, FloorSetup};
pub use proof_decision::{ProofDecision, ProofInput, ProofSetup};
pub use queue_decision::{QueueDecision, QueueInput, QueueSetup};
pub use replay_difference::{ReplayDifference, compare_steps};
pub use replay_step::ReplayStep;
pub use trace_decision::TraceDecision;
pub use trace_header::TraceHeader;
pub use trace_input::TraceInput;
pub use trace_replay::{read_steps, replay_trace, write_steps};
