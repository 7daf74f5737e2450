use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{RecordError, ShareMove, ZoneShare};
use crate::budget::ShareFraction;
use crate::ids::{CustomerId, ZoneId};

/// The record in the platform's store that divides a service's rates and bursts
/// between zones.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::budget::zone::BudgetRecord;
/// use mustardhinge_core::prelude::ZoneId;
///
/// let zones: Vec<ZoneId> = ["a", "b", "c"].map(|zone| zone.parse().unwrap()).into();
/// assert!(BudgetRecord::even(zones).check().is_ok());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    /// The share of each zone.
    pub zones: BTreeMap<ZoneId, ZoneShare>,
}

impl BudgetRecord {
    /// Divides the whole evenly between zones, most of it as floors.
    ///
    /// With n zones and floors that sum to F of the whole, F stays usable during an outage
    /// of the store, and 1 − F/n after the crash of one holder. Both are equal at
    /// F = n/(n + 1), so that neither fault costs customers more than the other.
    #[must_use]
    pub fn even(zones: impl IntoIterator<Item = ZoneId>) -> Self {
        let names: BTreeSet<ZoneId> = zones.into_iter().collect();
        let count = u32::try_from(names.len().max(1)).unwrap_or(u32::MAX);
        let whole = ShareFraction::WHOLE.as_millionths();
        let floor = whole / (count + 1);
        let flexible = whole / count - floor;
        let share = ZoneShare {
            floor: ShareFraction::from_millionths(floor),
            flexible: ShareFraction::from_millionths(flexible),
            ..ZoneShare::default()
        };
        let zones = names.into_iter().map(|zone| (zone, share.clone()));
        Self {
            zones: zones.collect(),
        }
    }

    /// Checks that no customer's shares sum to more than the whole.
    ///
    /// # Errors
    ///
    /// Returns an error for the first sum that is more than the whole.
    pub fn check(&self) -> Result<(), RecordError> {
        let default_fractions = self.zones.values().map(|share| share.flexible);
        if !self.fits_with_floors(default_fractions) {
            return Err(RecordError::ExceedsWhole);
        }
        for customer in self.named_customers() {
            let fraction = self.zones.values().map(|share| share.flexible_of(customer));
            if !self.fits_with_floors(fraction) {
                return Err(RecordError::CustomerExceedsWhole {
                    customer: customer.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns the record with a zone's share claimed under a lease epoch.
    #[must_use]
    pub fn claimed(&self, zone: &ZoneId, epoch: u64) -> Self {
        let mut next = self.clone();
        next.zones.entry(zone.clone()).or_default().epoch = epoch;
        next
    }

    /// Returns the record after moves between zones.
    ///
    /// # Errors
    ///
    /// Returns an error if a zone is unknown or a move exceeds the flexible part of its
    /// source.
    pub fn moved(&self, moves: &[ShareMove]) -> Result<Self, RecordError> {
        let mut next = self.clone();
        for share_move in moves {
            next.apply(share_move)?;
        }
        Ok(next)
    }

    fn apply(&mut self, share_move: &ShareMove) -> Result<(), RecordError> {
        let ShareMove {
            customer,
            from,
            to,
            fraction,
        } = share_move;
        let source = self.flexible(from, customer)?;
        if source < *fraction {
            return Err(RecordError::ShareTooSmall {
                zone: from.clone(),
                customer: customer.clone(),
            });
        }
        self.set_flexible(from, customer, source.saturating_sub(*fraction));
        let destination = self.flexible(to, customer)?;
        let sum = destination
            .checked_add(*fraction)
            .ok_or(RecordError::ExceedsWhole)?;
        self.set_flexible(to, customer, sum);
        Ok(())
    }

    fn flexible(&self, zone: &ZoneId, customer: &CustomerId) -> Result<ShareFraction, RecordError> {
        self.zones
            .get(zone)
            .map(|share| share.flexible_of(customer))
            .ok_or_else(|| RecordError::UnknownZone { zone: zone.clone() })
    }

    fn set_flexible(&mut self, zone: &ZoneId, customer: &CustomerId, fraction: ShareFraction) {
        if let Some(share) = self.zones.get_mut(zone) {
            share.moved.insert(customer.clone(), fraction);
        }
    }

    fn fits_with_floors(&self, flexible: impl Iterator<Item = ShareFraction>) -> bool {
        let floors = self.zones.values().map(|share| share.floor);
        floors
            .chain(flexible)
            .try_fold(ShareFraction::NONE, ShareFraction::checked_add)
            .is_some()
    }

    fn named_customers(&self) -> BTreeSet<&CustomerId> {
        let named = self.zones.values().flat_map(|share| share.moved.keys());
        named.collect()
    }
}
