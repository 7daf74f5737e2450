use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two looks at the clock.
const TICK: Duration = Duration::from_millis(10);
/// A look that comes this much late is a stall: an eighth of the time after
/// which an agent gives another one up.
const MIN_STALL: Duration = Duration::from_millis(60);

/// Notes when the machine did not run this process, so that what was measured
/// meanwhile is measured again.
///
/// It looks from a thread of its own: a test's runtime that is held up by the
/// code under test is no stall.
pub(crate) struct StallWatch {
    last_stall: Arc<Mutex<Option<Instant>>>,
    is_ended: Arc<AtomicBool>,
}

impl StallWatch {
    /// Starts to watch, until it is dropped.
    pub(crate) fn start() -> Self {
        let watch = Self {
            last_stall: Arc::default(),
            is_ended: Arc::default(),
        };
        let last_stall = watch.last_stall.clone();
        let is_ended = watch.is_ended.clone();
        thread::spawn(move || {
            while !is_ended.load(Ordering::Relaxed) {
                let slept_at = Instant::now();
                thread::sleep(TICK);
                let late = slept_at.elapsed().saturating_sub(TICK);
                if late >= MIN_STALL {
                    eprintln!("the machine stood still for {late:?}");
                    *last_stall.lock().unwrap() = Some(Instant::now());
                }
            }
        });
        watch
    }

    /// Returns whether there was no stall since a moment. A stall that has just
    /// ended is waited for, so that the watching thread has seen it.
    pub(crate) async fn is_steady_since(&self, since: Instant) -> bool {
        tokio::time::sleep(2 * TICK).await;
        self.last_stall
            .lock()
            .unwrap()
            .is_none_or(|stall| stall < since)
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}
