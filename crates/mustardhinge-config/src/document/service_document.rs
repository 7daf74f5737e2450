use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{CustomerEntry, GroupEntry, LimitEntry, RouteEntry};

/// The document of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// The service; callers name it as their database.
    pub service: ServiceId,
    /// The database group that serves it.
    pub group: GroupEntry,
    /// Limits that hold for the whole service.
    #[serde(default)]
    pub limits: LimitEntry,
    /// The customers, their keys, rates and bursts.
    #[serde(default, rename = "customer")]
    pub customers: Vec<CustomerEntry>,
    /// The routes that statements may name.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteEntry>,
}
