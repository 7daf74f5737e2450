//! Promotion of a new primary after a failure or for a planned switchover.

mod attempt_plan;
mod attempt_progress;
mod attempt_step;
mod claim_outcome;
mod delay_discount;
mod election_attempt;
mod election_context;
mod election_driver;
mod failover_action;
mod failover_cause;
mod failover_event;
mod failover_machine;
mod failover_phase;
mod failover_settings;
mod failover_timeline;
mod fence_tally;
mod follow_plan;
mod group_monitor;
mod primary_diagnosis;
mod primary_watch;
mod publish_task;
mod switchover_refusal;

pub use claim_outcome::ClaimOutcome;
pub use failover_action::FailoverAction;
pub use failover_cause::FailoverCause;
pub use failover_event::FailoverEvent;
pub use failover_machine::FailoverMachine;
pub use failover_phase::FailoverPhase;
pub use failover_settings::FailoverSettings;
pub use failover_timeline::FailoverTimeline;
pub use fence_tally::FenceTally;
pub use switchover_refusal::SwitchoverRefusal;

use attempt_plan::AttemptPlan;
use attempt_progress::AttemptProgress;
use attempt_step::AttemptStep;
use election_attempt::ElectionAttempt;
use election_context::ElectionContext;
use election_driver::ElectionDriver;
use follow_plan::FollowPlan;
use group_monitor::GroupMonitor;
use primary_diagnosis::PrimaryDiagnosis;
use primary_watch::PrimaryWatch;
use publish_task::PublishTask;
