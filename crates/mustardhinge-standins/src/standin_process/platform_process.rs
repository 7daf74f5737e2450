use std::sync::Arc;
use std::time::Duration;

use mustardhinge_process::{event, wait_for_stop};

use super::PlatformSettings;
use crate::control::start_platform_control;
use crate::platform::PlatformServer;

/// Serves a platform until the process is told to stop.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn serve_platform(settings: PlatformSettings) -> anyhow::Result<()> {
    let platform = PlatformServer::builder()
        .listen(settings.listen)
        .start()
        .await?;
    for instance in settings.instances {
        platform.put_instance(instance.into());
    }
    platform.set_instance_lag(Duration::from_millis(settings.instance_lag_ms.into()));
    let address = platform.address();
    let platform = Arc::new(platform);
    let control = match settings.control {
        Some(address) => Some(start_platform_control(Arc::clone(&platform), address)?),
        None => None,
    };
    event::PROCESS_STARTED.log(format_args!("platform listen={address}"));
    wait_for_stop().await?;
    event::PROCESS_STOPPING.log(format_args!("platform listen={address}"));
    drop(control);
    event::PROCESS_STOPPED.log(format_args!("platform listen={address}"));
    Ok(())
}
