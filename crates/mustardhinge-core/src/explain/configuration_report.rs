use serde::{Deserialize, Serialize};

use crate::units::{DocumentVersion, RoutePriority};

/// The configuration by which the request is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationReport {
    /// Version of the configuration; `None` before the first one.
    pub version: Option<DocumentVersion>,
    /// Which writes reads of the route must see: `primary`, `own` or `bounded`.
    pub read_rule: Option<String>,
    /// Maximum staleness that the route allows.
    pub max_staleness_ms: Option<u64>,
    /// Priority of the route.
    pub priority: Option<RoutePriority>,
    /// Latency objective of the route.
    pub objective_ms: Option<u64>,
    /// Time limit of one statement.
    pub statement_timeout_ms: Option<u64>,
    /// What follows for the request.
    pub effect: String,
}
