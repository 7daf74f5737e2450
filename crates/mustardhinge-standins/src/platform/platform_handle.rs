use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dropshot::HttpServer;

use super::platform_shared::PlatformShared;
use super::{CallCounts, InstanceEntry, ObjectUpdate, PlatformFaults, StoredObject};
use crate::fault::LinkFaults;
use crate::forward::ForwardHandle;

/// A running platform: its address, its state and its fault switches.
pub struct PlatformHandle {
    shared: Arc<PlatformShared>,
    link: ForwardHandle,
    server: HttpServer<Arc<PlatformShared>>,
}

impl PlatformHandle {
    pub(super) const fn new(
        shared: Arc<PlatformShared>,
        link: ForwardHandle,
        server: HttpServer<Arc<PlatformShared>>,
    ) -> Self {
        Self {
            shared,
            link,
            server,
        }
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Returns how many calls came in.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.shared.calls()
    }

    /// Returns one object; not counted as a call.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<StoredObject> {
        let now = Instant::now();
        self.shared
            .read(now, |state| state.store.get(kind, name).cloned())
    }

    /// Carries out an update; not counted as a call.
    ///
    /// # Errors
    ///
    /// Returns the version and operation in force if the version is another.
    pub fn update(
        &self,
        kind: &str,
        name: &str,
        update: ObjectUpdate,
    ) -> Result<u64, (u64, Option<String>)> {
        self.shared.change(|store| store.update(kind, name, update))
    }

    /// Puts an instance into the list, or changes it; shown after the lag.
    pub fn put_instance(&self, entry: InstanceEntry) {
        let instance = entry.instance.clone();
        let now = Instant::now();
        self.shared.change_instance(&instance, Some(entry), now);
    }

    /// Takes an instance out of the list; shown after the lag.
    pub fn remove_instance(&self, instance: &str) {
        self.shared.change_instance(instance, None, Instant::now());
    }

    /// Sets how long the list of instances lags, for changes to come.
    pub fn set_instance_lag(&self, lag: Duration) {
        self.shared.instance_lag.send_replace(lag);
    }

    /// Changes the faults of the network in front of it.
    pub fn change_link(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.link.change_link(change);
    }

    /// Returns the network in front of it, to set delays.
    #[must_use]
    pub const fn link(&self) -> &ForwardHandle {
        &self.link
    }

    /// Changes the faults of the platform itself.
    pub fn change_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Returns the faults of the platform itself.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.shared.faults.borrow().clone()
    }

    /// Takes it down: resets all connections and refuses new ones.
    pub fn set_down(&self, is_down: bool) {
        self.change_link(|link| link.down = is_down);
    }

    /// Freezes it: it accepts connections and answers nothing.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.change_link(|link| link.frozen = is_frozen);
    }

    /// Ends all its tasks; calls under way are dropped.
    pub async fn shutdown(self) {
        self.link.shutdown().await;
        // Detached calls that lost their answers are not waited for.
        drop(self.server);
    }
}
