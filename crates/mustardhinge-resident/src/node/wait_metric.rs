use mustardhinge_core::prelude::MonotonicTime;
use mustardhinge_process::BootClock;

/// Records the time since `began` as the wait for `what`.
pub(crate) fn record_wait(what: &'static str, began: MonotonicTime, clock: &BootClock) {
    let waited = clock.now().saturating_since(began);
    metrics::histogram!("resident_wait_seconds", "for" => what).record(waited.as_secs_f64());
}
