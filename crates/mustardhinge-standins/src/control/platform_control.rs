use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, RequestContext, TypedBody, endpoint,
};

use super::{ControlServer, PlatformFaultState, PlatformState};
use crate::platform::PlatformHandle;

type Context = RequestContext<Arc<PlatformHandle>>;

/// Starts the control port of a platform.
///
/// # Errors
///
/// Fails if `address` can't be listened on.
pub fn start_platform_control(
    platform: Arc<PlatformHandle>,
    address: SocketAddr,
) -> anyhow::Result<ControlServer<Arc<PlatformHandle>>> {
    let api = describe().map_err(|error| anyhow!("{error}"))?;
    ControlServer::start(api, platform, address)
}

fn describe() -> Result<ApiDescription<Arc<PlatformHandle>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(put_fault)?;
    api.register(put_silence)?;
    api.register(get_state)?;
    Ok(api)
}

#[endpoint { method = PUT, path = "/fault" }]
async fn put_fault(
    context: Context,
    faults: TypedBody<PlatformFaultState>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let faults = faults.into_inner();
    let handle = context.context();
    handle.change_link(|current| *current = faults.link);
    handle.change_faults(|current| *current = faults.platform);
    if let Some(lag_ms) = faults.instance_lag_ms {
        handle.set_instance_lag(Duration::from_millis(lag_ms.into()));
    }
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = PUT, path = "/silence" }]
async fn put_silence(context: Context) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().link().silence_connections();
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = GET, path = "/state" }]
async fn get_state(context: Context) -> Result<HttpResponseOk<PlatformState>, HttpError> {
    let handle = context.context();
    let faults = PlatformFaultState {
        link: handle.link().link_faults(),
        platform: handle.faults(),
        instance_lag_ms: None,
    };
    Ok(HttpResponseOk(PlatformState {
        calls: handle.calls(),
        faults,
    }))
}
