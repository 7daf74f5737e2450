use crate::primary_lease::StoreEra;

/// The version of a list that instances pass on to each other.
///
/// Equal digests mean equal lists, whichever instance computed them. This holds within one era of
/// the store: instances may keep different entries while a restored store is incomplete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListVersion {
    /// The era of the store in which the list was read.
    pub era: StoreEra,
    /// The digest of the list.
    pub digest: u64,
}
