use std::fmt;

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformError {
    call: &'static str,
    cause: String,
    is_unsent: bool,
}

impl PlatformError {
    /// Creates the error of `call`.
    #[must_use]
    pub fn new(call: &'static str, cause: impl fmt::Display) -> Self {
        Self {
            call,
            cause: cause.to_string(),
            is_unsent: false,
        }
    }

    /// Marks that the call was never sent, because there was no connection.
    #[must_use]
    pub const fn unsent(mut self, is_unsent: bool) -> Self {
        self.is_unsent = is_unsent;
        self
    }

    /// Returns whether the call was never sent, so that it has no effect.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        self.is_unsent
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.call, self.cause)
    }
}

impl std::error::Error for PlatformError {}
