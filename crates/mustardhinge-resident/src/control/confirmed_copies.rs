use mustardhinge_core::evacuation::EvacuationVersion;
use mustardhinge_core::membership::{ConfirmationAges, StorePart};
use mustardhinge_core::prelude::DocumentVersion;
use serde::{Deserialize, Serialize};

use crate::node::NodeState;
use crate::plan::TargetsDigest;

/// The versions of an instance's copies of the store's content, and the ages of their confirmations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedCopies {
    /// The version of the configuration.
    pub plan_version: DocumentVersion,
    /// The digest of the list of targets.
    pub targets: TargetsDigest,
    /// The version of the set of evacuated zones.
    pub evacuations: EvacuationVersion,
    /// The ages of the confirmations that the copies are current.
    pub ages: ConfirmationAges,
}

impl ConfirmedCopies {
    /// Returns whether the copy of `node` contains all changes of a part that these copies contain.
    #[must_use]
    pub fn are_known_to(&self, node: &NodeState, part: StorePart) -> bool {
        match part {
            StorePart::Plan => node.plan().version() >= self.plan_version,
            StorePart::Targets => node.targets_digest() == self.targets,
            StorePart::Evacuations => {
                let known = node.evacuation_version();
                !self.evacuations.is_newer_than(&known)
            }
        }
    }
}
