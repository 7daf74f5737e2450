use std::net::SocketAddr;

use anyhow::anyhow;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, RequestContext, TypedBody, endpoint,
};

use super::{ControlServer, TargetFaultState, TargetState};
use crate::target::{StatementRecord, TargetHandle};

type Context = RequestContext<TargetHandle>;

/// Starts the control port of a target.
///
/// # Errors
///
/// Fails if `address` can't be listened on.
pub fn start_target_control(
    target: TargetHandle,
    address: SocketAddr,
) -> anyhow::Result<ControlServer<TargetHandle>> {
    let api = describe().map_err(|error| anyhow!("{error}"))?;
    ControlServer::start(api, target, address)
}

fn describe() -> Result<ApiDescription<TargetHandle>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(put_fault)?;
    api.register(put_silence)?;
    api.register(get_state)?;
    api.register(get_statements)?;
    Ok(api)
}

#[endpoint { method = PUT, path = "/fault" }]
async fn put_fault(
    context: Context,
    faults: TypedBody<TargetFaultState>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let TargetFaultState { link, target } = faults.into_inner();
    let handle = context.context();
    handle.change_link(|current| *current = link);
    handle.change_faults(|current| *current = target);
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = PUT, path = "/silence" }]
async fn put_silence(context: Context) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().silence_connections();
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = GET, path = "/state" }]
async fn get_state(context: Context) -> Result<HttpResponseOk<TargetState>, HttpError> {
    let handle = context.context();
    let faults = TargetFaultState {
        link: handle.link_faults(),
        target: handle.faults(),
    };
    Ok(HttpResponseOk(TargetState {
        report: handle.report().to_row(),
        accepted_connections: handle.accepted_connections(),
        open_connections: handle.open_connections(),
        faults,
    }))
}

#[endpoint { method = GET, path = "/statements" }]
async fn get_statements(
    context: Context,
) -> Result<HttpResponseOk<Vec<StatementRecord>>, HttpError> {
    Ok(HttpResponseOk(context.context().statements()))
}
