use dropshot::{HttpResponseOk, RequestContext, TypedBody, endpoint};
use mustardhinge_core::drain::DrainCause;
use mustardhinge_rpc::operator::{AgentStatus, DrainRequest};

use super::status_report::describe_agent;
use super::{ApiError, OperatorContext};

/// Returns the status of the agent.
#[endpoint {
    method = GET,
    path = "/status",
}]
pub(super) async fn get_status(
    request: RequestContext<OperatorContext>,
) -> Result<HttpResponseOk<AgentStatus>, ApiError> {
    Ok(HttpResponseOk(describe_agent(request.context())))
}

/// Starts or cancels draining of the agent's instance.
#[endpoint {
    method = POST,
    path = "/drain",
}]
pub(super) async fn drain_instance(
    request: RequestContext<OperatorContext>,
    body: TypedBody<DrainRequest>,
) -> Result<HttpResponseOk<AgentStatus>, ApiError> {
    let context = request.context();
    let draining = body.into_inner().draining;
    context.state.set_drain(DrainCause::Operator, draining);
    Ok(HttpResponseOk(describe_agent(context)))
}
