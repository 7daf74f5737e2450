use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// The running statements that a cancel request may name.
#[derive(Debug, Default)]
pub(crate) struct CancelRegistry {
    running: Mutex<HashMap<(i32, i32), CancellationToken>>,
}

impl CancelRegistry {
    /// Notes that the connection with this process id and secret runs a
    /// statement; the token tells when to give up.
    pub(crate) fn start(&self, process: i32, secret: i32) -> CancellationToken {
        let token = CancellationToken::new();
        self.lock().insert((process, secret), token.clone());
        token
    }

    /// Notes that the statement has ended.
    pub(crate) fn end(&self, process: i32, secret: i32) {
        self.lock().remove(&(process, secret));
    }

    /// Cancels the statement that runs, if any.
    pub(crate) fn cancel(&self, process: i32, secret: i32) {
        if let Some(token) = self.lock().get(&(process, secret)) {
            token.cancel();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(i32, i32), CancellationToken>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
