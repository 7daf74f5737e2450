use std::fmt;

/// Whether requests are ordered by priority, placed by free capacity and admitted without a leader
/// as overload control does it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadControl {
    /// Requests are served as by earlier versions.
    #[default]
    Off,
    /// Overload control is in force.
    On,
}

impl OverloadControl {
    /// Returns whether overload control is in force.
    #[must_use]
    pub const fn is_on(self) -> bool {
        matches!(self, Self::On)
    }
}

impl fmt::Display for OverloadControl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Off => "off",
            Self::On => "on",
        })
    }
}
