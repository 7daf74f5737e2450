use serde::{Deserialize, Serialize};

/// The state of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is about to be removed.
    Leaving,
}
