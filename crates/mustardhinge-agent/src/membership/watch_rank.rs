use std::collections::BTreeMap;

use mustardhinge_config::document::GroupEntry;
use mustardhinge_core::membership::{InstanceState, choose_ranked};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::peer::InstanceList;

/// Number of watchers of a group in each zone that has one of its targets.
const WATCHERS_PER_ZONE: usize = 1;
/// Number of watchers of a group if none of its zones has a live instance.
const WATCHERS_ELSEWHERE: usize = 2;

/// Returns the rank of an instance among the watchers of a group, or `None` if it
/// is not a watcher.
///
/// A live instance, or one that is not listed yet, watches all groups while no other
/// live instance is listed. If others are listed, it is ranked among them.
pub(crate) fn choose_watch_rank(
    group: &GroupEntry,
    list: &InstanceList,
    instance: &InstanceId,
    zone: &ZoneId,
) -> Option<u32> {
    let watchers = choose_watchers(group, list, Some((instance, zone)));
    let rank = watchers.iter().position(|member| member == instance)?;
    u32::try_from(rank).ok()
}

/// Returns the watchers of a group in rank order; the first one acts first. `own` is
/// included if the list does not contain it.
pub(crate) fn choose_watchers(
    group: &GroupEntry,
    list: &InstanceList,
    own: Option<(&InstanceId, &ZoneId)>,
) -> Vec<InstanceId> {
    let is_listed = |instance: &InstanceId| list.instances.iter().any(|e| e.instance == *instance);
    let live = list.instances.iter();
    let live = live.filter(|entry| entry.state == InstanceState::Live);
    let mut members: BTreeMap<&InstanceId, &ZoneId> =
        live.map(|entry| (&entry.instance, &entry.zone)).collect();
    members.extend(own.filter(|(instance, _)| !is_listed(instance)));
    let key = group.name.as_str().as_bytes();
    let watchers = choose_per_zone(group, &members);
    let count = watchers.len();
    let ranked = choose_ranked(key, watchers, count);
    ranked.into_iter().cloned().collect()
}

fn choose_per_zone<'a>(
    group: &GroupEntry,
    members: &BTreeMap<&'a InstanceId, &ZoneId>,
) -> Vec<&'a InstanceId> {
    let key = group.name.as_str().as_bytes();
    let mut zones: Vec<_> = group.targets.iter().map(|target| &target.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut watchers = Vec::new();
    for zone in zones {
        let in_zone = members
            .iter()
            .filter(|(_, member_zone)| **member_zone == zone);
        let in_zone = in_zone.map(|(member, _)| *member);
        watchers.extend(choose_ranked(key, in_zone, WATCHERS_PER_ZONE));
    }
    if watchers.is_empty() {
        watchers = choose_ranked(key, members.keys().copied(), WATCHERS_ELSEWHERE);
    }
    watchers
}
