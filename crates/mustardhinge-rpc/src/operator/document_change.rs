use std::fmt;

use mustardhinge_config::document::DocumentDifference;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A key whose value differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentChange {
    /// The path of the key, such as `customer[seeb].rate`.
    pub key_path: String,
    /// Whether the key was added, removed or changed.
    pub change: String,
}

impl From<&DocumentDifference> for DocumentChange {
    fn from(difference: &DocumentDifference) -> Self {
        Self {
            key_path: difference.key_path.clone(),
            change: difference.kind.to_string(),
        }
    }
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key_path, self.change)
    }
}
