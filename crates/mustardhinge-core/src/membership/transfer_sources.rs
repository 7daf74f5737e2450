use std::collections::VecDeque;

/// Number of instances that are remembered. Each instance that is referred to one of them becomes
/// a source itself, so a few are enough.
const MAX_SOURCES: usize = 8;

/// The instances that have received this instance's current state and can pass it on.
///
/// Load pattern: all processes of a zone start at once, and each requests a state of hundreds of
/// kilobytes from the same instance, whose network link carries a few of them per second.
#[derive(Clone, Debug)]
pub struct TransferSources<K, A> {
    state: Option<K>,
    sources: VecDeque<A>,
}

impl<K, A> Default for TransferSources<K, A> {
    fn default() -> Self {
        Self {
            state: None,
            sources: VecDeque::new(),
        }
    }
}

impl<K: PartialEq, A: Copy + PartialEq> TransferSources<K, A> {
    /// Records that the instance at `address` has received `state`.
    ///
    /// A state other than the last one recorded removes the sources of that one.
    pub fn record(&mut self, state: K, address: A) {
        if self.state.as_ref() != Some(&state) {
            self.state = Some(state);
            self.sources.clear();
        }
        self.sources.retain(|known| *known != address);
        self.sources.push_back(address);
        if self.sources.len() > MAX_SOURCES {
            self.sources.pop_front();
        }
    }

    /// Returns the sources of `state` for the requester at `address`, the latest first.
    #[must_use]
    pub fn sources_for(&self, state: &K, address: A) -> Vec<A> {
        if self.state.as_ref() != Some(state) {
            return Vec::new();
        }
        let others = self.sources.iter().rev().copied();
        others.filter(|source| *source != address).collect()
    }
}
