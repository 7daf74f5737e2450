use serde::{Deserialize, Serialize};

use super::RowKey;

/// The new value of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// The row.
    pub row: RowKey,
    /// Its value from now on, or none if it is deleted.
    pub value: Option<String>,
}
