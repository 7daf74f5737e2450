use std::net::SocketAddr;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::ForwardDelays;
use super::delay_forwarder::ForwardShared;
use crate::fault::LinkFaults;

/// A running forwarder: its address, its delays and its fault switches.
#[derive(Clone, Debug)]
pub struct ForwardHandle {
    pub(super) address: SocketAddr,
    pub(super) shared: Arc<ForwardShared>,
    pub(super) stop: CancellationToken,
    pub(super) tasks: TaskTracker,
}

impl ForwardHandle {
    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections it accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        *self.shared.accepted.borrow()
    }

    /// Changes the delays; they hold for bytes that are not yet passed on.
    pub fn change_delays(&self, change: impl FnOnce(&mut ForwardDelays)) {
        self.shared.delays.send_modify(change);
    }

    /// Changes the faults.
    pub fn change_link(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.shared.link_faults.send_modify(change);
    }

    /// Returns the faults.
    #[must_use]
    pub fn link_faults(&self) -> LinkFaults {
        self.shared.link_faults.borrow().clone()
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        let next = self.accepted_connections() + 1;
        self.change_link(|link| link.silent_before = next);
    }

    /// Ends all its tasks.
    pub async fn shutdown(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
