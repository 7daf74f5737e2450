use super::{CallFunction, TextOperand};

/// One parsed statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SqlStatement {
    /// `BEGIN`
    Begin,
    /// `COMMIT`
    Commit,
    /// `ROLLBACK`
    Rollback,
    /// `DISCARD ALL`
    DiscardAll,
    /// `SELECT 1`
    SelectLiteral(TextOperand),
    /// `INSERT INTO t (k, v) VALUES (…)`
    Insert {
        /// The table.
        table: String,
        /// The key.
        key: TextOperand,
        /// The value.
        value: TextOperand,
        /// Whether a present key is no error.
        skip_present: bool,
    },
    /// `UPDATE t SET v = … WHERE k = …`
    Update {
        /// The table.
        table: String,
        /// The key.
        key: TextOperand,
        /// The value.
        value: TextOperand,
    },
    /// `DELETE FROM t WHERE k = …`
    Delete {
        /// The table.
        table: String,
        /// The key.
        key: TextOperand,
    },
    /// `SELECT v FROM t WHERE k = …`, or the whole table.
    SelectRows {
        /// The columns asked for.
        columns: Vec<String>,
        /// The table.
        table: String,
        /// The key, or none for all rows.
        key: Option<TextOperand>,
    },
    /// `SELECT function(…)`
    Call {
        /// The function.
        function: CallFunction,
        /// Its arguments.
        arguments: Vec<TextOperand>,
    },
}

impl SqlStatement {
    /// Returns the names of the columns that it answers, none if no rows.
    #[must_use]
    pub fn columns(&self) -> Vec<&str> {
        match self {
            Self::SelectLiteral(_) => vec!["?column?"],
            Self::SelectRows { columns, .. } => columns.iter().map(String::as_str).collect(),
            Self::Call { function, .. } => function.columns().to_vec(),
            _ => Vec::new(),
        }
    }

    /// Returns how many parameters it takes.
    #[must_use]
    pub fn parameter_count(&self) -> usize {
        let count = |operands: &[&TextOperand]| {
            let numbers = operands.iter().map(|operand| operand.parameter_number());
            numbers.max().unwrap_or(0)
        };
        match self {
            Self::SelectLiteral(operand) => count(&[operand]),
            Self::Insert { key, value, .. } | Self::Update { key, value, .. } => {
                count(&[key, value])
            }
            Self::Delete { key, .. } => count(&[key]),
            Self::SelectRows { key, .. } => count(&key.iter().collect::<Vec<_>>()),
            Self::Call { arguments, .. } => count(&arguments.iter().collect::<Vec<_>>()),
            Self::Begin | Self::Commit | Self::Rollback | Self::DiscardAll => 0,
        }
    }

    /// Tells whether it changes rows.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        matches!(
            self,
            Self::Insert { .. } | Self::Update { .. } | Self::Delete { .. }
        )
    }

    /// Tells whether it runs without waiting for a slot.
    #[must_use]
    pub const fn is_slot_free(&self) -> bool {
        match self {
            Self::Begin | Self::Commit | Self::Rollback | Self::DiscardAll => true,
            Self::Call { function, .. } => function.is_group_call(),
            _ => false,
        }
    }
}
