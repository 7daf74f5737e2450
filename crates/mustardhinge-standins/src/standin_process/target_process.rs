use std::time::Duration;

use anyhow::Context;
use mustardhinge_core::prelude::LeaderTerm;
use mustardhinge_process::{event, wait_for_stop};

use super::{InitialPrimary, TargetProcessSettings};
use crate::control::start_target_control;
use crate::target::member::PrimaryLink;
use crate::target::{TargetHandle, TargetServer};

/// Serves a target until the process is told to stop.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn serve_target(settings: TargetProcessSettings) -> anyhow::Result<()> {
    let listen = settings.listen;
    let target = TargetServer::builder(&settings.name)
        .listen(listen)
        .slots(settings.slots)
        .connection_limit(settings.connection_limit)
        .connection_delay(Duration::from_millis(settings.connection_delay_ms))
        .statement_time(Duration::from_millis(settings.statement_time_ms))
        .start()
        .await
        .with_context(|| format!("listening on {listen}"))?;
    if let Some(initial) = &settings.initial {
        join_group(&target, initial);
    }
    let control = match settings.control {
        Some(address) => Some(start_target_control(target.clone(), address)?),
        None => None,
    };
    let (name, address) = (target.name().to_owned(), target.address());
    event::PROCESS_STARTED.log(format_args!("target={name} listen={address}"));
    wait_for_stop().await?;
    event::PROCESS_STOPPING.log(format_args!("target={name}"));
    drop(control);
    target.shutdown().await;
    event::PROCESS_STOPPED.log(format_args!("target={name}"));
    Ok(())
}

/// Makes a new target the primary that its group starts with, or a replica.
fn join_group(target: &TargetHandle, initial: &InitialPrimary) {
    let term = LeaderTerm::new(initial.term);
    let is_joined = if initial.primary == target.name() {
        target.fence(term, target.name()) && target.promote(term, target.name())
    } else {
        target.follow(PrimaryLink {
            term,
            name: initial.primary.clone(),
            address: initial.address,
        })
    };
    event::TARGET_JOINED.log(format_args!(
        "target={} primary={} term={term} joined={is_joined}",
        target.name(),
        initial.primary
    ));
}
