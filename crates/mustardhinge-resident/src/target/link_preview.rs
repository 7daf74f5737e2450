use mustardhinge_core::gateway::GatewayRoute;

use super::LinkAdmission;

/// How a statement would be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkPreview {
    /// The route through the target's gateways; `None` if every instance connects directly.
    pub route: Option<GatewayRoute>,
    /// Whether the statement would be admitted there.
    pub admission: LinkAdmission,
}
