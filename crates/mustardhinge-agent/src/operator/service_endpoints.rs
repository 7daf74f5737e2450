use dropshot::{HttpResponseOk, Path, RequestContext, TypedBody, endpoint};
use mustardhinge_config::document::edit::set_leaving;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::operator::{
    DocumentUpdate, DrainRequest, KeyWithdrawal, ServiceSummary, ServiceText, UpdateResult,
};
use schemars::JsonSchema;
use serde::Deserialize;

use super::status_report::summarize_services;
use super::{ApiError, OperatorContext};

/// The path of a service.
#[derive(Deserialize, JsonSchema)]
pub(super) struct ServicePath {
    service: String,
}

/// The path of a target of a service.
#[derive(Deserialize, JsonSchema)]
pub(super) struct TargetPath {
    service: String,
    target: String,
}

/// Lists the services that the agent has adopted.
#[endpoint {
    method = GET,
    path = "/services",
}]
pub(super) async fn list_services(
    request: RequestContext<OperatorContext>,
) -> Result<HttpResponseOk<Vec<ServiceSummary>>, ApiError> {
    let state = &request.context().state;
    Ok(HttpResponseOk(state.read(summarize_services)))
}

/// Returns the text of a service's document.
#[endpoint {
    method = GET,
    path = "/services/{service}",
}]
pub(super) async fn get_service(
    request: RequestContext<OperatorContext>,
    path: Path<ServicePath>,
) -> Result<HttpResponseOk<ServiceText>, ApiError> {
    let service = parse_id(&path.into_inner().service)?;
    let text = request.context().writer().read_text(&service).await?;
    Ok(HttpResponseOk(text))
}

/// Updates a service's document if the expected version is current.
#[endpoint {
    method = PUT,
    path = "/services/{service}",
}]
pub(super) async fn put_service(
    request: RequestContext<OperatorContext>,
    path: Path<ServicePath>,
    body: TypedBody<DocumentUpdate>,
) -> Result<HttpResponseOk<UpdateResult>, ApiError> {
    let service = parse_id(&path.into_inner().service)?;
    let writer = request.context().writer();
    let result = writer.apply(&service, &body.into_inner()).await?;
    Ok(HttpResponseOk(result))
}

/// Withdraws a key of a customer.
#[endpoint {
    method = POST,
    path = "/services/{service}/withdraw-key",
}]
pub(super) async fn withdraw_key(
    request: RequestContext<OperatorContext>,
    path: Path<ServicePath>,
    body: TypedBody<KeyWithdrawal>,
) -> Result<HttpResponseOk<UpdateResult>, ApiError> {
    let service = parse_id(&path.into_inner().service)?;
    let writer = request.context().writer();
    let result = writer.withdraw_key(&service, &body.into_inner()).await?;
    Ok(HttpResponseOk(result))
}

/// Starts or cancels draining of a target.
#[endpoint {
    method = POST,
    path = "/services/{service}/targets/{target}/drain",
}]
pub(super) async fn drain_target(
    request: RequestContext<OperatorContext>,
    path: Path<TargetPath>,
    body: TypedBody<DrainRequest>,
) -> Result<HttpResponseOk<UpdateResult>, ApiError> {
    let path = path.into_inner();
    let service = parse_id(&path.service)?;
    let target: TargetId = path.target.parse().map_err(ApiError::bad_request)?;
    let drain = body.into_inner();
    let edit = |text: &str| set_leaving(text, &target, drain.draining);
    let writer = request.context().writer();
    let result = writer.edit(&service, &drain.operation_id, edit).await?;
    Ok(HttpResponseOk(result))
}

fn parse_id(text: &str) -> Result<ServiceId, ApiError> {
    text.parse().map_err(ApiError::bad_request)
}
