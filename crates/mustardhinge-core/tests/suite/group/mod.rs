//! A database group as pure state, driven by random schedules.

mod group_harness;
mod model_group;
mod planted_fault;
mod schedule_step;

pub(crate) use group_harness::GroupHarness;
pub(crate) use model_group::{ModelGroup, index_of, target};
pub(crate) use planted_fault::PlantedFault;
pub(crate) use schedule_step::{ScheduleStep, schedule};
