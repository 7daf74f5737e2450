use crate::ids::TargetId;
use crate::replication::{GroupView, ServerReport, ServerRole};
use crate::units::{LeaderTerm, MonotonicTime};

use super::{
    AttemptPlan, AttemptProgress, AttemptStep, ElectionContext, FailoverAction, FailoverTimeline,
    FenceTally, SwitchoverRefusal,
};

/// One attempt to start a new term: claim, drain if planned, fence, promote.
///
/// An attempt promotes at most one server. If that server fails, only a new
/// attempt with a greater term may promote another one.
#[derive(Clone, Debug)]
pub(super) struct ElectionAttempt {
    pub(super) term: LeaderTerm,
    pub(super) plan: AttemptPlan,
    pub(super) step: AttemptStep,
    pub(super) step_started_at: MonotonicTime,
    pub(super) timeline: FailoverTimeline,
    sent_at: MonotonicTime,
}

impl ElectionAttempt {
    /// Creates an attempt and returns its first action, the claim.
    pub(super) fn start(
        term: LeaderTerm,
        plan: AttemptPlan,
        last_response_at: Option<MonotonicTime>,
        now: MonotonicTime,
    ) -> (Self, FailoverAction) {
        let claim = FailoverAction::Claim { term };
        let timeline = FailoverTimeline::new(term, plan.cause, last_response_at, now);
        let attempt = Self {
            term,
            plan,
            step: AttemptStep::Claiming,
            step_started_at: now,
            timeline,
            sent_at: now,
        };
        (attempt, claim)
    }

    /// Proceeds to the next step once the claim has succeeded or timed out, or
    /// the store is unavailable.
    pub(super) fn finish_claim(&mut self, context: &ElectionContext<'_>) -> Vec<FailoverAction> {
        let (settings, now) = (context.settings, context.now);
        if !matches!(self.step, AttemptStep::Claiming) {
            return Vec::new();
        }
        self.timeline.claimed_at = Some(now);
        if !self.plan.cause.is_planned() {
            return self.start_fence(context.monitor.view(), now);
        }
        self.enter(AttemptStep::Draining { drained_at: None }, now);
        let until = now + settings.get_drain_timeout() + settings.get_step_timeout();
        vec![FailoverAction::HoldWrites { until }]
    }

    /// Handles the end of all in-flight writes.
    pub(super) fn handle_drained(&mut self, now: MonotonicTime) -> Vec<FailoverAction> {
        let AttemptStep::Draining { drained_at } = &mut self.step else {
            return Vec::new();
        };
        drained_at.get_or_insert(now);
        self.sent_at = now;
        self.request_catch_up()
    }

    /// Records a server's response to the fence.
    pub(super) fn record_fence_response(&mut self, report: &ServerReport, granted: bool) {
        if let AttemptStep::Fencing { tally, .. } = &mut self.step {
            tally.record(report, granted);
        }
    }

    /// Handles the candidate's response to the promotion.
    pub(super) fn handle_promote_response(
        &mut self,
        report: &ServerReport,
        granted: bool,
        now: MonotonicTime,
    ) -> AttemptProgress {
        match &self.step {
            AttemptStep::Promoting { target } if *target == report.target && granted => {
                self.finish(now)
            }
            AttemptStep::Promoting { target } if *target == report.target => {
                AttemptProgress::Abandoned(SwitchoverRefusal::Interrupted)
            }
            _ => AttemptProgress::Continue,
        }
    }

    /// Proceeds if the current step is complete or has timed out.
    pub(super) fn poll(
        &mut self,
        context: &ElectionContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) -> AttemptProgress {
        let (settings, now) = (context.settings, context.now);
        let view = context.monitor.view();
        let waited = now.saturating_since(self.step_started_at);
        let is_superseded = view.greatest_term() >= self.term;
        match &self.step {
            AttemptStep::Claiming | AttemptStep::Draining { .. } if is_superseded => {
                AttemptProgress::Abandoned(SwitchoverRefusal::Interrupted)
            }
            AttemptStep::Claiming if waited >= settings.get_claim_timeout() => {
                actions.extend(self.finish_claim(context));
                AttemptProgress::Continue
            }
            AttemptStep::Claiming => AttemptProgress::Continue,
            AttemptStep::Draining { .. } => self.poll_drain(context, actions),
            AttemptStep::Fencing { .. } => self.poll_fence(context, actions),
            AttemptStep::Promoting { .. } => self.poll_promote(context, actions),
        }
    }

    fn poll_drain(
        &mut self,
        context: &ElectionContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) -> AttemptProgress {
        let (settings, now) = (context.settings, context.now);
        let view = context.monitor.view();
        if self.is_caught_up(view) {
            actions.extend(self.start_fence(view, now));
            return AttemptProgress::Continue;
        }
        if now.saturating_since(self.step_started_at) >= settings.get_drain_timeout() {
            return AttemptProgress::Abandoned(SwitchoverRefusal::DrainTimedOut);
        }
        let is_drained = matches!(
            self.step,
            AttemptStep::Draining {
                drained_at: Some(_)
            }
        );
        if is_drained && now.saturating_since(self.sent_at) >= settings.get_catch_up_interval() {
            self.sent_at = now;
            actions.extend(self.request_catch_up());
        }
        AttemptProgress::Continue
    }

