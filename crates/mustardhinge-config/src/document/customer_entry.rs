use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use mustardhinge_core::key::KeyDigest;

/// One customer of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// The name of the customer.
    pub name: CustomerId,
    /// The rate over all instances together.
    pub rate: RequestRate,
    /// The burst over all instances together.
    pub burst: RequestBurst,
    /// Digests of the keys that stand.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
}
