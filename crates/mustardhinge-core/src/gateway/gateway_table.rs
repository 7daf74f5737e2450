use std::collections::BTreeMap;

use super::{GatewayPair, GatewayUpdate, GatewayVersion};
use crate::ids::TargetId;

/// Changes that share a number, and are told together.
const CHANGES_PER_VERSION: usize = 64;
/// Most changes in one answer, which has to fit into a datagram beside the leases.
const MAX_CHANGES_PER_UPDATE: usize = 320;

/// The leader's table of the gateways of all targets.
///
/// Load pattern: hundreds of instances are started and stopped one after the other, and each
/// start or stop changes the gateways of a few targets. Each instance is sent what changed since the
/// table that it knows, a part at a time.
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
    /// Makes the empty table of a leader.
    #[must_use]
    pub fn new(fence: u64) -> Self {
        Self {
            version: GatewayVersion { fence, number: 0 },
            entries: BTreeMap::new(),
        }
    }

    /// Takes the gateways of all targets as they should be.
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

    /// Returns the table's version; none before the first update.
    #[must_use]
    pub fn version(&self) -> Option<GatewayVersion> {
        (self.version.number > 0).then_some(self.version)
    }

    /// Returns what an instance that knows `known` has to be told; none if it knows all.
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
        // All changes of one number are told together.
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
