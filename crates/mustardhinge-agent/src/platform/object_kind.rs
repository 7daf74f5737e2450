use std::fmt;

/// The kinds of objects in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// A service's document, in TOML.
    Service,
    /// The published primary of a database group.
    Group,
    /// A claim to promote a primary.
    Claim,
    /// The shares of a service's rates per availability zone.
    Budget,
    /// The holder of an availability zone's share of the rates.
    Lease,
}

impl ObjectKind {
    /// Returns the name of the kind in paths.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Group => "group",
            Self::Claim => "claim",
            Self::Budget => "budget",
            Self::Lease => "lease",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
