use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
pub async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("failed to install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("failed to install the SIGINT handler")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
