use std::time::Duration;

use crate::ids::TargetId;
use crate::replication::{GroupMembers, GroupView, ServerReport};
use crate::units::{LeaderTerm, MonotonicTime};

use super::{
    ElectionContext, ElectionDriver, FailoverAction, FailoverEvent, FailoverPhase,
    FailoverSettings, FailoverTimeline, FollowPlan, GroupMonitor, PublishTask, SwitchoverRefusal,
};

/// The failover state machine of one agent for one group.
///
/// The machine never uses a term twice and promotes at most one server per
/// term. For this to hold across restarts, the agent has to use a different
/// claimant name with the servers after each start.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    settings: FailoverSettings,
    rank: u32,
    monitor: GroupMonitor,
    driver: ElectionDriver,
    follow: FollowPlan,
    publish: Option<PublishTask>,
    last_event_at: MonotonicTime,
}

impl FailoverMachine {
    /// Creates the machine of a group that has not reported yet.
    ///
    /// `rank` is the position of this agent among the agents that watch the
    /// group; the agent with rank 0 acts without delay. The seed should differ
    /// between agents.
    #[must_use]
    pub fn new(
        members: GroupMembers,
        rank: u32,
        settings: FailoverSettings,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        Self {
            settings,
            rank,
            monitor: GroupMonitor::new(members),
            driver: ElectionDriver::new(seed, now),
            follow: FollowPlan::default(),
            publish: None,
            last_event_at: now,
        }
    }

    /// Sets the position of this agent among the agents that watch the group.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Sets the servers that are leaving.
    ///
    /// A leaving server is promoted only if no other server qualifies. A leaving
    /// primary hands over after `repair_limit` if a replica stays.
    pub fn set_leaving(&mut self, leaving: impl IntoIterator<Item = TargetId>) {
        self.monitor.set_leaving(leaving.into_iter().collect());
    }

    /// Returns the newest reports of the servers.
    #[must_use]
    pub fn view(&self) -> &GroupView {
        self.monitor.view()
    }

    /// Returns the current primary's report, if a majority can follow it.
    #[must_use]
    pub fn primary(&self) -> Option<&ServerReport> {
        self.monitor.primary()
    }

    /// Returns the phase of the failover in progress.
    #[must_use]
    pub fn phase(&self) -> FailoverPhase {
        match self.driver.attempt() {
            Some(attempt) => attempt.step.phase(),
            None if self.monitor.is_suspecting() => FailoverPhase::BackingOff,
            None => FailoverPhase::Watching,
        }
    }

    /// Returns the timeline of the latest attempt of this agent, finished or in
    /// progress.
    #[must_use]
    pub fn timeline(&self) -> Option<&FailoverTimeline> {
        self.driver.timeline()
    }

    /// Handles an event and returns the actions to perform.
    ///
    /// The caller has to send `Tick` every few tens of milliseconds while no
    /// other event occurs.
    #[must_use]
    pub fn handle(&mut self, event: FailoverEvent, now: MonotonicTime) -> Vec<FailoverAction> {
        let was_active = self.driver.attempt().is_some();
        let mut actions = self.handle_pause(now);
        actions.extend(self.apply_event(event, now));
        actions.extend(self.drive(now, ElectionDriver::poll));
        if was_active && self.driver.attempt().is_none() {
            self.monitor.restart_diagnosis();
        }
        actions.extend(self.maybe_start_attempt(now));
        actions.extend(self.propagate_primary(now));
        actions
    }

    /// Restarts the failure detection after a pause of this process, leaves out a
    /// shorter delay of it, and abandons an attempt if other agents had time to
    /// supersede it.
    fn handle_pause(&mut self, now: MonotonicTime) -> Vec<FailoverAction> {
        let paused = now.saturating_since(self.last_event_at);
        self.last_event_at = now;
        if paused > self.settings.get_pause_limit() {
            self.monitor.restart(now);
        } else {
            let delay = paused.saturating_sub(self.settings.get_delay_limit());
            let limit = self.settings.get_unresponsive_limit();
            self.monitor.discount_delay(delay, limit);
        }
        if paused < self.settings.get_step_timeout() {
            return Vec::new();
        }
        self.drive(now, ElectionDriver::abandon)
    }

