use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_standins::forward::ForwardHandle;
use mustardhinge_standins::platform::InstanceState;

use super::operator_race::race_operators;
use super::{FaultName, Fleet, RunPlan, ServiceText};
use crate::history::{AcceptedUpdate, FaultMark, KeyWithdrawal, LeavingWork, PlannedStop};
use crate::load::SessionClock;

/// How long a paused instance stands still.
const PAUSE: Duration = Duration::from_secs(4);

/// How late targets answer, in milliseconds.
const LATE_ANSWER_MS: u32 = 400;

/// How slow the store is, in milliseconds.
const SLOW_STORE_MS: u32 = 800;

/// The answers that are lost.
const LOST_ANSWERS: u32 = 3;

/// The time after which a leaving target gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// The time between the replacements of two instances.
const REPLACE_PAUSE: Duration = Duration::from_millis(300);

/// The index of the customer whose key is withdrawn.
const WITHDRAWN_CUSTOMER: usize = 3;

/// Causes the faults of a run and notes what it did.
pub struct FaultInjector {
    fleet: Arc<Fleet>,
    clock: SessionClock,
    /// The faults switched.
    pub faults: Vec<FaultMark>,
    /// The keys withdrawn.
    pub withdrawals: Vec<KeyWithdrawal>,
    /// The instances stopped as planned.
    pub stops: Vec<PlannedStop>,
    /// The updates that operators were told are accepted.
    pub updates: Vec<AcceptedUpdate>,
    /// The targets marked as leaving.
    pub leaving: Vec<LeavingWork>,
    leaving_marks: Vec<(usize, usize, usize)>,
}

