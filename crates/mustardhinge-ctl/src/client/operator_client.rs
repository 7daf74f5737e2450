use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_core::prelude::OperationId;
use mustardhinge_rpc::operator::{ErrorKind, OperatorError};
use reqwest::{Client, Method, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CtlError;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How often an update of unknown outcome is sent at most.
const UPDATE_ATTEMPTS: u32 = 4;
/// How long to wait before an update is sent again.
const REPEAT_DELAY: Duration = Duration::from_millis(300);

/// A client of one agent.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: Client,
    agent: SocketAddr,
}

impl OperatorClient {
    /// Makes a client of the agent with the operator address `agent`.
    ///
    /// # Errors
    ///
    /// Fails if no HTTP client can be made.
    pub fn new(agent: SocketAddr) -> Result<Self, CtlError> {
        let http = Client::builder().timeout(CALL_TIMEOUT).build();
        let http = http.map_err(|error| CtlError::internal(error.to_string()))?;
        Ok(Self { http, agent })
    }

    /// Reads from the agent.
    ///
    /// # Errors
    ///
    /// Fails if the agent is not reached, or answers an error.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let sent = self.request(Method::GET, path).send().await;
        let answer = sent.map_err(|error| self.not_reached(&error))?;
        read_answer(answer).await
    }

    /// Sends a change that may run once only.
    ///
    /// # Errors
    ///
    /// Fails if the agent is not reached, answers an error, or its answer is lost.
    pub async fn change_once<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        let sent = self.request(method, path).json(body).send().await;
        match sent {
            Ok(answer) => read_answer(answer).await,
            Err(error) if error.is_connect() => Err(self.not_reached(&error)),
            Err(error) => Err(self.answer_lost(&error)),
        }
    }

    /// Sends a change that names its operation, again if its answer is lost.
    ///
    /// # Errors
    ///
    /// Fails if the agent is not reached, answers an error, or every answer is
    /// lost; the error then names the operation.
    pub async fn change<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        operation_id: &OperationId,
    ) -> Result<T, CtlError> {
        let mut attempt = 1;
        let mut may_have_run = false;
        loop {
            let result = self.change_once(method.clone(), path, body).await;
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            may_have_run |= error.get_kind() == ErrorKind::OutcomeUnknown;
            let is_settled = !may_have_run || !is_repeatable(error.get_kind());
            if is_settled {
                return Err(error);
            }
            if attempt == UPDATE_ATTEMPTS {
                let message = error.get_error().message.clone();
                let error = CtlError::outcome_unknown(message);
                return Err(error.operation_id(Some(operation_id.clone())));
            }
            attempt += 1;
            tokio::time::sleep(REPEAT_DELAY).await;
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.agent);
        self.http.request(method, url)
    }

    fn not_reached(&self, error: &reqwest::Error) -> CtlError {
        CtlError::not_run(format!(
            "agent {} is not reached: {}",
            self.agent,
            root_cause(error)
        ))
    }

    fn answer_lost(&self, error: &reqwest::Error) -> CtlError {
        CtlError::outcome_unknown(format!(
            "the answer of agent {} was lost: {}",
            self.agent,
            root_cause(error)
        ))
    }
}

/// Tells whether a call that ended so may be sent again to settle an update.
const fn is_repeatable(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::NotRun)
}

async fn read_answer<T: DeserializeOwned>(answer: Response) -> Result<T, CtlError> {
    let status = answer.status();
    let body = answer.bytes().await;
    let body = body.map_err(|error| {
        let cause = root_cause(&error);
        CtlError::outcome_unknown(format!("the answer broke off: {cause}"))
    })?;
    if status.is_success() {
        return serde_json::from_slice(&body)
            .map_err(|error| CtlError::internal(format!("the answer is malformed: {error}")));
    }
    let error: Result<OperatorError, _> = serde_json::from_slice(&body);
    match error {
        Ok(error) => Err(error.into()),
        Err(_) => {
            let text = String::from_utf8_lossy(&body);
            let message = format!("the agent answered {status}: {text}");
            Err(CtlError::internal(message))
        }
    }
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
