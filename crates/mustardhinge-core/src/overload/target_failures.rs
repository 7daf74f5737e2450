use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::outcome_counts::OutcomeCounts;
use super::share_reduction::ShareReduction;
use crate::ids::{CustomerId, ZoneId};
use crate::units::MonotonicTime;

/// Age at which evidence expires.
const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(10);
/// Number of statements that count. With more, those from before a fault would hide it: a target that
/// fails a third has a tenth of failures among 48 after 15 statements.
const MAX_STATEMENTS: usize = 48;

/// The outcome of one statement.
#[derive(Clone, Debug)]
struct Outcome {
    customer: CustomerId,
    is_served: bool,
    at: MonotonicTime,
}

/// Outcomes of the last statements at one target.
#[derive(Clone, Debug)]
pub(super) struct TargetFailures {
    pub(super) zone: ZoneId,
    outcomes: VecDeque<Outcome>,
    reduction: Option<ShareReduction>,
}

impl TargetFailures {
    pub(super) const fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            outcomes: VecDeque::new(),
            reduction: None,
        }
    }

    pub(super) fn record(&mut self, customer: &CustomerId, is_served: bool, now: MonotonicTime) {
        if self.outcomes.len() >= MAX_STATEMENTS {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome {
            customer: customer.clone(),
            is_served,
            at: now,
        });
    }

    /// Returns the unexpired outcomes by customer.
    pub(super) fn counts(&self, now: MonotonicTime) -> BTreeMap<&CustomerId, OutcomeCounts> {
        let mut counts: BTreeMap<_, OutcomeCounts> = BTreeMap::new();
        for outcome in &self.outcomes {
            if now.saturating_since(outcome.at) < EVIDENCE_MAX_AGE {
                let known = counts.entry(&outcome.customer).or_default();
                known.record(outcome.is_served);
            }
        }
        counts
    }

    /// Returns whether any outcome is unexpired.
    pub(super) fn has_evidence(&self, now: MonotonicTime) -> bool {
        let newest = self.outcomes.back();
        newest.is_some_and(|outcome| now.saturating_since(outcome.at) < EVIDENCE_MAX_AGE)
    }

    /// Reduces the target's share.
    pub(super) const fn reduce(&mut self, now: MonotonicTime) {
        self.reduction = Some(ShareReduction::new(now));
    }

    /// Returns the evidence for a reduced share, if the share is reduced.
    pub(super) fn reduction(&self, now: MonotonicTime) -> Option<ShareReduction> {
        self.reduction
            .filter(|reduction| now.saturating_since(reduction.failed_at) < EVIDENCE_MAX_AGE)
    }

    /// Records a further failure at a reduced target.
    pub(super) const fn confirm(&mut self, now: MonotonicTime) {
        if let Some(reduction) = &mut self.reduction {
            reduction.record_failed(now);
        }
    }

    /// Records a served statement at a reduced target. Forgets all evidence if the fault is over.
    /// Returns whether it is.
    pub(super) fn record_recovery(&mut self) -> bool {
        let Some(reduction) = &mut self.reduction else {
            return false;
        };
        let is_over = reduction.record_served();
        if is_over {
            self.reduction = None;
            self.outcomes.clear();
        }
        is_over
    }
}