    fn apply_event(&mut self, event: FailoverEvent, now: MonotonicTime) -> Vec<FailoverAction> {
        match event {
            FailoverEvent::Reported {
                report,
                requested_at,
            } => self.observe(&report, requested_at, now),
            FailoverEvent::ConnectionRefused { target } => {
                self.monitor.record_refusal(&target, now);
                return self.drive(now, |driver, context| {
                    driver.handle_refusal(&target, context)
                });
            }
            FailoverEvent::ConnectionDeclined { target } => self.monitor.set_declined(&target, now),
            FailoverEvent::PeerObserved {
                observer,
                target,
                responded,
            } => self
                .monitor
                .record_peer_observation(observer, &target, responded, now),
            FailoverEvent::ClaimResponse { term, outcome } => {
                return self.drive(now, |driver, context| {
                    driver.handle_claim_response(term, outcome, context)
                });
            }
            FailoverEvent::FenceResponse {
                term,
                report,
                granted,
            } => {
                self.driver.record_fence_response(term, &report, granted);
                self.observe_answer(&report, term, now);
            }
            FailoverEvent::PromoteResponse {
                term,
                report,
                granted,
            } => {
                return self.handle_promote_response(term, &report, granted, now);
            }
            FailoverEvent::PublishResponse { term, is_published } => {
                self.record_published(term, is_published, now);
            }
            FailoverEvent::SwitchoverRequested { successor } => {
                return vec![self.start_switchover(successor.as_ref(), now)];
            }
            FailoverEvent::WritesDrained => return self.driver.handle_drained(now),
            FailoverEvent::Tick => {}
        }
        Vec::new()
    }

    /// Runs a step of the driver with the current state.
    fn drive<T>(
        &mut self,
        now: MonotonicTime,
        step: impl FnOnce(&mut ElectionDriver, &ElectionContext<'_>) -> T,
    ) -> T {
        let context = ElectionContext {
            monitor: &self.monitor,
            settings: &self.settings,
            now,
        };
        step(&mut self.driver, &context)
    }

    fn observe(&mut self, report: &ServerReport, requested_at: MonotonicTime, now: MonotonicTime) {
        let changed = self.monitor.observe(report, requested_at, now);
        if let Some((primary, term)) = changed {
            let first_at = now + self.rank_delay(term);
            self.publish = Some(PublishTask::new(term, primary, first_at));
        }
    }

    fn observe_answer(&mut self, report: &ServerReport, term: LeaderTerm, now: MonotonicTime) {
        if let Some(requested_at) = self.driver.requested_at(term) {
            self.observe(report, requested_at, now);
        }
    }

    fn handle_promote_response(
        &mut self,
        term: LeaderTerm,
        report: &ServerReport,
        granted: bool,
        now: MonotonicTime,
    ) -> Vec<FailoverAction> {
        let requested_at = self.driver.requested_at(term);
        let actions = self.drive(now, |driver, context| {
            driver.handle_promote_response(term, report, granted, context)
        });
        if let Some(requested_at) = requested_at {
            self.observe(report, requested_at, now);
        }
        actions
    }

    fn record_published(&mut self, term: LeaderTerm, is_published: bool, now: MonotonicTime) {
        let is_current = self.publish.as_ref().is_some_and(|task| task.term == term);
        if is_published && is_current {
            self.publish = None;
            self.driver.record_published(term, now);
        }
    }

    /// Starts a new term if there is a cause and the agents with a smaller rank
    /// had time to act.
    fn maybe_start_attempt(&mut self, now: MonotonicTime) -> Option<FailoverAction> {
        if self.driver.attempt().is_some() {
            return None;
        }
        let (cause, since) = self.monitor.diagnose(&self.settings, now)?;
        let starts_at = since + self.settings.get_rank_delay() * self.rank;
        if now < starts_at || self.driver.is_backing_off(now) {
            return None;
        }
        let plan = self.monitor.plan_for(cause);
        Some(self.drive(now, |driver, context| driver.start(plan, context)))
    }

    fn start_switchover(
        &mut self,
        successor: Option<&TargetId>,
        now: MonotonicTime,
    ) -> FailoverAction {
        if self.driver.attempt().is_some() {
            return FailoverAction::RefuseSwitchover(SwitchoverRefusal::ChangeUnderWay);
        }
        match self.monitor.plan_switchover(successor) {
            Ok(plan) => self.drive(now, |driver, context| driver.start(plan, context)),
            Err(refusal) => FailoverAction::RefuseSwitchover(refusal),
        }
    }

    /// Returns the due calls that publish the primary and make servers follow it.
    fn propagate_primary(&mut self, now: MonotonicTime) -> Vec<FailoverAction> {
        let Some(term) = self.primary().map(|primary| primary.term) else {
            return Vec::new();
        };
        let publish = self.publish.as_mut().filter(|task| task.term == term);
        let publish = publish.and_then(|task| task.due(&self.settings, now));
        let delay = self.rank_delay(term);
        let view = self.monitor.view();
        let follow = self.follow.due(view, delay, &self.settings, now);
        publish.into_iter().chain(follow).collect()
    }

    /// Returns how long this agent delays the publication and follow calls of a
    /// term, to leave them to agents with a smaller rank.
    fn rank_delay(&self, term: LeaderTerm) -> Duration {
        if term == self.driver.promoted_term() {
            return Duration::ZERO;
        }
        self.settings.get_rank_delay() * self.rank
    }
}
