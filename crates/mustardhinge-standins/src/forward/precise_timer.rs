use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

/// A timer that is finer than the runtime's, which rounds up to a millisecond.
///
/// One thread serves all waits of the process.
#[derive(Debug, Default)]
pub(super) struct PreciseTimer {
    waits: Mutex<BinaryHeap<Reverse<TimerWait>>>,
    is_earlier: Condvar,
}

/// One wait; ordered by its end.
#[derive(Debug)]
struct TimerWait {
    due: Instant,
    wake: Arc<Notify>,
}

impl PreciseTimer {
    /// Waits until `due`.
    pub(super) async fn wait_until(due: Instant) {
        if due <= Instant::now() {
            return;
        }
        let wake = Arc::new(Notify::new());
        let wait = TimerWait {
            due,
            wake: Arc::clone(&wake),
        };
        Self::shared().add(wait);
        wake.notified().await;
    }

    fn shared() -> &'static Arc<Self> {
        static TIMER: OnceLock<Arc<PreciseTimer>> = OnceLock::new();
        TIMER.get_or_init(|| {
            let timer = Arc::new(Self::default());
            let served = Arc::clone(&timer);
            std::thread::spawn(move || served.serve());
            timer
        })
    }

    fn add(&self, wait: TimerWait) {
        let mut waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        waits.push(Reverse(wait));
        self.is_earlier.notify_one();
    }

    fn serve(&self) {
        let mut waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let now = Instant::now();
            while waits.peek().is_some_and(|wait| wait.0.due <= now) {
                if let Some(Reverse(wait)) = waits.pop() {
                    wait.wake.notify_one();
                }
            }
            let next = waits.peek().map(|wait| wait.0.due - now);
            waits = match next {
                None => self
                    .is_earlier
                    .wait(waits)
                    .unwrap_or_else(PoisonError::into_inner),
                Some(time) => {
                    let result = self.is_earlier.wait_timeout(waits, time);
                    result.unwrap_or_else(PoisonError::into_inner).0
                }
            };
        }
    }
}

impl PartialEq for TimerWait {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for TimerWait {}

impl PartialOrd for TimerWait {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimerWait {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}
