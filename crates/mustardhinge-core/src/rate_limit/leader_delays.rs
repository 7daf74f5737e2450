use std::time::Duration;

/// When an instance expects to hear from the leader, and when it goes on without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderDelays {
    /// Time until the instance counts as isolated unless the leader responds.
    pub until_isolated: Duration,
    /// Expected time until the leader's next response.
    pub until_response: Duration,
}
