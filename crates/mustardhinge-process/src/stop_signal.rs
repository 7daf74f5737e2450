use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process is asked to stop, by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("handling SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("handling SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
