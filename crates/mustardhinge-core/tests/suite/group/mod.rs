//! A database group as pure state, driven by random schedules.

mod group_harness;
mod instance_model;
mod model_group;
mod planted_fault;
mod rule_checker;
mod schedule_step;

pub(crate) use group_harness::GroupHarness;
use instance_model::InstanceModel;
pub(crate) use model_group::{ModelGroup, index_of, target};
pub(crate) use planted_fault::PlantedFault;
use rule_checker::RuleChecker;
pub(crate) use schedule_step::{ScheduleStep, schedule};
