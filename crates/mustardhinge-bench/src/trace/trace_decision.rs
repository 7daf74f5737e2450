use mustardhinge_core::prelude::*;
use serde::de::DeserializeOwned;

/// A decision of the core that traces can be replayed into.
pub trait TraceDecision: Sized {
    /// The name of the decision in the headers of traces.
    const NAME: &'static str;

    /// What the decision is set up with.
    type Setup: DeserializeOwned;

    /// One input.
    type Input: DeserializeOwned;

    /// Makes the decision's state.
    ///
    /// # Errors
    ///
    /// Fails if the setup makes no sense.
    fn start(setup: Self::Setup) -> anyhow::Result<Self>;

    /// Feeds an input and returns the actions, as text.
    ///
    /// # Errors
    ///
    /// Fails if the input makes no sense.
    fn apply(&mut self, input: Self::Input, now: MonotonicTime) -> anyhow::Result<Vec<String>>;
}
