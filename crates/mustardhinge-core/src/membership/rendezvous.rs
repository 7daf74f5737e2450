use std::cmp::Reverse;

use super::member_hash::member_hash;
use crate::ids::InstanceId;

/// Chooses `count` of the members for `key`, the best first, by rendezvous hashing.
///
/// Every caller with the same members makes the same choice, in any order of the
/// members. A member that leaves moves only the keys that it was chosen for; one
/// that joins takes about its even part and moves no others.
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
