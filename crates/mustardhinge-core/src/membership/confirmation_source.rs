use std::fmt;

/// What has shown that a copy of a part of the store's content is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// Nothing yet.
    #[default]
    None,
    /// A response of the store to this instance.
    Store,
    /// The leader, which has a confirmation of its own.
    Leader,
    /// An instance that watches the store for others.
    Relay,
}

impl fmt::Display for ConfirmationSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::Store => "store",
            Self::Leader => "leader",
            Self::Relay => "relay",
        })
    }
}
