//! When an instance relies on another one to watch the store for it.

use std::time::Duration;

use mustardhinge_core::membership::StorePart;
use mustardhinge_core::prelude::MonotonicTime;
use tokio::time::{sleep, timeout};

use super::ControlState;

/// Time without a grant after which an instance watches the store itself; two requests are
/// unanswered.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Maximum number of instances of a fleet in which each one reads the store when its copy is not
/// confirmed. In larger fleets, an instance leaves that to its relay as long as the relay answers.
///
/// Load pattern: the store is out, and hundreds of instances read large configurations and lists at
/// once when it returns. On slow links, these reads displace the leader's messages.
const MAX_READERS: usize = 50;
/// Time after its last report for which a relay counts as answering; two queries are unanswered.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Added to a wait for [`RELAY_TIMEOUT`], so that a single check after the wait is enough.
const RELAY_TIMEOUT_MARGIN: Duration = Duration::from_millis(10);
/// Time after which a read of the store counts as slow; reads of short lists take a few
/// milliseconds.
const SLOW_READ_TIME: Duration = Duration::from_millis(300);

impl<P> ControlState<P> {
    /// Returns whether this instance can watch the store for others: it has a configuration and, as
    /// far as it knows, reaches the store. A leader that nothing confirms any more lets another
    /// instance do so before its call to the store times out.
    #[must_use]
    pub fn can_relay(&self, now: MonotonicTime) -> bool {
        let has_plan = self.node.plan().version().get() > 0;
        let age = self.node.confirmation_ages(now).of(StorePart::Plan);
        let is_unconfirmed = age.is_some_and(|age| age >= StorePart::Plan.query_age());
        let is_leader = self.node.election.borrow().may_grant(now);
        self.is_store_available.get() && has_plan && !(is_leader && is_unconfirmed)
    }

    /// Returns whether another instance watches a part of the store for this one: this one has a
    /// relay, and its copy is confirmed or the relay answers in its place.
    #[must_use]
    pub fn is_relayed(&self, part: StorePart, now: MonotonicTime) -> bool {
        self.relay.get().is_some() && now < self.relay_expires_at(part)
    }

    /// Returns until when this instance relies on its relay, unless the copy is confirmed before.
    fn relay_expires_at(&self, part: StorePart) -> MonotonicTime {
        let grant_expires_at = self.granted_at.get() + RELAY_TIMEOUT;
        let Some(mut relied_until) = self.node.confirmations().expires_at(part) else {
            return grant_expires_at;
        };
        if self.node.instances() > MAX_READERS {
            let answers_until = self.relay_reported_at.get() + REPORT_TIMEOUT;
            relied_until = relied_until.max(answers_until);
        }
        relied_until.min(grant_expires_at)
    }

    /// Waits until [`is_relayed`](Self::is_relayed) returns `relayed`.
    pub async fn wait_until_relayed(&self, part: StorePart, relayed: bool) {
        loop {
            let now = self.node.clock.now();
            if self.is_relayed(part, now) == relayed {
                return;
            }
            let changed = self.relay_changed.notified();
            if relayed {
                changed.await;
            } else {
                let expires_at = self.relay_expires_at(part);
                let wait = (expires_at + RELAY_TIMEOUT_MARGIN).saturating_since(now);
                // A timeout only means that the condition is checked again.
                let _ = timeout(wait, changed).await;
            }
        }
    }

    /// Returns whether the leader confirms the copy of a part. The leader itself has to confirm the
    /// copies of all others.
    #[must_use]
    pub fn is_confirmed_by_leader(&self, part: StorePart, now: MonotonicTime) -> bool {
        let is_leader = self.node.election.borrow().may_grant(now);
        let has_recent_grant = now.saturating_since(self.granted_at.get()) < RELAY_TIMEOUT;
        let expires_at = self.node.confirmations().leader_expires_at(part);
        has_recent_grant && !is_leader && expires_at.is_some_and(|at| now < at)
    }

    /// Waits until a watch that is open for long has to be given up: the leader does not confirm the
    /// copy any more, or this instance became the leader.
    pub async fn wait_until_unconfirmed(&self, part: StorePart) {
        loop {
            let now = self.node.clock.now();
            let expires_at = self.node.confirmations().leader_expires_at(part);
            let expires_at = expires_at.unwrap_or(now);
            if expires_at <= now {
                return;
            }
            let elected = self.elected.notified();
            if timeout(expires_at.saturating_since(now), elected)
                .await
                .is_ok()
            {
                return;
            }
        }
    }

    /// Waits until a read of the store is slow and another instance watches the store for this one.
    ///
    /// Load pattern: hundreds of processes start at once and read a list of thousands of targets.
    /// Their responses share the store's link, so those that can be had from a relay delay the
    /// others, including the relay's.
    pub async fn wait_while_slow(&self, part: StorePart) {
        sleep(SLOW_READ_TIME).await;
        self.wait_until_relayed(part, true).await;
    }
}
