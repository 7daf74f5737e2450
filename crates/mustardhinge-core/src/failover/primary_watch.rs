use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{InstanceId, TargetId};
use crate::replication::ServerReport;
use crate::units::{LeaderTerm, LogPosition, MonotonicTime};

use super::FailoverSettings;
use super::delay_discount::DelayDiscount;

/// Detects the failure of one primary in one term.
///
/// A primary is alive while it responds to this agent, or while any replica
/// receives new log entries of its term.
#[derive(Clone, Debug)]
pub(super) struct PrimaryWatch {
    pub(super) target: TargetId,
    pub(super) term: LeaderTerm,
    last_response_at: MonotonicTime,
    refused_at: Option<MonotonicTime>,
    replicated: LogPosition,
    replicated_at: MonotonicTime,
    written: LogPosition,
    ahead_since: Option<MonotonicTime>,
    /// Delays left out since the last response.
    silence_discount: DelayDiscount,
    /// Delays left out of the time since `ahead_since`.
    stall_discount: DelayDiscount,
    peer_reached_at: BTreeMap<InstanceId, MonotonicTime>,
}

impl PrimaryWatch {
    /// Creates the watch of a primary that has just reported.
    pub(super) fn new(target: TargetId, term: LeaderTerm, now: MonotonicTime) -> Self {
        Self {
            target,
            term,
            last_response_at: now,
            refused_at: None,
            replicated: LogPosition::default(),
            replicated_at: now,
            written: LogPosition::default(),
            ahead_since: None,
            silence_discount: DelayDiscount::default(),
            stall_discount: DelayDiscount::default(),
            peer_reached_at: BTreeMap::new(),
        }
    }

    /// Records a report of any server of the group.
    pub(super) fn observe(&mut self, report: &ServerReport, now: MonotonicTime) {
        let held = report.held_in(self.term).unwrap_or_default();
        if report.target == self.target {
            self.record_response(now);
            self.written = self.written.max(held);
        } else if held > self.replicated {
            self.replicated = held;
            self.replicated_at = now;
            self.ahead_since = None;
            self.stall_discount = DelayDiscount::default();
        }
        if self.written > self.replicated {
            self.ahead_since.get_or_insert(now);
        }
    }

    /// Records that a server rejected a connection and is alive.
    pub(super) fn set_declined(&mut self, target: &TargetId, now: MonotonicTime) {
        if *target == self.target {
            self.record_response(now);
        }
    }

    fn record_response(&mut self, now: MonotonicTime) {
        self.last_response_at = now;
        self.refused_at = None;
        self.silence_discount = DelayDiscount::default();
    }

    /// Records that a server's host refused a connection.
    pub(super) fn record_refusal(&mut self, target: &TargetId, now: MonotonicTime) {
        if *target == self.target {
            self.refused_at.get_or_insert(now);
        }
    }

    /// Records whether the primary responded to another instance.
    pub(super) fn record_peer_observation(
        &mut self,
        observer: InstanceId,
        responded: bool,
        now: MonotonicTime,
    ) {
        if responded {
            self.peer_reached_at.insert(observer, now);
        } else {
            self.peer_reached_at.remove(&observer);
        }
    }

    /// Restarts the failure detection after this process was paused.
    pub(super) fn restart(&mut self, now: MonotonicTime) {
        self.record_response(now);
        self.replicated_at = now;
        self.ahead_since = None;
        self.stall_discount = DelayDiscount::default();
    }

    /// Leaves a delay of this process out of the times without a response or replication.
    ///
    /// A process that is short of processor time sends its probes late and handles
    /// the responses late. Several such delays would add up to the unresponsive
    /// limit although none of them is long enough to count as a pause. At most `limit` is left
    /// out since the last response, so that a failed primary is replaced on a saturated host too.
    ///
    /// Refusals and the observations of other instances are evidence that does not depend on
    /// the punctuality of this process, so their times stay as they are.
    pub(super) fn discount_delay(&mut self, delay: Duration, limit: Duration) {
        let silence = self.silence_discount.take(delay, limit);
        self.last_response_at = self.last_response_at + silence;
        self.replicated_at = self.replicated_at + silence;
        if let Some(since) = &mut self.ahead_since {
            *since = *since + self.stall_discount.take(delay, limit);
        }
    }

    /// Returns when the primary last responded to this agent.
    pub(super) fn last_response_at(&self) -> MonotonicTime {
        self.last_response_at
    }

    /// Returns whether the primary is unresponsive and does not replicate.
    pub(super) fn is_unresponsive(&self, settings: &FailoverSettings, now: MonotonicTime) -> bool {
        let unresponsive_for = now.saturating_since(self.last_response_at);
        let stalled_for = now.saturating_since(self.replicated_at);
        let is_reached_by_peer = self.is_reached_by_peer(settings.get_unresponsive_limit(), now);
        if is_reached_by_peer {
            let limit = settings.get_contested_limit();
            return unresponsive_for > limit && stalled_for > limit;
        }
        let refused_at = self.refused_at;
        let refused_for = refused_at.map_or(Duration::ZERO, |at| now.saturating_since(at));
        if refused_for >= settings.get_refused_limit() && self.refused_at.is_some() {
            return stalled_for > settings.get_refused_limit();
        }
        let limit = settings.get_unresponsive_limit();
        unresponsive_for > limit && stalled_for > limit
    }

    /// Returns whether the primary has written, but no replica has received new
    /// entries for longer than the stall limit.
    pub(super) fn is_stalled(&self, settings: &FailoverSettings, now: MonotonicTime) -> bool {
        let limit = settings.get_stall_limit();
        self.ahead_since
            .is_some_and(|since| now.saturating_since(since) > limit)
    }

    fn is_reached_by_peer(&self, limit: Duration, now: MonotonicTime) -> bool {
        let reached_at = self.peer_reached_at.values();
        reached_at
            .into_iter()
            .any(|at| now.saturating_since(*at) <= limit)
    }
}
