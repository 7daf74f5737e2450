/// The reason why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No connection could be established, so the call was not sent.
    #[error("the platform can't be reached")]
    NotSent,
    /// No response was received in time; the call may have taken effect.
    #[error("the platform's answer did not come")]
    NoResponse,
    /// The platform responded with an error; the call may have taken effect.
    #[error("the platform answered with status {0}")]
    BadStatus(u16),
    /// The response is not in the expected format.
    #[error("the platform's answer can't be read")]
    InvalidResponse,
}

impl PlatformError {
    /// Returns the metric label of the error.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NoResponse => "no_answer",
            Self::BadStatus(_) => "bad_status",
            Self::InvalidResponse => "bad_answer",
        }
    }

    /// Returns whether the call has certainly not taken effect.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent)
    }
}

impl From<reqwest::Error> for PlatformError {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() {
            Self::NotSent
        } else if error.is_decode() {
            Self::InvalidResponse
        } else {
            Self::NoResponse
        }
    }
}
