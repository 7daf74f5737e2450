use std::time::Duration;

use super::{ServerStatus, SuccessorChoice};
use crate::ids::TargetId;
use crate::units::{LeaderTerm, MonotonicTime};

/// Time after which an accepted order to promote has taken effect or never will; several times the
/// usual duration of a promotion.
const ACCEPTED_EFFECT_TIME: Duration = Duration::from_millis(4_000);
/// Time after which an order without a response has taken effect or never will. The platform may
/// execute a call without a response up to six seconds late.
const UNANSWERED_EFFECT_TIME: Duration = Duration::from_millis(7_000);
/// Time after the first order of a series from which its target is not ordered again. Each order
/// binds the group to its target, so a target whose promotion never takes effect would bind it for
/// good.
const MAX_SERIES: Duration = Duration::from_millis(6_000);

/// What is known about an order to promote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order takes effect within a short time.
    Accepted,
    /// The order was not executed and never will be.
    NotExecuted,
    /// There was no response, so the order may have been executed or may still be.
    Unknown,
}

/// The orders to promote a target of one group that may still take effect.
///
/// Failure: an order to promote is accepted late, or its response is lost, and meanwhile the
/// replaced primary is reachable again. If the leader kept that primary, or promoted a third
/// server, the first order would take effect while the other server confirms writes. So as long
/// as an order may take effect, only its target can become primary.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::{MonotonicTime, TargetId};
/// use mustardhinge_core::primary_lease::{OrderOutcome, PromotionOrders};
///
/// let target: TargetId = "server-1".parse().unwrap();
/// let sent_at = MonotonicTime::from_millis(1_000);
/// let mut orders = PromotionOrders::default();
/// orders.record(&target, sent_at, OrderOutcome::Unknown);
/// assert_eq!(orders.pending(MonotonicTime::from_millis(2_000)), Some(&target));
/// assert_eq!(orders.pending(MonotonicTime::from_millis(9_000)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PromotionOrders {
    target: Option<TargetId>,
    first_sent_at: MonotonicTime,
    accepted_until: Option<MonotonicTime>,
    unanswered_until: Vec<MonotonicTime>,
    /// Until when orders of an earlier leader may take effect. Their number isn't known.
    inherited_until: Option<MonotonicTime>,
}

impl PromotionOrders {
    /// Records an order that was sent at `sent_at`, with its outcome.
    pub fn record(&mut self, target: &TargetId, sent_at: MonotonicTime, outcome: OrderOutcome) {
        if outcome == OrderOutcome::NotExecuted {
            return;
        }
        if self.pending(sent_at) != Some(target) {
            *self = Self::default();
            self.target = Some(target.clone());
            self.first_sent_at = sent_at;
        }
        self.unanswered_until.retain(|until| sent_at < *until);
        if outcome == OrderOutcome::Accepted {
            self.accepted_until = Some(sent_at + ACCEPTED_EFFECT_TIME);
        } else {
            self.unanswered_until.push(sent_at + UNANSWERED_EFFECT_TIME);
        }
    }

    /// Records that an earlier leader may have ordered the promotion of `target`, at `now` or before.
    ///
    /// Failure: a leader was lost after its order to promote. Its successor promoted another server at
    /// once, and the first order took effect seconds later.
    pub fn inherit(&mut self, target: &TargetId, now: MonotonicTime) {
        if self.pending(now) != Some(target) {
            *self = Self::default();
            self.target = Some(target.clone());
            self.first_sent_at = now;
        }
        self.inherited_until = Some(now + UNANSWERED_EFFECT_TIME);
    }

    /// Records that `target` became primary, so that one of its orders has taken effect.
    ///
    /// Other orders without a response may still be executed and would make it primary again.
    pub fn record_promoted(&mut self, target: &TargetId) {
        let is_ordered = self.target.as_ref() == Some(target);
        let was_unanswered = is_ordered && self.accepted_until.take().is_none();
        if was_unanswered && !self.unanswered_until.is_empty() {
            // It is not known which of them was executed, so the one that ends first is removed.
            self.unanswered_until.remove(0);
        }
    }

    /// Returns the target whose promotion may still take effect.
    #[must_use]
    pub fn pending(&self, now: MonotonicTime) -> Option<&TargetId> {
        let known = self.accepted_until.iter().chain(&self.unanswered_until);
        let mut all = known.chain(&self.inherited_until);
        let is_pending = all.any(|until| now < *until);
        self.target.as_ref().filter(|_| is_pending)
    }

    /// Restricts the choice of a successor of `old` to the target of a pending order.
    ///
    /// The current primary of the group is primary in `term` or a later one. If the target is the
    /// replaced primary itself, no other server takes over until none of its orders can make it
    /// primary again.
    #[must_use]
    pub fn restrict(
        &self,
        choice: SuccessorChoice,
        old: &TargetId,
        (servers, term): (&[ServerStatus], LeaderTerm),
        now: MonotonicTime,
    ) -> SuccessorChoice {
        let Some(target) = self.pending(now) else {
            return choice;
        };
        if target == old {
            let is_kept = matches!(&choice, SuccessorChoice::Adopt(kept, _) if kept == old);
            return if is_kept {
                choice
            } else {
                SuccessorChoice::Wait
            };
        }
        let is_series_over = now.saturating_since(self.first_sent_at) >= MAX_SERIES;
        match servers.iter().find(|server| server.target == *target) {
            Some(server) if server.is_primary && server.term >= term => {
                SuccessorChoice::Adopt(target.clone(), server.term)
            }
            Some(server) if !server.is_primary && !server.is_leaving && !is_series_over => {
                SuccessorChoice::Promote(target.clone())
            }
            _ => SuccessorChoice::Wait,
        }
    }
}
