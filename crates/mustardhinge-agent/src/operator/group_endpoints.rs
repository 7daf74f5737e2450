use dropshot::{HttpResponseOk, Path, RequestContext, TypedBody, endpoint};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::operator::{ErrorKind, SwitchoverRequest, SwitchoverResult};
use schemars::JsonSchema;
use serde::Deserialize;

use super::{ApiError, OperatorContext};
use crate::group::run_switchover;
use crate::peer::forward_switchover;

/// The path of a database group.
#[derive(Deserialize, JsonSchema)]
pub(super) struct GroupPath {
    group: String,
}

/// Runs a switchover of a database group.
#[endpoint {
    method = POST,
    path = "/groups/{group}/switchover",
}]
pub(super) async fn switch_over(
    request: RequestContext<OperatorContext>,
    path: Path<GroupPath>,
    body: TypedBody<SwitchoverRequest>,
) -> Result<HttpResponseOk<SwitchoverResult>, ApiError> {
    let context = request.context();
    let group: GroupId = path
        .into_inner()
        .group
        .parse()
        .map_err(ApiError::bad_request)?;
    let order = body.into_inner();
    let (state, registry) = (&context.state, &context.registry);
    let result = match run_switchover(state, registry, group.clone(), order.to.clone()).await {
        Err(error) if error.kind == ErrorKind::NotRun => {
            forward_switchover(state, &group, &order).await?
        }
        ended => ended?,
    };
    Ok(HttpResponseOk(result))
}
