use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::TimeMicros;

/// An update of a document that an operator was told is accepted.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedUpdate {
    /// The service.
    pub service: ServiceId,
    /// The operator's name for the update.
    pub operation: String,
    /// The version that it was given.
    pub version: DocumentVersion,
    /// When the operator was told.
    #[serde_as(as = "TimeMicros")]
    pub at: MonotonicTime,
}

/// A version of a document that was first seen in force on an instance.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSighting {
    /// The service.
    pub service: ServiceId,
    /// The instance.
    pub instance: InstanceId,
    /// The version.
    pub version: DocumentVersion,
    /// When it was seen.
    #[serde_as(as = "TimeMicros")]
    pub at: MonotonicTime,
}
