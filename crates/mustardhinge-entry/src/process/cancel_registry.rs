use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pgwire::messages::startup::SecretKey;
use slab::Slab;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::target::CancelKey;
use crate::wire::WireFrame;

/// Maps the cancel keys of callers to the target statements that they cancel.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    entries: Mutex<Slab<CancelEntry>>,
}

#[derive(Debug)]
struct CancelEntry {
    secret: i32,
    running: Option<(SocketAddr, CancelKey)>,
}

impl CancelRegistry {
    /// Registers a caller. Its cancel key is valid until the slot is dropped.
    #[must_use]
    pub fn register(self: &Arc<Self>) -> CancelSlot {
        let secret = rand::random::<i32>();
        let running = None;
        let index = self.lock().insert(CancelEntry { secret, running });
        CancelSlot {
            registry: Arc::clone(self),
            index,
            secret,
        }
    }

    /// Forwards a cancel request to the target that runs the caller's statement.
    /// Requests with an unknown key are ignored.
    pub async fn cancel(&self, key: &CancelKey) {
        let Some((address, target_key)) = self.find_running(key) else {
            return;
        };
        let Ok(packet) = WireFrame::encode(&target_key.to_request()) else {
            return;
        };
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let _ = stream.write_all(packet.as_bytes()).await;
        }
    }

    fn find_running(&self, key: &CancelKey) -> Option<(SocketAddr, CancelKey)> {
        let index = usize::try_from(key.pid).ok()?;
        let entries = self.lock();
        let entry = entries.get(index)?;
        let secret_matches = SecretKey::I32(entry.secret).eq_value(&key.secret);
        entry.running.clone().filter(|_| secret_matches)
    }

    fn lock(&self) -> MutexGuard<'_, Slab<CancelEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one caller in the registry.
#[derive(Debug)]
pub struct CancelSlot {
    registry: Arc<CancelRegistry>,
    index: usize,
    secret: i32,
}

impl CancelSlot {
    /// Returns the cancel key of the caller.
    #[must_use]
    pub fn key(&self) -> CancelKey {
        CancelKey {
            pid: i32::try_from(self.index).unwrap_or(i32::MAX),
            secret: SecretKey::I32(self.secret),
        }
    }

    /// Sets the target statement that a cancel request applies to.
    pub fn set_running(&self, running: Option<(SocketAddr, CancelKey)>) {
        if let Some(entry) = self.registry.lock().get_mut(self.index) {
            entry.running = running;
        }
    }
}

impl Drop for CancelSlot {
    fn drop(&mut self) {
        self.registry.lock().try_remove(self.index);
    }
}
