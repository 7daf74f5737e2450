use std::time::Duration;

use crate::units::LogPosition;

use super::{ReadRequirement, ReadToken};

/// Which of its own writes a session must observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionFloor {
    /// A caller without a key, which has no writes of its own.
    Anonymous,
    /// A session that carries no token.
    ///
    /// It may have written through any instance, so only the group knows its floor.
    Untracked,
    /// A session that carries its token.
    Tracked(ReadToken),
}

impl SessionFloor {
    /// Creates the floor of a session with a key from the token in its startup parameters.
    #[must_use]
    pub fn of_session(token: Option<ReadToken>) -> Self {
        token.map_or(Self::Untracked, Self::Tracked)
    }

    /// Records the position of an acknowledged write and returns the token to report to
    /// the caller.
    ///
    /// A session without a token stays untracked, since it may continue on another instance
    /// without passing this token to it.
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

    /// Returns the requirement of a read on a route that allows rows as old as `max_age`.
    ///
    /// The permitted age never lowers the session's own floor.
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
