use std::time::{Duration, Instant};

use super::{ProcessUsage, SlopePoint};
use crate::load::{DeploymentName, DeploymentProfile};
use crate::run::{Fleet, read_thread_cpu};

/// The numbers of agents measured.
const AGENT_COUNTS: [u32; 4] = [7, 20, 50, 100];

/// How long a fleet settles before it is watched.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// How long a fleet is watched.
const WATCH_TIME: Duration = Duration::from_secs(6);

/// Measures agents at rest, as tasks, with three groups and no callers.
pub(super) fn measure_agents() -> anyhow::Result<Vec<SlopePoint>> {
    AGENT_COUNTS.into_iter().map(measure_count).collect()
}

fn measure_count(count: u32) -> anyhow::Result<SlopePoint> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut profile = DeploymentProfile::of(DeploymentName::Muscat);
    profile.instances = count;
    let before = ProcessUsage::read_own()?.resident_bytes;
    let fleet = runtime.block_on(Fleet::start_agents(profile))?;
    std::thread::sleep(SETTLE_TIME);
    let calls_before = fleet.platform.calls().total();
    let cpu_before = read_thread_cpu("agent");
    let watch = Instant::now();
    std::thread::sleep(WATCH_TIME);
    let seconds = watch.elapsed().as_secs_f64();
    let calls = u32::try_from(fleet.platform.calls().total() - calls_before)?;
    let cpu = read_thread_cpu("agent")
        .saturating_sub(cpu_before)
        .as_secs_f64();
    let after = ProcessUsage::read_own()?.resident_bytes;
    let grown = u32::try_from(after.saturating_sub(before))?;
    runtime.block_on(fleet.end());
    runtime.shutdown_background();
    Ok(SlopePoint {
        slope: "agents".to_owned(),
        unit: "agent at rest (processor time: of one agent, a second)".to_owned(),
        size: count.into(),
        cpu_us_per_operation: Some(cpu * 1e6 / seconds / f64::from(count)),
        bytes_per_unit: Some(f64::from(grown) / f64::from(count)),
        platform_calls_per_s: Some(f64::from(calls) / seconds),
    })
}
