//! The use of a primary under a lease, and its replacement, for groups whose primary
//! acknowledges alone.
//!
//! One instance at a time holds the duty to replace primaries. It lends every
//! instance the use of each group's primary for [`PrimacySettings::lease`]; before it
//! replaces a primary it takes the word of the instances that they stopped using it, and
//! waits out the leases of those that it can't reach. Groups with a majority among their
//! own servers need none of this: see [`failover`](crate::failover).

mod change_cause;
mod control_pace;
mod duty_claim;
mod duty_record;
mod duty_step;
mod duty_voter;
mod epoch_digest;
mod epoch_grant;
mod group_desk;
mod group_epoch;
mod held_duty;
mod lease_book;
mod lease_round;
mod outage_forecast;
mod primacy_settings;
mod primary_evidence;
mod record_revision;
mod record_sighting;
mod successor_choice;
mod suspicion_board;
mod voter_choice;
mod voter_lists;

pub use change_cause::ChangeCause;
pub use control_pace::ControlPace;
pub use duty_claim::DutyClaim;
pub use duty_record::DutyRecord;
pub use duty_step::DutyStep;
pub use duty_voter::DutyVoter;
pub use epoch_digest::EpochDigest;
pub use epoch_grant::EpochGrant;
pub use group_desk::{DeskPhase, GroupDesk};
pub use group_epoch::GroupEpoch;
pub use lease_book::{EpochState, LeaseBook};
pub use lease_round::LeaseRound;
pub use outage_forecast::OutageForecast;
pub use primacy_settings::PrimacySettings;
pub use primary_evidence::PrimaryEvidence;
pub use record_revision::RecordRevision;
pub use record_sighting::RecordSighting;
pub use successor_choice::{ServerStanding, SuccessorChoice};
pub use suspicion_board::SuspicionBoard;
pub use voter_choice::{VoterCandidate, VoterChoice};
