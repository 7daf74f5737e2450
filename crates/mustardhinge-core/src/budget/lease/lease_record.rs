use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{HolderId, LeaseTerms};

/// The record in the platform's store that names the holder of a zone's share.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder, or `None` after the share was released.
    pub holder: Option<HolderId>,
    /// Increases with each new holder.
    pub epoch: u64,
    /// Increases with each write.
    pub renewal: u64,
    /// The writer of the record: the holder, or an earlier one that releases the floor.
    pub writer: HolderId,
    /// The epoch whose holder may use the floor; smaller than `epoch` while an earlier
    /// holder may still use it.
    pub floor_epoch: u64,
    /// The term of the floor for the holder that may use it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "floor_term_ms")]
    pub floor_term: Duration,
    /// The lease terms of the current holder.
    pub terms: LeaseTerms,
}

impl LeaseRecord {
    /// Creates the first record of a zone.
    #[must_use]
    pub fn first(holder: HolderId, terms: LeaseTerms) -> Self {
        Self {
            holder: Some(holder.clone()),
            epoch: 1,
            renewal: 1,
            writer: holder,
            floor_epoch: 1,
            floor_term: terms.floor,
            terms,
        }
    }

    /// Returns the record of the next write, by `writer`.
    ///
    /// The writer and the renewal number identify a write. Without the writer, an agent
    /// could mistake the same change by another agent for its own write.
    #[must_use]
    pub(crate) fn next(&self, writer: &HolderId) -> Self {
        Self {
            renewal: self.renewal + 1,
            writer: writer.clone(),
            ..self.clone()
        }
    }

    /// Returns the record with `holder` as the holder of a new epoch.
    #[must_use]
    pub(crate) fn with_holder(self, holder: HolderId, terms: LeaseTerms) -> Self {
        Self {
            holder: Some(holder),
            epoch: self.epoch + 1,
            terms,
            ..self
        }
    }

    /// Returns the record with the floor assigned to the current holder.
    #[must_use]
    pub(crate) fn with_floor(self) -> Self {
        Self {
            floor_epoch: self.epoch,
            floor_term: self.terms.floor,
            ..self
        }
    }

    /// Returns the record in which an operator assigns the floor to the current holder.
    ///
    /// Does not wait until the term of the floor ends. The operator must know that the
    /// instance of the earlier holder is gone permanently.
    #[must_use]
    pub fn with_floor_forced(&self, operator: &HolderId) -> Self {
        self.next(operator).with_floor()
    }

    /// Returns the record of a released share.
    #[must_use]
    pub(crate) fn released(self) -> Self {
        Self {
            holder: None,
            ..self
        }
    }

    /// Returns whether the floor belongs to the current epoch.
    #[must_use]
    pub const fn has_floor(&self) -> bool {
        self.floor_epoch == self.epoch
    }
}
