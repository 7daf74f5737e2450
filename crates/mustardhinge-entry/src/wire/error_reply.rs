use mustardhinge_core::prelude::*;
use pgwire::messages::response::ErrorResponse;

/// SQLSTATE of a statement whose outcome is unknown
/// (`transaction_resolution_unknown`).
pub const UNKNOWN_OUTCOME_SQLSTATE: &str = "08007";

const FIELD_SEVERITY: u8 = b'S';
const FIELD_SEVERITY_PLAIN: u8 = b'V';
const FIELD_CODE: u8 = b'C';
const FIELD_MESSAGE: u8 = b'M';
const FIELD_DETAIL: u8 = b'D';
const FIELD_HINT: u8 = b'H';

/// Error for a caller, sent as an ErrorResponse.
///
/// DETAIL carries the outcome and the reason, HINT the retry delay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReply {
    severity: &'static str,
    code: String,
    message: String,
    detail: Option<String>,
    hint: Option<String>,
}

impl ErrorReply {
    /// Creates an error that leaves the connection open.
    #[must_use]
    pub fn new(code: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "ERROR",
            code: code.to_owned(),
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    /// Creates the error of a request that did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, retry_after: Option<RetryDelay>, message: &str) -> Self {
        let mut reply = Self::new(reason.sqlstate(), message);
        reply.detail = Some(format!("outcome=not_run reason={reason}"));
        reply.hint = retry_after.map(|delay| format!("retry_after_ms={}", delay.get().as_millis()));
        reply
    }

    /// Returns whether the error states that the request did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        let detail = self.detail.as_deref().unwrap_or_default();
        detail.starts_with("outcome=not_run")
    }

    /// Creates the error of a request that may have run.
    #[must_use]
    pub fn unknown(message: &str) -> Self {
        let mut reply = Self::new(UNKNOWN_OUTCOME_SQLSTATE, message);
        reply.detail = Some("outcome=unknown".to_owned());
        reply
    }

    /// Marks the error as fatal: the connection is closed after it.
    #[must_use]
    pub fn fatal(mut self) -> Self {
        self.severity = "FATAL";
        self
    }

    /// Converts the error to an ErrorResponse message.
    #[must_use]
    pub fn to_message(&self) -> ErrorResponse {
        let mut fields = vec![
            (FIELD_SEVERITY, self.severity.to_owned()),
            (FIELD_SEVERITY_PLAIN, self.severity.to_owned()),
            (FIELD_CODE, self.code.clone()),
            (FIELD_MESSAGE, self.message.clone()),
        ];
        fields.extend(self.detail.clone().map(|text| (FIELD_DETAIL, text)));
        fields.extend(self.hint.clone().map(|text| (FIELD_HINT, text)));
        ErrorResponse::new(fields)
    }
}