    fn poll_fence(
        &mut self,
        context: &ElectionContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) -> AttemptProgress {
        let (settings, now) = (context.settings, context.now);
        let AttemptStep::Fencing { tally, granted_at } = &mut self.step else {
            return AttemptProgress::Continue;
        };
        if tally.is_granted() {
            let granted_at = *granted_at.get_or_insert(now);
            let can_wait = now.saturating_since(granted_at) < settings.get_straggler_wait();
            if let Some(target) = self.candidate(can_wait) {
                actions.push(self.start_promote(target, now));
            }
            return AttemptProgress::Continue;
        }
        let has_timed_out =
            now.saturating_since(self.step_started_at) >= settings.get_step_timeout();
        if tally.is_denied() || has_timed_out {
            return AttemptProgress::Abandoned(SwitchoverRefusal::Interrupted);
        }
        if now.saturating_since(self.sent_at) >= settings.get_resend_interval() {
            actions.extend(self.resend_fence(now));
        }
        AttemptProgress::Continue
    }

    fn poll_promote(
        &mut self,
        context: &ElectionContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) -> AttemptProgress {
        let (settings, now) = (context.settings, context.now);
        let view = context.monitor.view();
        let AttemptStep::Promoting { target } = &self.step else {
            return AttemptProgress::Continue;
        };
        let target = target.clone();
        let report = view.report(&target).map(|timed| &timed.report);
        let is_primary =
            |report: &ServerReport| report.role == ServerRole::Primary && report.term == self.term;
        if report.is_some_and(is_primary) {
            return self.finish(now);
        }
        if now.saturating_since(self.step_started_at) >= settings.get_step_timeout() {
            return AttemptProgress::CandidateFailed(target);
        }
        if now.saturating_since(self.sent_at) >= settings.get_resend_interval() {
            self.sent_at = now;
            let term = self.term;
            actions.push(FailoverAction::Promote { target, term });
        }
        AttemptProgress::Continue
    }

    /// Returns the server to promote, or `None` while a server that the plan
    /// prefers may still grant the term.
    fn candidate(&self, can_wait: bool) -> Option<TargetId> {
        let AttemptStep::Fencing { tally, .. } = &self.step else {
            return None;
        };
        let preferred = self.plan.preferred.as_ref();
        let chosen = tally.choose(preferred, &self.plan.avoided)?;
        let is_preferred = self.plan.is_preferred(chosen);
        let has_unanswered = tally.unanswered().next().is_some();
        (is_preferred || !can_wait || !has_unanswered).then(|| chosen.clone())
    }

    fn is_caught_up(&self, view: &GroupView) -> bool {
        let AttemptStep::Draining { drained_at } = &self.step else {
            return false;
        };
        let drained_at = *drained_at;
        let report = |target: &Option<TargetId>| view.report(target.as_ref()?);
        let primary = report(&self.plan.predecessor);
        let successor = report(&self.plan.preferred);
        let (Some(at), Some(primary), Some(successor)) = (drained_at, primary, successor) else {
            return false;
        };
        primary.requested_at >= at && successor.report.last >= primary.report.last
    }

    fn request_catch_up(&self) -> Vec<FailoverAction> {
        let targets = [&self.plan.predecessor, &self.plan.preferred];
        let targets = targets.into_iter().flatten().cloned();
        targets
            .map(|target| FailoverAction::RequestReport { target })
            .collect()
    }

    fn start_fence(&mut self, view: &GroupView, now: MonotonicTime) -> Vec<FailoverAction> {
        let tally = FenceTally::new(self.term, view.members().clone());
        let granted_at = None;
        self.enter(AttemptStep::Fencing { tally, granted_at }, now);
        self.resend_fence(now)
    }

    fn resend_fence(&mut self, now: MonotonicTime) -> Vec<FailoverAction> {
        self.sent_at = now;
        let AttemptStep::Fencing { tally, .. } = &self.step else {
            return Vec::new();
        };
        let term = self.term;
        let fence = |target: &TargetId| FailoverAction::Fence {
            target: target.clone(),
            term,
        };
        tally.unanswered().map(fence).collect()
    }

    fn start_promote(&mut self, target: TargetId, now: MonotonicTime) -> FailoverAction {
        self.timeline.fenced_at = Some(now);
        let action = FailoverAction::Promote {
            target: target.clone(),
            term: self.term,
        };
        self.enter(AttemptStep::Promoting { target }, now);
        action
    }

    fn finish(&mut self, now: MonotonicTime) -> AttemptProgress {
        let AttemptStep::Promoting { target } = &self.step else {
            return AttemptProgress::Continue;
        };
        self.timeline.promoted_at = Some(now);
        AttemptProgress::Promoted(target.clone())
    }

    fn enter(&mut self, step: AttemptStep, now: MonotonicTime) {
        self.step = step;
        self.step_started_at = now;
        self.sent_at = now;
    }
}
