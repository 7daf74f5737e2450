use serde::{Deserialize, Serialize};

use super::{
    AdmissionReport, CandidateReport, ConfigurationReport, FloorReport, GatewayReport, LeaseReport,
    RateReport, WaitReport,
};

/// One step of the request path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum ExplainStep {
    /// The configuration by which the request is served.
    Configuration(ConfigurationReport),
    /// The check of the customer's rate.
    Rate(RateReport),
    /// The lease on the group's primary.
    Lease(LeaseReport),
    /// The choice of the target.
    Targets {
        /// All listed targets of the group.
        candidates: Vec<CandidateReport>,
        /// What follows for the request.
        effect: String,
    },
    /// The choice of the gateway.
    Gateways {
        /// The gateways of each target.
        targets: Vec<GatewayReport>,
    },
    /// The expected wait by priority.
    Waits {
        /// The waits at each target.
        targets: Vec<WaitReport>,
    },
    /// Whether the request is admitted at a target.
    Admission {
        /// The decision for each target.
        targets: Vec<AdmissionReport>,
        /// What follows for the request.
        effect: String,
    },
    /// The log position that a read requires.
    Floor(FloorReport),
}
