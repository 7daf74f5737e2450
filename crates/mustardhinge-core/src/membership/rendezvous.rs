use std::cmp::Reverse;

use super::member_hash::member_hash;
use crate::ids::InstanceId;

/// Chooses `count` of the members for `key` by rendezvous hashing, best first.
///
/// The choice depends only on the set of members, not on their order. Removing a member
/// moves only the keys for which it was chosen. Adding one moves about an even share of the
/// keys to it and no others.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::membership::choose_ranked;
/// use mustardhinge_core::prelude::InstanceId;
///
/// let members: Vec<InstanceId> = ["i-1", "i-2", "i-3"].map(|id| id.parse().unwrap()).into();
/// assert_eq!(choose_ranked(b"group-7", &members, 2).len(), 2);
/// ```
pub fn choose_ranked<'a>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<&'a InstanceId> {
    let rank = |member: &'a InstanceId| {
        let hash = member_hash(key, member.as_str().as_bytes());
        (Reverse(hash), member)
    };
    let mut ranked: Vec<_> = members.into_iter().map(rank).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}
