use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;

/// The clock of a run, and the moment at which its load begins.
#[derive(Clone, Copy, Debug)]
pub struct SessionClock {
    /// The clock.
    pub clock: ProcessClock,
    /// The start of the load.
    pub start: MonotonicTime,
    /// When callers give up what they have not sent by then.
    pub end: MonotonicTime,
}

impl SessionClock {
    /// Reads the present time.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Sleeps until `due` after the start of the load; returns that moment.
    pub async fn sleep_until(&self, due: Duration) -> MonotonicTime {
        let moment = self.start + due;
        tokio::time::sleep(moment.saturating_since(self.now())).await;
        moment
    }
}
