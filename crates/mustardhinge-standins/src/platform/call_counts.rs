use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Serialize;

use super::CallKind;

/// How many calls came in, a waiting watch counted as one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, JsonSchema)]
pub struct CallCounts {
    /// The calls by their kinds.
    pub by_kind: BTreeMap<CallKind, u64>,
}

impl CallCounts {
    /// Counts one call.
    pub fn add(&mut self, kind: CallKind) {
        *self.by_kind.entry(kind).or_default() += 1;
    }

    /// Returns the count of one kind.
    #[must_use]
    pub fn of(&self, kind: CallKind) -> u64 {
        self.by_kind.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the count of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.by_kind.values().sum()
    }
}
