use std::collections::{BTreeSet, VecDeque};

use super::{ListUpdate, ListVersion};
use crate::ids::TargetId;

/// Number of versions whose changes are kept: 32 s at the maximum rate of two fetches a second.
const MAX_VERSIONS: usize = 64;
/// Maximum memory of the kept changes in bytes. It bounds versions with thousands of changes each.
const MAX_BYTES: usize = 256 * 1024;
/// Estimated memory of a changed name in addition to its text.
const NAME_OVERHEAD: usize = 32;
/// Number of entries from which on changes are requested. A whole list that is shorter has less
/// than 2 kB compressed, and a failed update costs a second query.
const MIN_LISTED: usize = 64;

/// The targets that changed from one version of a list to the next.
#[derive(Clone, Debug)]
struct VersionStep {
    to: ListVersion,
    changed: BTreeSet<TargetId>,
    bytes: usize,
}

/// The changes of a list of targets up to its present version, for instances that have an earlier
/// one.
///
/// Only names are kept, since an instance sends the present entries. A version is identified by its
/// digest, so changes can also be sent to an instance that got its list from another one.
///
/// Load pattern: hundreds of instances have a list of thousands of targets, of which single ones
/// change. Each of the instances would fetch the whole list after each change.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::membership::{ListChanges, ListUpdate, ListVersion};
///
/// let version = |digest| ListVersion { digest, ..ListVersion::default() };
/// let mut changes = ListChanges::default();
/// changes.complete(version(1));
/// changes.record(&"t-7".parse()?);
/// changes.complete(version(2));
/// let update = changes.update_since(&version(1), 2_100);
/// assert_eq!(update, ListUpdate::Changes(vec!["t-7".parse()?]));
/// assert_eq!(changes.update_since(&version(3), 2_100), ListUpdate::Whole);
/// # Ok::<(), mustardhinge_core::ids::IdError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ListChanges {
    /// The version before the first step.
    base: Option<ListVersion>,
    steps: VecDeque<VersionStep>,
    /// Memory of the steps in bytes.
    step_bytes: usize,
    /// The targets that changed since the present version was completed.
    pending: BTreeSet<TargetId>,
    pending_bytes: usize,
}

impl ListChanges {
    /// Returns whether an instance with a list of `listed` entries should request changes.
    #[must_use]
    pub const fn are_worthwhile(listed: usize) -> bool {
        listed >= MIN_LISTED
    }

    /// Records that the entry of a target was added, changed or removed.
    pub fn record(&mut self, target: &TargetId) {
        // Beyond the limit, the next version is the first one whose changes are kept.
        if self.pending_bytes <= MAX_BYTES && self.pending.insert(target.clone()) {
            self.pending_bytes += target.as_str().len() + NAME_OVERHEAD;
        }
    }

    /// Records that the list with the changes recorded so far is `version`.
    ///
    /// The changes of another era are dropped.
    pub fn complete(&mut self, version: ListVersion) {
        let changed = std::mem::take(&mut self.pending);
        let bytes = std::mem::take(&mut self.pending_bytes);
        let present = self.present();
        if present == Some(version) {
            return;
        }
        if present.is_none_or(|present| present.era != version.era) || bytes > MAX_BYTES {
            self.base = Some(version);
            self.steps.clear();
            self.step_bytes = 0;
            return;
        }
        self.step_bytes += bytes;
        self.steps.push_back(VersionStep {
            to: version,
            changed,
            bytes,
        });
        while self.steps.len() > MAX_VERSIONS || self.step_bytes > MAX_BYTES {
            let Some(oldest) = self.steps.pop_front() else {
                break;
            };
            self.step_bytes -= oldest.bytes;
            self.base = Some(oldest.to);
        }
    }

    /// Returns what to send of a list of `listed` entries to an instance that has the version
    /// `known`.
    ///
    /// The whole list is needed if the changes since `known` are not kept, and it is preferred if
    /// more than half of the list has changed.
    #[must_use]
    pub fn update_since(&self, known: &ListVersion, listed: usize) -> ListUpdate {
        let Some(first) = self.first_step_after(known) else {
            return ListUpdate::Whole;
        };
        let steps = self.steps.iter().skip(first);
        let changed: BTreeSet<_> = steps.flat_map(|step| &step.changed).collect();
        if changed.len() > listed / 2 {
            return ListUpdate::Whole;
        }
        ListUpdate::Changes(changed.into_iter().cloned().collect())
    }

    /// Returns the index of the first step after the latest occurrence of a version: a list can
    /// return to an earlier one.
    fn first_step_after(&self, known: &ListVersion) -> Option<usize> {
        let last = self.steps.iter().rposition(|step| step.to == *known);
        let is_base = self.base.as_ref() == Some(known);
        last.map(|index| index + 1).or(is_base.then_some(0))
    }

    fn present(&self) -> Option<ListVersion> {
        self.steps.back().map(|step| step.to).or(self.base)
    }
}
