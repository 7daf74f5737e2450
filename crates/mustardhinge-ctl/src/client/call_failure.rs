use mustardhinge_core::prelude::OperationId;
use mustardhinge_rpc::operator::ErrorKind;

use crate::error::CtlError;

/// How one call failed.
pub(super) enum CallFailure {
    /// No connection was made, so that the call did not run.
    NotReached(String),
    /// The call was sent and no whole answer came.
    AnswerLost(String),
    /// The agent answered an error.
    Answered(CtlError),
}

impl CallFailure {
    /// Tells whether the call may have had its effect.
    pub(super) const fn may_have_run(&self) -> bool {
        match self {
            Self::NotReached(_) => false,
            Self::AnswerLost(_) => true,
            Self::Answered(error) => matches!(
                error.get_kind(),
                ErrorKind::OutcomeUnknown | ErrorKind::Internal
            ),
        }
    }

    /// Returns the error of a call that was sent once.
    pub(super) fn into_error(self) -> CtlError {
        match self {
            Self::NotReached(message) => CtlError::not_run(message),
            Self::AnswerLost(message) => CtlError::outcome_unknown(message),
            Self::Answered(error) => error,
        }
    }

    /// Returns the error of an update, some attempt of which `may_have_run`.
    ///
    /// An agent that found out what is in force settles it; one that did not
    /// leaves it open.
    pub(super) fn into_update_error(
        self,
        may_have_run: bool,
        operation_id: &OperationId,
    ) -> CtlError {
        let error = self.into_error();
        let is_open = matches!(
            error.get_kind(),
            ErrorKind::OutcomeUnknown | ErrorKind::NotRun | ErrorKind::Internal
        );
        if may_have_run && is_open {
            error.into_outcome_unknown(operation_id.clone())
        } else {
            error
        }
    }
}
