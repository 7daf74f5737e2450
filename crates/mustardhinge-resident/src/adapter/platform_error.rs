use std::fmt;

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformError {
    call: &'static str,
    cause: String,
}

impl PlatformError {
    /// Creates the error of `call`.
    #[must_use]
    pub fn new(call: &'static str, cause: impl fmt::Display) -> Self {
        Self {
            call,
            cause: cause.to_string(),
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.call, self.cause)
    }
}

impl std::error::Error for PlatformError {}
