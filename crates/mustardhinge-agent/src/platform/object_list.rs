use serde::{Deserialize, Serialize};

use super::StoredObject;

/// Objects of one kind and the store revision at which they were read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The revision of the store.
    pub revision: u64,
    /// The objects.
    #[serde(deserialize_with = "mustardhinge_rpc::readable_entries")]
    pub objects: Vec<StoredObject>,
}
