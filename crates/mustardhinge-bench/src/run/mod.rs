//! Runs of the product's own code against the stand-ins, with faults.

mod baseline_name;
mod bench_run;
mod commit_reader;
mod configuration_observer;
mod direct_probe;
mod fault_injector;
mod fault_name;
mod fleet;
mod fleet_faults;
mod fleet_group;
mod fleet_instance;
mod group_observer;
mod instance_runtime;
mod observed_group;
mod operator_race;
mod report_builder;
mod run_plan;
mod service_text;
mod thread_usage;

pub use baseline_name::BaselineName;
pub use bench_run::{BenchRun, RunOutcome};
pub use commit_reader::{count_reads, read_commits};
pub use configuration_observer::ConfigurationObserver;
pub use fault_injector::FaultInjector;
pub use fault_name::FaultName;
pub use fleet::Fleet;
pub use fleet_group::FleetGroup;
pub use fleet_instance::FleetInstance;
pub use group_observer::GroupObserver;
pub use instance_runtime::InstanceRuntime;
pub use observed_group::ObservedGroup;
pub use run_plan::RunPlan;
pub use service_text::ServiceText;
pub use thread_usage::read_thread_cpu;
