//! Leases on primaries and their replacement, for groups whose primary acknowledges writes
//! without waiting for replicas.
//!
//! The instances elect one leader through a record in the platform's store. The leader grants
//! every instance a lease of [`LeaseSettings::lease`] on each group's primary. Before it
//! replaces a primary, it waits until each instance has confirmed that it stopped using the
//! primary or until that instance's lease has expired. Groups whose servers elect their primary
//! by majority don't use this module: see [`failover`](crate::failover).

mod change_cause;
mod claim_order;
mod commit_check;
mod confirming_replicas;
mod control_schedule;
mod election_step;
mod epoch_digest;
mod epoch_members;
mod era_error;
mod failure_detector;
mod grant_limit;
mod group_epoch;
mod group_leases;
mod held_leadership;
mod held_leases;
mod leader_election;
mod leader_record;
mod leadership_change;
mod leadership_state;
mod leadership_term;
mod lease_demand;
mod lease_grant;
mod lease_response;
mod lease_settings;
mod newest_era;
mod observed_record;
mod primary_evidence;
mod promotion_orders;
mod record_revision;
mod setup_quorum;
mod store_era;
mod successor_choice;
mod successor_search;
mod unreadable_record;
mod voter;
mod voter_acks;
mod voter_choice;
mod wait_decision;
mod warm_successor;

pub use change_cause::ChangeCause;
pub use claim_order::ClaimOrder;
pub use commit_check::CommitCheck;
pub use confirming_replicas::ConfirmingReplicas;
pub use control_schedule::ControlSchedule;
pub use election_step::ElectionStep;
pub use epoch_digest::EpochDigest;
pub use epoch_members::EpochMembers;
pub use era_error::EraError;
pub use failure_detector::FailureDetector;
pub use grant_limit::GrantLimit;
pub use group_epoch::GroupEpoch;
pub use group_leases::{GroupLeases, GroupPhase};
pub use held_leases::{EpochState, HeldLeases};
pub use leader_election::LeaderElection;
pub use leader_record::LeaderRecord;
pub use leadership_change::LeadershipChange;
pub use leadership_state::LeadershipState;
pub use leadership_term::LeadershipTerm;
pub use lease_demand::LeaseDemand;
pub use lease_grant::LeaseGrant;
pub use lease_response::LeaseResponse;
pub use lease_settings::LeaseSettings;
pub use newest_era::NewestEra;
pub use observed_record::ObservedRecord;
pub use primary_evidence::PrimaryEvidence;
pub use promotion_orders::{OrderOutcome, PromotionOrders};
pub use record_revision::RecordRevision;
pub use setup_quorum::SetupQuorum;
pub use store_era::StoreEra;
pub use successor_choice::{ServerStatus, SuccessorChoice};
pub use successor_search::SuccessorSearch;
pub use voter::Voter;
pub use voter_choice::{VoterCandidate, VoterChoice};
pub use wait_decision::WaitDecision;