impl FaultInjector {
    /// Makes an injector.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, clock: SessionClock) -> Self {
        Self {
            fleet,
            clock,
            faults: Vec::new(),
            withdrawals: Vec::new(),
            stops: Vec::new(),
            updates: Vec::new(),
            leaving: Vec::new(),
            leaving_marks: Vec::new(),
        }
    }

    /// Causes the faults of `plan` in its time.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be started again.
    pub async fn run(&mut self, plan: &RunPlan) -> anyhow::Result<()> {
        if plan.faults.is_empty() {
            return Ok(());
        }
        self.clock.sleep_until(plan.fault_start()).await;
        for fault in &plan.faults {
            self.mark(*fault, true);
            self.begin(*fault).await?;
        }
        self.clock.sleep_until(plan.fault_end()).await;
        for fault in &plan.faults {
            self.end(*fault).await?;
            self.mark(*fault, false);
        }
        Ok(())
    }

    fn mark(&mut self, fault: FaultName, began: bool) {
        self.faults.push(FaultMark {
            fault: fault.to_string(),
            began,
            at: self.clock.now(),
        });
    }

    async fn begin(&mut self, fault: FaultName) -> anyhow::Result<()> {
        let fleet = Arc::clone(&self.fleet);
        match fault {
            FaultName::PrimaryKill => fleet.each_primary(|target, _| target.set_down(true)),
            FaultName::PrimaryFreeze => fleet.each_primary(|target, _| target.set_frozen(true)),
            FaultName::PrimaryCut => fleet.each_primary(|target, link| {
                target.set_frozen(true);
                link.change_link(|faults| faults.frozen = true);
            }),
            FaultName::SilentConnections => fleet.each_link(ForwardHandle::silence_connections),
            FaultName::LateAnswers => fleet.set_late_answers(LATE_ANSWER_MS),
            FaultName::LostAnswers => {
                let lose = LOST_ANSWERS;
                fleet
                    .platform
                    .change_faults(|faults| faults.lose_answers = lose);
                fleet.each_primary(|target, _| {
                    target.change_faults(|faults| faults.lose_commit_answers = lose);
                });
            }
            FaultName::EntryKill => fleet.instances[0].lock().await.kill_entry(),
            FaultName::AgentKill => fleet.instances[0].lock().await.kill_agent(),
            FaultName::InstancePause => fleet.instances[0].lock().await.pause(PAUSE),
            FaultName::ZoneCut => self.cut_zone(true).await,
            FaultName::StoreDown => fleet.platform.set_down(true),
            FaultName::StoreSlow => {
                fleet
                    .platform
                    .change_faults(|faults| faults.slow_ms = SLOW_STORE_MS);
            }
            FaultName::KeyWithdrawal => self.withdraw_key()?,
            FaultName::RollingReplace => self.replace_instances().await?,
            FaultName::TargetLeaving => self.mark_leaving().await?,
            FaultName::OperatorRace => {
                self.updates
                    .extend(race_operators(&fleet, self.clock).await?);
            }
        }
        Ok(())
    }

    async fn end(&mut self, fault: FaultName) -> anyhow::Result<()> {
        let fleet = Arc::clone(&self.fleet);
        match fault {
            FaultName::PrimaryFreeze | FaultName::PrimaryCut => fleet.thaw_targets(),
            FaultName::LateAnswers => fleet.set_late_answers(0),
            FaultName::EntryKill => fleet.instances[0].lock().await.restart_entry().await?,
            FaultName::AgentKill => fleet.instances[0].lock().await.restart_agent().await?,
            FaultName::ZoneCut => self.cut_zone(false).await,
            FaultName::StoreDown => fleet.platform.set_down(false),
            FaultName::StoreSlow => fleet.platform.change_faults(|faults| faults.slow_ms = 0),
            _ => {}
        }
        Ok(())
    }

    /// Cuts the first zone's targets off from all, and its agents off from the
    /// platform.
    async fn cut_zone(&self, is_cut: bool) {
        let fleet = &self.fleet;
        let zone = &fleet.profile.zones[0];
        for group in &fleet.groups {
            group.targets[0].set_frozen(is_cut);
        }
        for instance in &fleet.instances {
            let instance = instance.lock().await;
            if instance.zone() == zone {
                instance.cut_platform(is_cut);
            }
        }
    }

    fn withdraw_key(&mut self) -> anyhow::Result<()> {
        let fleet = &self.fleet;
        let group = &fleet.groups[0];
        let customer = fleet.profile.customers[WITHDRAWN_CUSTOMER].customer.clone();
        let addresses = group.addresses();
        let text = ServiceText::new(&fleet.profile, &group.service, &addresses);
        fleet.put_document(&group.service, &text.withdrawn(customer.clone()))?;
        self.withdrawals.push(KeyWithdrawal {
            service: group.service.clone(),
            customer,
            at: self.clock.now(),
        });
        Ok(())
    }

    async fn replace_instances(&mut self) -> anyhow::Result<()> {
        let fleet = Arc::clone(&self.fleet);
        for instance in &fleet.instances {
            let mut instance = instance.lock().await;
            fleet.list_instance(&instance, InstanceState::Leaving);
            let from = self.clock.now();
            instance.stop().await;
            self.stops.push(PlannedStop {
                instance: instance.instance().clone(),
                from,
                to: self.clock.now(),
            });
            instance.restart_agent().await?;
            instance.restart_entry().await?;
            fleet.list_instance(&instance, InstanceState::Live);
            tokio::time::sleep(REPLACE_PAUSE).await;
        }
        Ok(())
    }

    /// Marks a replica of each group as leaving, but the primary of the second.
    async fn mark_leaving(&mut self) -> anyhow::Result<()> {
        let fleet = Arc::clone(&self.fleet);
        let mut marked = Vec::new();
        for (number, group) in fleet.groups.iter().enumerate() {
            let primary = group.primary_index();
            let index = if number == 1 {
                primary
            } else {
                (primary + 1) % 3
            };
            let addresses = group.addresses();
            let text = ServiceText::new(&fleet.profile, &group.service, &addresses);
            fleet.put_document(&group.service, &text.leaving(index))?;
            marked.push((number, index));
        }
        tokio::time::sleep(LEAVING_BOUND).await;
        for (number, index) in marked {
            let statements = fleet.groups[number].targets[index].statements().len();
            self.leaving_marks.push((number, index, statements));
        }
        Ok(())
    }

    /// Counts what leaving targets got after the bound; to be called at the end.
    pub fn count_late_work(&mut self) {
        for (number, index, before) in &self.leaving_marks {
            let target = &self.fleet.groups[*number].targets[*index];
            let statements = target.statements();
            let late = statements.iter().skip(*before);
            let late = late.filter(|record| record.text.contains("route="));
            let Ok(name) = target.name().parse::<TargetId>() else {
                continue;
            };
            self.leaving.push(LeavingWork {
                target: name,
                late_statements: late.count() as u64,
            });
        }
    }
}
