//! An in-memory model of a database group, driven by random schedules.

mod group_harness;
mod injected_fault;
mod instance_model;
mod invariant_checker;
mod model_group;
mod schedule_step;

pub(crate) use group_harness::GroupHarness;
pub(crate) use injected_fault::InjectedFault;
use instance_model::InstanceModel;
use invariant_checker::InvariantChecker;
pub(crate) use model_group::{ModelGroup, index_of, target};
pub(crate) use schedule_step::{ScheduleStep, schedule};
