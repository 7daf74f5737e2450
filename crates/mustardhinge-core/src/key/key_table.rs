use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use super::KeyDigest;
use crate::ids::CustomerId;

/// The key digests of all customers in one service document.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::key::{KeyDigest, KeyTable};
///
/// let table = KeyTable::new([("sohar".parse().unwrap(), KeyDigest::of(b"k1"))]);
/// assert!(table.find_customer(&KeyDigest::of(b"k1")).is_some());
/// assert!(table.find_customer(&KeyDigest::of(b"k2")).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyTable {
    keys: Vec<(CustomerId, KeyDigest)>,
}

impl KeyTable {
    /// Creates a table from pairs of customer and key digest.
    #[must_use]
    pub fn new(keys: impl IntoIterator<Item = (CustomerId, KeyDigest)>) -> Self {
        Self {
            keys: keys.into_iter().collect(),
        }
    }

    /// Returns the customer whose key has the digest `presented`.
    ///
    /// Compares `presented` with every digest in constant time, so that the timing reveals
    /// nothing about the digests.
    #[must_use]
    pub fn find_customer(&self, presented: &KeyDigest) -> Option<&CustomerId> {
        let mut found = Choice::from(0);
        let mut position = 0_u64;
        for (index, (_, digest)) in (0_u64..).zip(&self.keys) {
            let equal = digest.as_bytes().ct_eq(presented.as_bytes());
            position.conditional_assign(&index, equal);
            found |= equal;
        }
        if !bool::from(found) {
            return None;
        }
        let index = usize::try_from(position).ok()?;
        self.keys.get(index).map(|(customer, _)| customer)
    }
}
