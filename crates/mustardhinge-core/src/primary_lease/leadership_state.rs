use super::{LeaderElection, LeadershipChange, LeadershipTerm};
use crate::units::MonotonicTime;

/// The leadership that an instance's groups, rates and gateways belong to.
///
/// Failure: a leader loses the right to grant leases because its renewal is late, and gets it back
/// with the same record a moment later. If it took that for a new leadership, it would forget the
/// leases that it granted, and replace primaries that other instances still use.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::MonotonicTime;
/// use mustardhinge_core::primary_lease::{LeaderElection, LeadershipState};
///
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let election = LeaderElection::new("i-1".parse().unwrap(), 1, address, 0);
/// let mut leadership = LeadershipState::default();
/// assert_eq!(leadership.update(&election, MonotonicTime::from_millis(1_000)), None);
/// assert!(!leadership.is_granting());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LeadershipState {
    term: Option<LeadershipTerm>,
    is_granting: bool,
}

impl LeadershipState {
    /// Compares with the state of the election. Returns what has changed since the last call.
    pub fn update(
        &mut self,
        election: &LeaderElection,
        now: MonotonicTime,
    ) -> Option<LeadershipChange> {
        let held = election.held_term();
        let may_grant = election.may_grant(now);
        if self.term.is_some() && self.term == held {
            let was_granting = std::mem::replace(&mut self.is_granting, may_grant);
            return match (was_granting, may_grant) {
                (true, false) => Some(LeadershipChange::Suspended),
                (false, true) => Some(LeadershipChange::Resumed),
                _ => None,
            };
        }
        self.is_granting = may_grant;
        if may_grant {
            self.term = held;
            return Some(LeadershipChange::Gained);
        }
        self.term.take().map(|_| LeadershipChange::Lost)
    }

    /// Returns whether the instance had the right to grant leases at the last update.
    #[must_use]
    pub const fn is_granting(&self) -> bool {
        self.is_granting
    }

    /// Returns whether the instance held a leadership at the last update, if only a suspended one.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.term.is_some()
    }
}
