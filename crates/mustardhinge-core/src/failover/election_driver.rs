use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::ids::TargetId;
use crate::replication::ServerReport;
use crate::units::{LeaderTerm, MonotonicTime};

use super::{
    AttemptPlan, AttemptProgress, AttemptStep, ClaimOutcome, ElectionAttempt, ElectionContext,
    FailoverAction, FailoverTimeline, SwitchoverRefusal,
};

/// Runs the election attempts of one agent, one at a time.
#[derive(Clone, Debug)]
pub(super) struct ElectionDriver {
    attempt: Option<ElectionAttempt>,
    timeline: Option<FailoverTimeline>,
    used_term: LeaderTerm,
    promoted_term: LeaderTerm,
    backoff_until: MonotonicTime,
    rng: SmallRng,
}

impl ElectionDriver {
    /// Creates a driver without an attempt.
    pub(super) fn new(seed: u64, now: MonotonicTime) -> Self {
        Self {
            attempt: None,
            timeline: None,
            used_term: LeaderTerm::default(),
            promoted_term: LeaderTerm::default(),
            backoff_until: now,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the attempt in progress.
    pub(super) fn attempt(&self) -> Option<&ElectionAttempt> {
        self.attempt.as_ref()
    }

    /// Returns the timeline of the latest attempt, finished or in progress.
    pub(super) fn timeline(&self) -> Option<&FailoverTimeline> {
        let current = self.attempt.as_ref().map(|attempt| &attempt.timeline);
        current.or(self.timeline.as_ref())
    }

    /// Returns the greatest term in which this agent promoted a primary.
    pub(super) fn promoted_term(&self) -> LeaderTerm {
        self.promoted_term
    }

    /// Returns whether this agent is waiting after a failed attempt.
    pub(super) fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Starts an attempt in an unused term.
    pub(super) fn start(
        &mut self,
        plan: AttemptPlan,
        context: &ElectionContext<'_>,
    ) -> FailoverAction {
        let known = context.monitor.view().greatest_term().max(self.used_term);
        self.used_term = known.next();
        let last_response_at = context.monitor.last_response_at();
        let (attempt, claim) =
            ElectionAttempt::start(self.used_term, plan, last_response_at, context.now);
        self.attempt = Some(attempt);
        claim
    }

    /// Handles the store's response to a claim.
    pub(super) fn handle_claim_response(
        &mut self,
        term: LeaderTerm,
        outcome: ClaimOutcome,
        context: &ElectionContext<'_>,
    ) -> Vec<FailoverAction> {
        let Some(attempt) = self.attempt_in(term) else {
            return Vec::new();
        };
        match outcome {
            ClaimOutcome::Won | ClaimOutcome::Unavailable => attempt.finish_claim(context),
            ClaimOutcome::Lost { term } if matches!(attempt.step, AttemptStep::Claiming) => {
                self.used_term = self.used_term.max(term);
                self.abandon(context)
            }
            ClaimOutcome::Lost { .. } => Vec::new(),
        }
    }

    /// Records a server's response to a fence.
    pub(super) fn record_fence_response(
        &mut self,
        term: LeaderTerm,
        report: &ServerReport,
        granted: bool,
    ) {
        if let Some(attempt) = self.attempt_in(term) {
            attempt.record_fence_response(report, granted);
        }
    }

    /// Handles a server's response to a promotion.
    pub(super) fn handle_promote_response(
        &mut self,
        term: LeaderTerm,
        report: &ServerReport,
        granted: bool,
        context: &ElectionContext<'_>,
    ) -> Vec<FailoverAction> {
        let attempt = self.attempt_in(term);
        let progress = attempt.map(|it| it.handle_promote_response(report, granted, context.now));
        progress.map_or_else(Vec::new, |progress| self.apply(progress, context))
    }

    /// Handles the end of all in-flight writes.
    pub(super) fn handle_drained(&mut self, now: MonotonicTime) -> Vec<FailoverAction> {
        let attempt = self.attempt.as_mut();
        attempt.map_or_else(Vec::new, |attempt| attempt.handle_drained(now))
    }

    /// Handles a connection refused by a server's host.
    ///
    /// Ends an attempt that is promoting this server or draining its writes.
    pub(super) fn handle_refusal(
        &mut self,
        target: &TargetId,
        context: &ElectionContext<'_>,
    ) -> Vec<FailoverAction> {
        let Some(attempt) = &self.attempt else {
            return Vec::new();
        };
        match &attempt.step {
            AttemptStep::Promoting { target: candidate } if candidate == target => {
                self.apply(AttemptProgress::CandidateFailed(target.clone()), context)
            }
            AttemptStep::Draining { .. } if attempt.plan.predecessor.as_ref() == Some(target) => {
                self.abandon(context)
            }
            _ => Vec::new(),
        }
    }

    /// Records that the primary of a term has been published to the store.
    pub(super) fn record_published(&mut self, term: LeaderTerm, now: MonotonicTime) {
        let timeline = self.timeline.as_mut().filter(|it| it.term == term);
        if let Some(timeline) = timeline {
            timeline.published_at.get_or_insert(now);
        }
    }

    /// Advances the attempt in progress.
    pub(super) fn poll(&mut self, context: &ElectionContext<'_>) -> Vec<FailoverAction> {
        let Some(attempt) = &mut self.attempt else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let progress = attempt.poll(context, &mut actions);
        actions.extend(self.apply(progress, context));
        actions
    }

    /// Abandons the attempt in progress, if any.
    pub(super) fn abandon(&mut self, context: &ElectionContext<'_>) -> Vec<FailoverAction> {
        let refusal = SwitchoverRefusal::Interrupted;
        self.apply(AttemptProgress::Abandoned(refusal), context)
    }

    /// Returns the request time of reports in responses for `term`, or `None`
    /// if the term is not that of the attempt in progress.
    ///
    /// The responses were requested after the current step started, so the
    /// start of the step is a lower bound.
    pub(super) fn requested_at(&mut self, term: LeaderTerm) -> Option<MonotonicTime> {
        self.attempt_in(term).map(|attempt| attempt.step_started_at)
    }

    fn attempt_in(&mut self, term: LeaderTerm) -> Option<&mut ElectionAttempt> {
        self.attempt.as_mut().filter(|it| it.term == term)
    }

    fn apply(
        &mut self,
        progress: AttemptProgress,
        context: &ElectionContext<'_>,
    ) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        if progress == AttemptProgress::Continue {
            return actions;
        }
        let Some(attempt) = self.attempt.take() else {
            return actions;
        };
        self.timeline = Some(attempt.timeline);
        if attempt.plan.cause.is_planned() {
            actions.push(FailoverAction::ReleaseWrites);
        }
        if attempt.plan.is_switchover() {
            let refusal = progress.refusal();
            actions.extend(refusal.map(FailoverAction::RefuseSwitchover));
        }
        match progress {
            AttemptProgress::Promoted(_) => self.promoted_term = attempt.term,
            AttemptProgress::CandidateFailed(target) => {
                let plan = context.monitor.plan_without(&target);
                actions.push(self.start(plan, context));
            }
            AttemptProgress::Continue | AttemptProgress::Abandoned(_) => {
                self.back_off(context);
            }
        }
        actions
    }

    /// Leaves the next attempt to other agents for the backoff and a random
    /// jitter of up to the same length.
    fn back_off(&mut self, context: &ElectionContext<'_>) {
        let wait = context.settings.get_retry_backoff();
        let jitter = wait.mul_f64(self.rng.random::<f64>());
        self.backoff_until = context.now + wait + jitter;
    }
}
