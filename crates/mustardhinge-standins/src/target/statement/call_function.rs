/// A function that a statement may call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFunction {
    /// `pg_sleep(<seconds>)`
    Sleep,
    /// `filler(<rows>, <bytes per row>)`
    Filler,
    /// `group_report()`
    Report,
    /// `group_wait('<position>', <timeout in ms>)`
    Wait,
    /// `group_fence(<term>, '<claimant>')`
    Fence,
    /// `group_promote(<term>, '<claimant>')`
    Promote,
    /// `group_follow(<term>, '<target>', '<address>')`
    Follow,
}

impl CallFunction {
    /// Returns the function with the name `name` in lower case.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "pg_sleep" => Some(Self::Sleep),
            "filler" => Some(Self::Filler),
            "group_report" => Some(Self::Report),
            "group_wait" => Some(Self::Wait),
            "group_fence" => Some(Self::Fence),
            "group_promote" => Some(Self::Promote),
            "group_follow" => Some(Self::Follow),
            _ => None,
        }
    }

    /// Returns the names of the columns of its answer.
    #[must_use]
    pub const fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Sleep => &["pg_sleep"],
            Self::Filler => &["filler"],
            Self::Report | Self::Wait => &["target", "role", "term", "last", "applied", "primary"],
            Self::Fence | Self::Promote | Self::Follow => &[
                "target", "role", "term", "last", "applied", "primary", "granted",
            ],
        }
    }

    /// Tells whether it is a call of the group, which takes no slot.
    #[must_use]
    pub const fn is_group_call(self) -> bool {
        !matches!(self, Self::Sleep | Self::Filler)
    }
}
