use serde::{Deserialize, Serialize};

/// What the platform's list says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}
