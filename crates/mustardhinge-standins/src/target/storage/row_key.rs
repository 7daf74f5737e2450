use serde::{Deserialize, Serialize};

/// The table and key of one row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: String,
    /// The key in the table.
    pub key: String,
}
