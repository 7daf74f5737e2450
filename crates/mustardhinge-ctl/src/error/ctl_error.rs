use std::fmt;

use mustardhinge_config::finding::{FindingPlace, Findings};
use mustardhinge_core::prelude::OperationId;
use mustardhinge_process::args::USAGE_EXIT_CODE;
use mustardhinge_rpc::operator::{ErrorKind, OperatorError};
use serde_json::Value;

/// The exit code of a command that failed.
const FAILED_EXIT_CODE: u8 = 1;

/// Why a command was not done, in the form that the operator API has too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CtlError {
    error: Box<OperatorError>,
    operation_id: Option<OperationId>,
}

impl CtlError {
    /// Makes an error of a wrong command line.
    #[must_use]
    pub fn usage(message: impl Into<String>) -> Self {
        OperatorError::new(ErrorKind::BadRequest, message).into()
    }

    /// Makes an error of a call that never left, or was refused at the door.
    #[must_use]
    pub fn not_run(message: impl Into<String>) -> Self {
        OperatorError::new(ErrorKind::NotRun, message).into()
    }

    /// Makes an error of a call whose answer was lost.
    #[must_use]
    pub fn outcome_unknown(message: impl Into<String>) -> Self {
        OperatorError::new(ErrorKind::OutcomeUnknown, message).into()
    }

    /// Makes an error of what failed on this side.
    #[must_use]
    pub fn internal(message: impl Into<String>) -> Self {
        OperatorError::new(ErrorKind::Internal, message).into()
    }

    /// Makes an error of all findings in `file`.
    #[must_use]
    pub fn findings(file: &str, findings: &Findings) -> Self {
        let mut error = OperatorError::findings(findings);
        for finding in &mut error.findings {
            finding.place = FindingPlace {
                file: Some(file.to_owned()),
                ..finding.place.clone()
            };
        }
        error.into()
    }

    /// Turns the error into one of an update of unknown outcome, which can be
    /// repeated under its name.
    #[must_use]
    pub fn into_outcome_unknown(mut self, operation_id: OperationId) -> Self {
        self.error.kind = ErrorKind::OutcomeUnknown;
        self.operation_id = Some(operation_id);
        self
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn get_kind(&self) -> ErrorKind {
        self.error.kind
    }

    /// Returns the error in the form of the operator API.
    #[must_use]
    pub const fn get_error(&self) -> &OperatorError {
        &self.error
    }

    /// Returns the error for programs: that of the operator API, and the name of
    /// the update to repeat.
    #[must_use]
    pub fn to_json(&self) -> Value {
        // The error is a structure of texts and numbers.
        let mut json = serde_json::to_value(&self.error).unwrap_or_default();
        if let Some(id) = &self.operation_id {
            json["operation_id"] = Value::from(id.as_str());
        }
        json
    }

    /// Returns the exit code of the process.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self.error.kind {
            ErrorKind::BadRequest | ErrorKind::Findings => USAGE_EXIT_CODE,
            _ => FAILED_EXIT_CODE,
        }
    }
}

impl From<OperatorError> for CtlError {
    fn from(error: OperatorError) -> Self {
        Self {
            error: Box::new(error),
            operation_id: None,
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error = &self.error;
        f.write_str(&error.message)?;
        for finding in &error.findings {
            write!(f, "\n  {finding}")?;
        }
        for change in &error.changes {
            write!(f, "\n  {change}")?;
        }
        if let Some(millis) = error.retry_after_ms {
            write!(f, "\n  come back in {millis} ms")?;
        }
        match (error.kind, &self.operation_id) {
            (ErrorKind::NotRun, _) => f.write_str("\n  nothing was changed"),
            (ErrorKind::OutcomeUnknown, Some(id)) => {
                write!(
                    f,
                    "\n  repeat the command with --operation {id} to settle it"
                )
            }
            (ErrorKind::OutcomeUnknown, None) => f.write_str("\n  look at the status first"),
            _ => Ok(()),
        }
    }
}

impl std::error::Error for CtlError {}
