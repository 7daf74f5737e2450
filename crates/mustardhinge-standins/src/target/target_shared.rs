use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::BytesMut;
use tokio::sync::{Semaphore, watch};

use super::TargetFaults;
use super::cancel_registry::CancelRegistry;
use super::member::GroupMember;
use super::statement_log::StatementLog;
use super::target_settings::TargetSettings;
use crate::fault::LinkFaults;

/// What all tasks of one target share.
#[derive(Debug)]
pub(crate) struct TargetShared {
    pub(crate) settings: TargetSettings,
    pub(crate) statements: StatementLog,
    pub(crate) cancels: CancelRegistry,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) open_connections: Arc<AtomicUsize>,
    pub(crate) link_faults: watch::Sender<LinkFaults>,
    pub(crate) faults: watch::Sender<TargetFaults>,
    pub(crate) accepted: watch::Sender<u64>,
    member: Mutex<GroupMember>,
    progress: watch::Sender<()>,
    received: Mutex<BytesMut>,
}

impl TargetShared {
    pub(crate) fn new(settings: TargetSettings) -> Self {
        Self {
            statements: StatementLog::default(),
            cancels: CancelRegistry::default(),
            slots: Arc::new(Semaphore::new(settings.slots)),
            open_connections: Arc::default(),
            link_faults: watch::Sender::default(),
            faults: watch::Sender::default(),
            accepted: watch::Sender::default(),
            member: Mutex::new(GroupMember::new(settings.name.clone())),
            progress: watch::Sender::default(),
            received: Mutex::default(),
            settings,
        }
    }

    /// Reads the state of the member.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&GroupMember) -> T) -> T {
        read(&self.lock_member())
    }

    /// Changes the state of the member and wakes whoever waits for progress.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut GroupMember) -> T) -> T {
        let result = change(&mut self.lock_member());
        self.progress.send_replace(());
        result
    }

    /// Changes the state in a way that nobody waits for.
    pub(crate) fn change_quietly<T>(&self, change: impl FnOnce(&mut GroupMember) -> T) -> T {
        change(&mut self.lock_member())
    }

    /// Returns a receiver that wakes on each change of the member.
    pub(crate) fn progress(&self) -> watch::Receiver<()> {
        self.progress.subscribe()
    }

    /// Waits while the process is frozen.
    pub(crate) async fn wait_thawed(&self) {
        let mut faults = self.link_faults.subscribe();
        // The sender lives in `self`, so that waiting can't fail.
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    /// Keeps bytes that a caller sent, if recording is on.
    pub(crate) fn record_bytes(&self, bytes: &[u8]) {
        if self.settings.is_recording_bytes {
            self.lock_received().extend_from_slice(bytes);
        }
    }

    /// Returns a copy of all recorded bytes.
    pub(crate) fn received_bytes(&self) -> Vec<u8> {
        self.lock_received().to_vec()
    }

    fn lock_member(&self) -> MutexGuard<'_, GroupMember> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_received(&self) -> MutexGuard<'_, BytesMut> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
