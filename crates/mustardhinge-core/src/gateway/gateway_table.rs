use std::collections::BTreeMap;

use super::{GatewayPair, GatewayUpdate, GatewayVersion};
use crate::ids::TargetId;

/// Number of changes that share a version number and are sent together.
const CHANGES_PER_VERSION: usize = 64;
/// Maximum number of changes in one response, which must fit into a datagram together with the
/// leases.
const MAX_CHANGES_PER_UPDATE: usize = 320;

/// The leader's table of the gateways of all targets.
///
/// Load pattern: hundreds of instances are restarted one after the other, and each start or stop
/// changes the gateways of a few targets. The leader sends each instance only the changes since
/// the version it has, in batches.
#[derive(Clone, Debug, Default)]
pub struct GatewayTable {
    version: GatewayVersion,
    entries: BTreeMap<TargetId, TableEntry>,
}

#[derive(Clone, Copy, Debug)]
struct TableEntry {
    pair: Option<GatewayPair>,
    changed_in: u64,
}

impl GatewayTable {
    /// Creates the empty table of the leader with this fence.
    #[must_use]
    pub fn new(fence: u64) -> Self {
        Self {
            version: GatewayVersion { fence, number: 0 },
            entries: BTreeMap::new(),
        }
    }

    /// Updates the table to match `wanted`, which lists the gateways of all targets.
    pub fn update(&mut self, wanted: &BTreeMap<TargetId, GatewayPair>) {
        let known = self.entries.iter();
        let changed = known.filter_map(|(target, entry)| {
            let pair = wanted.get(target).copied();
            (entry.pair != pair).then(|| (target.clone(), pair))
        });
        let new = wanted.iter().filter_map(|(target, pair)| {
            let is_known = self.entries.contains_key(target);
            (!is_known).then(|| (target.clone(), Some(*pair)))
        });
        let changes: Vec<_> = changed.chain(new).collect();
        if self.version.number == 0 {
            self.version.number = 1;
        }
        for chunk in changes.chunks(CHANGES_PER_VERSION) {
            self.version.number += 1;
            let changed_in = self.version.number;
            for (target, pair) in chunk {
                let entry = TableEntry {
                    pair: *pair,
                    changed_in,
                };
                self.entries.insert(target.clone(), entry);
            }
        }
    }

    /// Returns the table's version, or `None` before the first update.
    #[must_use]
    pub fn version(&self) -> Option<GatewayVersion> {
        (self.version.number > 0).then_some(self.version)
    }

    /// Returns the update for an instance at version `known`, or `None` if it is up to date.
    #[must_use]
    pub fn update_since(&self, known: GatewayVersion) -> Option<GatewayUpdate> {
        let newest = self.version().filter(|version| *version != known)?;
        let is_whole = known.fence != newest.fence || known.number > newest.number;
        let known = if is_whole { 0 } else { known.number };
        let mut changed: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.changed_in > known)
            .collect();
        changed.sort_by_key(|(_, entry)| entry.changed_in);
        let end = changed
            .get(MAX_CHANGES_PER_UPDATE)
            .map(|(_, entry)| entry.changed_in);
        // Changes that share a version number are sent together.
        let number = end.map_or(newest.number, |end| end - 1);
        changed.retain(|(_, entry)| entry.changed_in <= number);
        Some(GatewayUpdate {
            version: GatewayVersion {
                fence: newest.fence,
                number,
            },
            is_whole,
            changes: changed
                .into_iter()
                .map(|(target, entry)| (target.clone(), entry.pair))
                .collect(),
        })
    }
}
