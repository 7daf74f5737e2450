use std::collections::HashMap;

use super::{GatewayPair, GatewayUpdate, GatewayVersion};
use crate::ids::TargetId;

/// The table of gateways as one instance knows it.
///
/// It stays in force while no leader is heard: gateways that are gone are passed over where
/// statements are forwarded.
#[derive(Clone, Debug, Default)]
pub struct GatewayView {
    version: GatewayVersion,
    pairs: HashMap<TargetId, GatewayPair>,
}

impl GatewayView {
    /// Takes what has changed. Returns whether it was news.
    pub fn apply(&mut self, update: &GatewayUpdate) -> bool {
        // Datagrams may come twice or in another order; changes build on the same leader's table.
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

    /// Returns which table it is.
    #[must_use]
    pub const fn version(&self) -> GatewayVersion {
        self.version
    }

    /// Returns the gateways of a target; none if instances connect to it themselves.
    #[must_use]
    pub fn pair_of(&self, target: &TargetId) -> Option<GatewayPair> {
        self.pairs.get(target).copied()
    }

    /// Returns for how many targets statements are forwarded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns whether nothing is forwarded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }
}
