use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_core::explain::{ExplainQuery, ExplainReport, QueryError, QueryFault};
use reqwest::Client;

use super::root_cause;
use crate::error::CtlError;

/// Timeout of a query; the instance answers from memory.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one instance's explain address.
#[derive(Clone, Debug)]
pub struct ExplainClient {
    http: Client,
    instance: SocketAddr,
}

impl ExplainClient {
    /// Creates the client of the instance that answers at this address.
    ///
    /// # Errors
    ///
    /// Returns an error if no HTTP client can be created.
    pub fn new(instance: SocketAddr) -> Result<Self, CtlError> {
        let http = Client::builder().timeout(QUERY_TIMEOUT).build();
        let http = http.map_err(|error| CtlError::internal(error.to_string()))?;
        Ok(Self { http, instance })
    }

    /// Asks the instance where it would route a request now.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance isn't reached, doesn't know a name in the query, or is busy.
    pub async fn explain(&self, query: &ExplainQuery) -> Result<ExplainReport, CtlError> {
        let url = format!("http://{}/mustardhinge/explain", self.instance);
        let parameters = [
            ("service", query.service.to_string()),
            ("route", query.route.to_string()),
            ("customer", query.customer.to_string()),
            ("kind", query.kind.to_string()),
        ];
        let sent = self.http.get(url).query(&parameters).send().await;
        let response = sent.map_err(|error| self.not_reached(&error))?;
        let status = response.status();
        let body = response.bytes().await;
        let body = body.map_err(|error| self.not_reached(&error))?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| {
                CtlError::internal(format!("the response is malformed: {error}"))
            });
        }
        Err(match serde_json::from_slice::<QueryError>(&body) {
            Ok(error) => refused(error),
            Err(_) => {
                let text = String::from_utf8_lossy(&body);
                CtlError::internal(format!("the instance answered {status}: {text}"))
            }
        })
    }

    fn not_reached(&self, error: &reqwest::Error) -> CtlError {
        let cause = root_cause(error);
        CtlError::not_run(format!(
            "instance {} is not reached: {cause}",
            self.instance
        ))
    }
}

fn refused(error: QueryError) -> CtlError {
    let message = match error.field {
        Some(field) => format!("{field}: {}", error.message),
        None => error.message,
    };
    match error.kind {
        QueryFault::Malformed | QueryFault::NotFound => CtlError::usage(message),
        QueryFault::Busy => CtlError::not_run(message),
    }
}
