use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One route: how statements that name it are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// The name that the statement's tag gives, as in `/*route='catalogue'*/`.
    pub name: RouteName,
    /// The age that the rows may have, in milliseconds; none means the newest.
    #[serde(default)]
    pub max_age_ms: Option<u32>,
    /// Whether callers without a key may use it.
    #[serde(default)]
    pub open: bool,
    /// Whether a statement may be sent again when its first answer is lost.
    #[serde(default)]
    pub repeatable: bool,
}
