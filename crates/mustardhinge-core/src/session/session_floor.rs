use std::time::Duration;

use crate::units::LogPosition;

use super::{ReadRequirement, ReadToken};

/// What a session has to see of its own writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionFloor {
    /// A caller without a key, who has no writes of its own.
    Anonymous,
    /// A session that hands on no token: it may have written through any
    /// instance, so that only the group knows its floor.
    Untracked,
    /// A session that hands on its token.
    Tracked(ReadToken),
}

impl SessionFloor {
    /// Makes the floor of a keyed session from the token in its startup
    /// parameters.
    #[must_use]
    pub fn of_session(token: Option<ReadToken>) -> Self {
        token.map_or(Self::Untracked, Self::Tracked)
    }

    /// Takes in the position of an acknowledged write and returns the token to
    /// report to the caller.
    ///
    /// A session without a token stays without one, since it may go on at
    /// another instance without handing this one over.
    pub fn advance(&mut self, position: LogPosition) -> ReadToken {
        let written = ReadToken::new(position);
        match self {
            Self::Tracked(token) => {
                *token = (*token).max(written);
                *token
            }
            Self::Anonymous | Self::Untracked => written,
        }
    }

    /// Returns what a read needs on a route that allows rows of `max_age`.
    ///
    /// The age never lowers the session's own floor.
    #[must_use]
    pub fn requirement(&self, max_age: Option<Duration>) -> ReadRequirement {
        match (self, max_age) {
            (Self::Anonymous, Some(age)) => ReadRequirement::MaxAge(age),
            (Self::Anonymous, None) | (Self::Untracked, _) => ReadRequirement::FreshFloor,
            (Self::Tracked(token), Some(age)) => {
                ReadRequirement::FloorAndMaxAge(token.position(), age)
            }
            (Self::Tracked(token), None) => ReadRequirement::Floor(token.position()),
        }
    }
}
