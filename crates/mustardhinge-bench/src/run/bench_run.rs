use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;

use super::direct_probe::{AddedLatency, measure_added_latency};
use super::report_builder::{MeasuredFigures, build_report};
use super::thread_usage::read_thread_cpu;
use super::{
    BaselineName, ConfigurationObserver, FaultInjector, Fleet, GroupObserver, ObservedGroup,
    RunPlan, count_reads, read_commits,
};
use crate::check::check_key_secrecy;
use crate::history::{
    CustomerLimit, OperationKind, OperationRecord, OperationResult, PromotionRecord, RunHistory,
    TargetBytes,
};
use crate::load::{
    CallerSession, CustomerProfile, DeploymentProfile, LoadPlanner, SessionClock, SessionPlan,
};
use crate::report::RunReport;

/// The time between the start of the clock and that of the load.
const LEAD_TIME: Duration = Duration::from_millis(1_000);

/// The time after the load in which late operations are still sent.
const GRACE: Duration = Duration::from_secs(2);

/// The time in which the targets come to rest after the load.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// One run: the fleet, the load, the faults, the checks.
#[derive(Clone, Debug)]
pub struct BenchRun {
    plan: RunPlan,
}

/// What a run yields.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// The figures and violations.
    pub report: RunReport,
    /// What was recorded.
    pub history: RunHistory,
}

impl BenchRun {
    /// Prepares a run.
    #[must_use]
    pub fn new(plan: RunPlan) -> Self {
        Self { plan }
    }

    /// Runs the load and checks what was recorded.
    ///
    /// # Errors
    ///
    /// Fails if the fleet can't be started or a fault not be caused.
    pub async fn run(self) -> anyhow::Result<RunOutcome> {
        if self.plan.baseline == Some(BaselineName::FirstCome) {
            bail!("the baseline first-come can't be run yet");
        }
        let mut profile = DeploymentProfile::of(self.plan.deployment);
        profile.has_priorities = self.plan.priorities;
        let plans = LoadPlanner::new(&profile, self.plan.seed, self.plan.duration).plan();
        let rows = group_rows(&plans);
        let fleet = Fleet::start(profile, self.plan.baseline, &rows).await?;
        let fleet = Arc::new(fleet);
        let first_row = rows.values().flatten().next().map(|(key, _)| key.as_str());
        let added = measure_added_latency(&fleet, first_row.unwrap_or_default()).await?;
        let outcome = self.drive(&fleet, plans, &rows, added).await;
        if let Some(fleet) = Arc::into_inner(fleet) {
            fleet.end().await;
        }
        outcome
    }

    async fn drive(
        &self,
        fleet: &Arc<Fleet>,
        plans: Vec<SessionPlan>,
        rows: &BTreeMap<ServiceId, Vec<(String, String)>>,
        added: AddedLatency,
    ) -> anyhow::Result<RunOutcome> {
        let clock = ProcessClock::start();
        let start = clock.now() + LEAD_TIME;
        let clock = SessionClock {
            clock,
            start,
            end: start + self.plan.duration + GRACE,
        };
        let observers: Vec<GroupObserver> = fleet
            .groups
            .iter()
            .map(|group| GroupObserver::start(group.targets.clone(), clock.clock))
            .collect();
        let configuration = ConfigurationObserver::start(Arc::clone(fleet), clock.clock);
        let calls_before = fleet.platform.calls().total();
        let cpu_before = read_thread_cpu("agent");
        let mut injector = FaultInjector::new(Arc::clone(fleet), clock);
        let (operations, injected) =
            tokio::join!(send_load(fleet, plans, clock), injector.run(&self.plan));
        injected.context("causing the faults")?;
        let load_time = clock.now().saturating_since(start);
        let platform_calls = fleet.platform.calls().total() - calls_before;
        let agent_cpu = read_thread_cpu("agent").saturating_sub(cpu_before);
        tokio::time::sleep(SETTLE_TIME).await;
        injector.count_late_work();
        let mut history = RunHistory {
            operations: operations?,
            limits: list_limits(&fleet.profile),
            withdrawals: std::mem::take(&mut injector.withdrawals),
            updates: std::mem::take(&mut injector.updates),
            sightings: configuration.finish().await?,
            stops: std::mem::take(&mut injector.stops),
            leaving: std::mem::take(&mut injector.leaving),
            faults: std::mem::take(&mut injector.faults),
            ..RunHistory::default()
        };
        history.operations.extend(record_first_rows(rows)?);
        let mut measured = MeasuredFigures {
            platform_calls,
            load_time,
            agent_cpu,
            agents: fleet.profile.instances,
            added: Some(added),
            ..MeasuredFigures::default()
        };
        for (group, observer) in fleet.groups.iter().zip(observers) {
            let observed = observer.finish().await?;
            history.commits.extend(read_commits(group, &observed));
            history.promotions.extend(list_promotions(group, &observed));
            let (replica, all) = count_reads(group, &observed);
            measured.replica_reads += replica;
            measured.reads += all;
        }
        let mut report = build_report(&self.plan, &history, &measured);
        report.violations.extend(scan_for_keys(fleet));
        Ok(RunOutcome { report, history })
    }
}

