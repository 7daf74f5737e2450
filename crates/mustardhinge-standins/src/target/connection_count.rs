use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// One of the connections that a target has open; ends when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionCount {
    open: Arc<AtomicUsize>,
}

impl ConnectionCount {
    /// Counts a connection unless `limit` are open.
    pub(crate) fn acquire(open: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let take = |count: usize| (count < limit).then_some(count + 1);
        open.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .ok()?;
        let open = Arc::clone(open);
        Some(Self { open })
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}
