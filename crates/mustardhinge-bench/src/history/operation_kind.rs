use serde::{Deserialize, Serialize};

/// What an operation does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OperationKind {
    /// A keyed write with a request id, which may be repeated.
    Confirmation {
        /// The row.
        key: String,
        /// The value, unique within the run.
        value: String,
    },
    /// A write without request id, which may not be repeated.
    Order {
        /// The row.
        key: String,
        /// The value, unique within the run.
        value: String,
    },
    /// Two rows written in one transaction.
    Reassignment {
        /// The rows.
        keys: [String; 2],
        /// The value written to both, unique within the run.
        value: String,
    },
    /// A read of the newest value of a row.
    NewestRead {
        /// The row.
        key: String,
        /// Whether the caller showed a read token.
        has_token: bool,
    },
    /// A read that accepts a value of a stated age.
    AgedRead {
        /// The row.
        key: String,
    },
    /// A read on a route that is open to all.
    OpenRead {
        /// The number of rows asked for.
        rows: u32,
    },
}

impl OperationKind {
    /// Returns the unique value that the operation writes, if it writes.
    #[must_use]
    pub fn written_value(&self) -> Option<&str> {
        match self {
            Self::Confirmation { value, .. }
            | Self::Order { value, .. }
            | Self::Reassignment { value, .. } => Some(value),
            Self::NewestRead { .. } | Self::AgedRead { .. } | Self::OpenRead { .. } => None,
        }
    }

    /// Returns the rows that the operation writes.
    #[must_use]
    pub fn written_keys(&self) -> &[String] {
        match self {
            Self::Confirmation { key, .. } | Self::Order { key, .. } => std::slice::from_ref(key),
            Self::Reassignment { keys, .. } => keys,
            Self::NewestRead { .. } | Self::AgedRead { .. } | Self::OpenRead { .. } => &[],
        }
    }

    /// Returns the row that the operation reads, if it reads one.
    #[must_use]
    pub fn read_key(&self) -> Option<&str> {
        match self {
            Self::NewestRead { key, .. } | Self::AgedRead { key } => Some(key),
            _ => None,
        }
    }

    /// Returns whether the operation reads.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.written_value().is_none()
    }
}
