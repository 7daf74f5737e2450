//! Server reports, majorities, write acknowledgement and read floors of a group.
//!
//! A read floor is a log position at or past every write acknowledged before
//! the read arrived; any server that has applied it can serve the read.

mod ack_failure;
mod ack_key;
mod ack_outcome;
mod ack_status;
mod ack_tracker;
mod floor_action;
mod floor_history;
mod floor_round;
mod floor_settings;
mod floor_tracker;
mod group_members;
mod group_view;
mod quorum_floor;
mod report_error;
mod round_number;
mod server_report;
mod server_role;
mod term_progress;
mod timed_report;

pub use ack_failure::AckFailure;
pub use ack_key::AckKey;
pub use ack_outcome::AckOutcome;
pub use ack_status::AckStatus;
pub use ack_tracker::AckTracker;
pub use floor_action::FloorAction;
pub use floor_history::FloorHistory;
pub use floor_settings::FloorSettings;
pub use floor_tracker::FloorTracker;
pub use group_members::GroupMembers;
pub use group_view::GroupView;
pub use quorum_floor::quorum_floor;
pub use report_error::ReportError;
pub use round_number::RoundNumber;
pub use server_report::ServerReport;
pub use server_role::ServerRole;
pub use timed_report::TimedReport;

use floor_round::FloorRound;
use term_progress::TermProgress;
