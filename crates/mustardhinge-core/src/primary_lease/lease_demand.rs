use std::collections::HashSet;

use super::{EpochDigest, GrantLimit};
use crate::ids::{InstanceId, ServiceId};

/// The input of a lease response: what the requester knows and uses, and the limit.
#[derive(Clone, Debug)]
pub struct LeaseDemand<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// The digest of the epochs that it knows.
    pub known: &'a EpochDigest,
    /// The services that it has used or that callers have requested from it.
    pub wanted: HashSet<&'a ServiceId>,
    /// How many groups the response may name.
    pub limit: GrantLimit,
}
