use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_core::prelude::OperationId;
use mustardhinge_rpc::operator::OperatorError;
use reqwest::{Client, Method, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::call_failure::CallFailure;
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
        let answer = sent.map_err(|error| CtlError::not_run(self.not_reached(&error)))?;
        read_answer(answer).await.map_err(CallFailure::into_error)
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
        let answer = self.send(&method, path, body).await;
        answer.map_err(CallFailure::into_error)
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
        let mut may_have_run = false;
        for attempt in 1.. {
            let failure = match self.send(&method, path, body).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            may_have_run |= failure.may_have_run();
            let is_final = matches!(failure, CallFailure::Answered(_)) || !may_have_run;
            if is_final || attempt == UPDATE_ATTEMPTS {
                return Err(failure.into_update_error(may_have_run, operation_id));
            }
            tokio::time::sleep(REPEAT_DELAY).await;
        }
        unreachable!("the last attempt returns")
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallFailure> {
        let sent = self.request(method.clone(), path).json(body).send().await;
        match sent {
            Ok(answer) => read_answer(answer).await,
            Err(error) if error.is_connect() => {
                Err(CallFailure::NotReached(self.not_reached(&error)))
            }
            Err(error) => Err(CallFailure::AnswerLost(self.answer_lost(&error))),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.agent);
        self.http.request(method, url)
    }

    fn not_reached(&self, error: &reqwest::Error) -> String {
        let cause = root_cause(error);
        format!("agent {} is not reached: {cause}", self.agent)
    }

    fn answer_lost(&self, error: &reqwest::Error) -> String {
        let cause = root_cause(error);
        format!("the answer of agent {} was lost: {cause}", self.agent)
    }
}

async fn read_answer<T: DeserializeOwned>(answer: Response) -> Result<T, CallFailure> {
    let status = answer.status();
    let body = answer.bytes().await.map_err(|error| {
        let cause = root_cause(&error);
        CallFailure::AnswerLost(format!("the answer broke off: {cause}"))
    })?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the answer is malformed: {error}");
            CallFailure::Answered(CtlError::internal(message))
        });
    }
    let error = serde_json::from_slice::<OperatorError>(&body).map_or_else(
        |_| {
            let text = String::from_utf8_lossy(&body);
            CtlError::internal(format!("the agent answered {status}: {text}"))
        },
        CtlError::from,
    );
    Err(CallFailure::Answered(error))
}

/// Returns the text of the innermost cause of an error.
pub(super) fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
