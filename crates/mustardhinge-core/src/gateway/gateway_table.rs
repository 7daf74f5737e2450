use std::collections::BTreeMap;

use super::{GatewayNews, GatewayPair, GatewayVersion};
use crate::ids::TargetId;

/// The leader's table of the gateways of all targets.
///
/// Load pattern: hundreds of instances are started and stopped one after the other, and each
/// start or stop changes the gateways of a few targets. Each instance is sent what changed since the
/// table that it knows.
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
        let next = self.version.number + 1;
        let mut has_changed = self.version.number == 0;
        for (target, entry) in &mut self.entries {
            let pair = wanted.get(target).copied();
            if entry.pair != pair {
                *entry = TableEntry {
                    pair,
                    changed_in: next,
                };
                has_changed = true;
            }
        }
        for (target, pair) in wanted {
            if !self.entries.contains_key(target) {
                let entry = TableEntry {
                    pair: Some(*pair),
                    changed_in: next,
                };
                self.entries.insert(target.clone(), entry);
                has_changed = true;
            }
        }
        if has_changed {
            self.version.number = next;
        }
    }

    /// Returns the table's version; none before the first update.
    #[must_use]
    pub fn version(&self) -> Option<GatewayVersion> {
        (self.version.number > 0).then_some(self.version)
    }

    /// Returns what an instance that knows `known` has to be told; none if it knows all.
    #[must_use]
    pub fn news_for(&self, known: GatewayVersion) -> Option<GatewayNews> {
        let version = self.version().filter(|version| *version != known)?;
        let is_whole = known.fence != version.fence || known.number > version.number;
        let changes = self.entries.iter().filter(|(_, entry)| {
            if is_whole {
                entry.pair.is_some()
            } else {
                entry.changed_in > known.number
            }
        });
        Some(GatewayNews {
            version,
            is_whole,
            changes: changes
                .map(|(target, entry)| (target.clone(), entry.pair))
                .collect(),
        })
    }
}
