use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{HolderId, LeaseTerms};

/// The record in the platform's store that names the holder of a zone's share.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder; none after it has given the share back.
    pub holder: Option<HolderId>,
    /// Grows with each new holder.
    pub epoch: u64,
    /// Grows with each write.
    pub renewal: u64,
    /// Who wrote the record: the holder, or one before it that gives the floor up.
    pub writer: HolderId,
    /// The epoch whose holder may use the floor; smaller than `epoch` as long as a
    /// holder before may still do so.
    pub floor_epoch: u64,
    /// The term of the floor's lease for the holder that may use it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "floor_term_ms")]
    pub floor_term: Duration,
    /// The terms of the present holder's lease.
    pub terms: LeaseTerms,
}

impl LeaseRecord {
    /// Makes the first record of a zone.
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
    /// Writer and number identify the write: what a writer finds in the store is
    /// its own write only if both are the same. Another one may have written the
    /// same change before.
    #[must_use]
    pub(crate) fn next(&self, writer: &HolderId) -> Self {
        Self {
            renewal: self.renewal + 1,
            writer: writer.clone(),
            ..self.clone()
        }
    }

    /// Returns the record with `holder` as the next holder, in an epoch of its own.
    #[must_use]
    pub(crate) fn with_holder(self, holder: HolderId, terms: LeaseTerms) -> Self {
        Self {
            holder: Some(holder),
            epoch: self.epoch + 1,
            terms,
            ..self
        }
    }

    /// Returns the record with the floor given to the present holder.
    #[must_use]
    pub(crate) fn with_floor(self) -> Self {
        Self {
            floor_epoch: self.epoch,
            floor_term: self.terms.floor,
            ..self
        }
    }

    /// Returns the record in which an operator gives the floor to the present holder.
    ///
    /// Only for an operator who knows that the instance of the holder before it is
    /// gone for good: the floor's lease is not waited for.
    #[must_use]
    pub fn with_floor_forced(&self, operator: &HolderId) -> Self {
        self.next(operator).with_floor()
    }

    /// Returns the record of a share given back.
    #[must_use]
    pub(crate) fn released(self) -> Self {
        Self {
            holder: None,
            ..self
        }
    }

    /// Returns whether the floor belongs to the epoch of the record.
    #[must_use]
    pub const fn has_floor(&self) -> bool {
        self.floor_epoch == self.epoch
    }
}
