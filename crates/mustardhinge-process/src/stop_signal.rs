use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handlers of the signals that stop a process.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Installs the handlers of SIGTERM and SIGINT, in the context of a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler can't be installed.
    pub fn install() -> anyhow::Result<Self> {
        let terminate =
            signal(SignalKind::terminate()).context("failed to install the SIGTERM handler")?;
        let interrupt =
            signal(SignalKind::interrupt()).context("failed to install the SIGINT handler")?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    /// Waits until the process receives one of the signals.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
pub async fn wait_for_stop() -> anyhow::Result<()> {
    StopSignal::install()?.received().await;
    Ok(())
}
