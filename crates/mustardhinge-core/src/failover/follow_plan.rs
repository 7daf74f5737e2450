use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TargetId;
use crate::replication::{GroupView, ServerReport, ServerRole, TimedReport};
use crate::units::MonotonicTime;

use super::primary_diagnosis::current_primary;
use super::{FailoverAction, FailoverSettings};

/// When to send the next follow call to each server that does not follow the
/// primary.
#[derive(Clone, Debug, Default)]
pub(super) struct FollowPlan {
    next_at: BTreeMap<TargetId, MonotonicTime>,
}

impl FollowPlan {
    /// Returns the calls that are due.
    ///
    /// The first call to a server is due `delay` after it is first observed not
    /// following the primary.
    pub(super) fn due(
        &mut self,
        view: &GroupView,
        delay: Duration,
        settings: &FailoverSettings,
        now: MonotonicTime,
    ) -> Vec<FailoverAction> {
        let Some(primary) = current_primary(view).map(|timed| &timed.report) else {
            self.next_at.clear();
            return Vec::new();
        };
        let limit = settings.get_unresponsive_limit();
        let is_due = |timed: &&TimedReport| {
            needs_follow(&timed.report, primary)
                && !view.is_unresponsive(&timed.report.target, now, limit)
        };
        let pending: Vec<_> = view.reports().filter(is_due).collect();
        let is_still_pending =
            |target: &TargetId| pending.iter().any(|timed| timed.report.target == *target);
        self.next_at.retain(|target, _| is_still_pending(target));
        let mut actions = Vec::new();
        for timed in pending {
            let target = &timed.report.target;
            let next_at = self.next_at.entry(target.clone()).or_insert(now + delay);
            if now < *next_at {
                continue;
            }
            *next_at = now + settings.get_resend_interval();
            actions.push(FailoverAction::Follow {
                target: target.clone(),
                term: primary.term,
                primary: primary.target.clone(),
            });
        }
        actions
    }
}

/// Returns whether a server can follow the primary but does not.
fn needs_follow(report: &ServerReport, primary: &ServerReport) -> bool {
    if report.target == primary.target || report.term > primary.term {
        return false;
    }
    let follows = report.role == ServerRole::Replica
        && report.term == primary.term
        && report.primary.as_ref() == Some(&primary.target);
    !follows
}
