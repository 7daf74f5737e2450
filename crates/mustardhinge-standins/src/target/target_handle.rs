use std::net::SocketAddr;
use std::sync::Arc;

use mustardhinge_core::prelude::LeaderTerm;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::member::{MemberReport, PrimaryLink};
use super::storage::RowKey;
use super::target_shared::TargetShared;
use super::{StatementRecord, TargetFaults};
use crate::fault::LinkFaults;

/// A running target: its address, its state and its fault switches.
#[derive(Clone, Debug)]
pub struct TargetHandle {
    pub(super) address: SocketAddr,
    pub(super) shared: Arc<TargetShared>,
    pub(super) stop: CancellationToken,
    pub(super) tasks: TaskTracker,
}

impl TargetHandle {
    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns what it says of itself.
    #[must_use]
    pub fn report(&self) -> MemberReport {
        self.shared.read(super::member::GroupMember::report)
    }

    /// Returns every statement that reached it.
    #[must_use]
    pub fn statements(&self) -> Vec<StatementRecord> {
        self.shared.statements.records()
    }

    /// Returns every byte that callers sent, if recording is on.
    #[must_use]
    pub fn received_bytes(&self) -> Vec<u8> {
        self.shared.received_bytes()
    }

    /// Returns the value of a row as reads see it.
    #[must_use]
    pub fn value_of(&self, table: &str, key: &str) -> Option<String> {
        let row = RowKey {
            table: table.to_owned(),
            key: key.to_owned(),
        };
        self.shared
            .read(|member| member.tables().get(&row).cloned())
    }

    /// Returns how many connections it accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        *self.shared.accepted.borrow()
    }

    /// Returns how many connections count against its limit now.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        let open = &self.shared.open_connections;
        open.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Changes the faults of the network in front of it.
    pub fn change_link(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.shared.link_faults.send_modify(change);
    }

    /// Returns the faults of the network in front of it.
    #[must_use]
    pub fn link_faults(&self) -> LinkFaults {
        self.shared.link_faults.borrow().clone()
    }

    /// Changes the faults of the target itself.
    pub fn change_faults(&self, change: impl FnOnce(&mut TargetFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Returns the faults of the target itself.
    #[must_use]
    pub fn faults(&self) -> TargetFaults {
        self.shared.faults.borrow().clone()
    }

    /// Takes it down: resets all connections and refuses new ones. The log and
    /// the rows stay; open transactions are rolled back.
    pub fn set_down(&self, is_down: bool) {
        self.change_link(|link| link.down = is_down);
    }

    /// Freezes it: it accepts connections and does nothing else.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.change_link(|link| link.frozen = is_frozen);
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        let next = self.accepted_connections() + 1;
        self.change_link(|link| link.silent_before = next);
    }

    /// Grants a term as `group_fence` does.
    #[must_use = "the call may be refused"]
    pub fn fence(&self, term: LeaderTerm, claimant: &str) -> bool {
        self.shared.change(|member| member.fence(term, claimant))
    }

    /// Promotes it as `group_promote` does.
    #[must_use = "the call may be refused"]
    pub fn promote(&self, term: LeaderTerm, claimant: &str) -> bool {
        self.shared.change(|member| member.promote(term, claimant))
    }

    /// Makes it follow a primary as `group_follow` does.
    #[must_use = "the call may be refused"]
    pub fn follow(&self, link: PrimaryLink) -> bool {
        self.shared.change(|member| member.follow(link))
    }

    /// Ends all its tasks.
    pub async fn shutdown(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
