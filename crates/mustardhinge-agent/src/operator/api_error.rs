use std::fmt;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use mustardhinge_rpc::operator::{ErrorKind, OperatorError};
use schemars::JsonSchema;
use serde::Serialize;

/// An operator error as an HTTP response.
#[derive(Debug, Serialize, JsonSchema)]
#[serde(transparent)]
pub(super) struct ApiError(OperatorError);

impl ApiError {
    /// Creates the error for a malformed request.
    pub(super) fn bad_request(message: impl fmt::Display) -> Self {
        OperatorError::new(ErrorKind::BadRequest, message.to_string()).into()
    }
}

impl From<OperatorError> for ApiError {
    fn from(error: OperatorError) -> Self {
        let kind = error.kind.label();
        metrics::counter!("mustardhinge_operator_refusals_total", "reason" => kind).increment(1);
        Self(error)
    }
}

impl From<HttpError> for ApiError {
    fn from(error: HttpError) -> Self {
        let kind = match error.status_code.as_status().as_u16() {
            404 => ErrorKind::NotFound,
            400..500 => ErrorKind::BadRequest,
            _ => ErrorKind::Internal,
        };
        OperatorError::new(kind, error.external_message).into()
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl HttpResponseError for ApiError {
    fn status_code(&self) -> ErrorStatusCode {
        match self.0.kind {
            ErrorKind::BadRequest => ErrorStatusCode::BAD_REQUEST,
            ErrorKind::NotFound => ErrorStatusCode::NOT_FOUND,
            ErrorKind::Conflict | ErrorKind::Refused => ErrorStatusCode::CONFLICT,
            ErrorKind::Findings => ErrorStatusCode::UNPROCESSABLE_ENTITY,
            ErrorKind::NotRun | ErrorKind::OutcomeUnknown => ErrorStatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::Internal => ErrorStatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}
