use std::collections::HashMap;

use super::{GatewayPair, GatewayUpdate, GatewayVersion};
use crate::ids::TargetId;

/// One instance's copy of the gateway table.
///
/// It remains in use while the leader is unreachable. The forwarding code skips gateways that
/// have stopped.
#[derive(Clone, Debug, Default)]
pub struct GatewayView {
    version: GatewayVersion,
    pairs: HashMap<TargetId, GatewayPair>,
}

impl GatewayView {
    /// Applies an update. Returns `false` if it is outdated or does not follow the known version.
    pub fn apply(&mut self, update: &GatewayUpdate) -> bool {
        // Datagrams can be duplicated or reordered. An incremental update applies only to a table
        // of the same leader.
        let continues = update.version.fence == self.version.fence;
        if update.version <= self.version || !(update.is_whole || continues) {
            return false;
        }
        if update.is_whole {
            self.pairs.clear();
        }
        for (target, pair) in &update.changes {
            match pair {
                Some(pair) => {
                    self.pairs.insert(target.clone(), *pair);
                }
                None => {
                    self.pairs.remove(target);
                }
            }
        }
        self.version = update.version;
        true
    }

    /// Returns the version of the table.
    #[must_use]
    pub const fn version(&self) -> GatewayVersion {
        self.version
    }

    /// Returns the gateways of a target, or `None` if instances connect to it directly.
    #[must_use]
    pub fn pair_of(&self, target: &TargetId) -> Option<GatewayPair> {
        self.pairs.get(target).copied()
    }

    /// Returns the number of targets that have gateways.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns whether no target has gateways.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}