async fn send_load(
    fleet: &Fleet,
    plans: Vec<SessionPlan>,
    clock: SessionClock,
) -> anyhow::Result<Vec<OperationRecord>> {
    let endpoints: Arc<[_]> = fleet.endpoints().await.into();
    let sessions: Vec<_> = plans
        .into_iter()
        .map(|plan| tokio::spawn(CallerSession::new(plan, Arc::clone(&endpoints), clock).run()))
        .collect();
    let mut operations = Vec::new();
    for session in sessions {
        operations.extend(session.await?);
    }
    Ok(operations)
}

/// Gives each row of the plans its first value.
fn group_rows(plans: &[SessionPlan]) -> BTreeMap<ServiceId, Vec<(String, String)>> {
    let mut rows: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (service, key) in LoadPlanner::list_rows(plans) {
        let value = format!("first-{service}-{key}");
        rows.entry(service).or_default().push((key, value));
    }
    rows
}

/// Records the first values as writes confirmed before the load.
fn record_first_rows(
    rows: &BTreeMap<ServiceId, Vec<(String, String)>>,
) -> anyhow::Result<Vec<OperationRecord>> {
    let mut records = Vec::new();
    for (service, rows) in rows {
        for (key, value) in rows {
            records.push(OperationRecord {
                number: 0,
                service: service.clone(),
                customer: None,
                session: "first-rows".parse()?,
                instance: "none".parse()?,
                request: None,
                kind: OperationKind::Confirmation {
                    key: key.clone(),
                    value: value.clone(),
                },
                due: MonotonicTime::default(),
                started: MonotonicTime::default(),
                ended: MonotonicTime::default(),
                result: OperationResult::Completed {
                    values: Vec::new(),
                    position: None,
                },
            });
        }
    }
    Ok(records)
}

fn list_limits(profile: &DeploymentProfile) -> Vec<CustomerLimit> {
    let services = profile.services.iter();
    services
        .flat_map(|service| {
            profile.customers.iter().map(|customer| CustomerLimit {
                service: service.clone(),
                customer: customer.customer.clone(),
                rate: customer.rate,
                burst: customer.burst,
            })
        })
        .collect()
}

fn list_promotions(group: &super::FleetGroup, observed: &ObservedGroup) -> Vec<PromotionRecord> {
    let promotions = observed.promotions.iter();
    promotions
        .filter_map(|(target, term, at)| {
            Some(PromotionRecord {
                service: group.service.clone(),
                target: group.targets[*target].name().parse().ok()?,
                term: *term,
                at: *at,
            })
        })
        .collect()
}

fn scan_for_keys(fleet: &Fleet) -> Vec<crate::check::RuleViolation> {
    let keys: Vec<String> = fleet
        .profile
        .customers
        .iter()
        .map(CustomerProfile::key)
        .collect();
    let targets = fleet.groups.iter().flat_map(|group| &group.targets);
    let received: Vec<TargetBytes> = targets
        .filter_map(|target| {
            Some(TargetBytes {
                target: target.name().parse().ok()?,
                bytes: target.received_bytes(),
            })
        })
        .collect();
    check_key_secrecy(&received, &keys)
}
