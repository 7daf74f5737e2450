use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mustardhinge_core::replication::ServerReport;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::TargetError;
use super::target_connection::TargetConnection;

/// A second connection is tried in parallel after this fraction (1/n) of a call's
/// timeout, because the persistent one may have become unresponsive.
const FALLBACK_DIVISOR: u32 = 3;

/// Calls one target over a persistent connection, which is replaced when it becomes
/// unresponsive.
pub(crate) struct TargetClient {
    address: SocketAddr,
    connection: Mutex<Option<Arc<TargetConnection>>>,
    hints: Arc<Notify>,
}

impl TargetClient {
    /// Creates a client that is not connected yet.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::new(None),
            hints: Arc::default(),
        }
    }

    /// Requests the target's report.
    pub(crate) async fn report(&self, call_timeout: Duration) -> Result<ServerReport, TargetError> {
        let columns = self.call("SELECT group_report()", call_timeout).await?;
        parse_report(&columns)
    }

    /// Runs a fence, promote or follow call; returns the target's report and whether
    /// it granted the call.
    pub(crate) async fn change(
        &self,
        statement: &str,
        call_timeout: Duration,
    ) -> Result<(ServerReport, bool), TargetError> {
        let columns = self.call(statement, call_timeout).await?;
        let granted = columns.get(ServerReport::COLUMNS.len());
        let is_granted = granted.is_some_and(|column| column == "t");
        Ok((parse_report(&columns)?, is_granted))
    }

    /// Waits until a connection closes or `hint` is called.
    pub(crate) async fn wait_for_hint(&self) {
        self.hints.notified().await;
    }

    /// Signals that the target may have changed.
    pub(crate) fn hint(&self) {
        self.hints.notify_one();
    }

    /// Runs an idempotent call, possibly on two connections; returns within
    /// `call_timeout`.
    pub(crate) async fn call(
        &self,
        statement: &str,
        call_timeout: Duration,
    ) -> Result<Vec<String>, TargetError> {
        let response = timeout(
            call_timeout,
            self.call_with_fallback(statement, call_timeout),
        )
        .await;
        match response {
            Ok(response) => response,
            Err(_) => {
                self.set_connection(None);
                Err(TargetError::TimedOut)
            }
        }
    }

    async fn call_with_fallback(
        &self,
        statement: &str,
        call_timeout: Duration,
    ) -> Result<Vec<String>, TargetError> {
        let Some(connection) = self.get_connection() else {
            return self.call_on_new_connection(statement).await;
        };
        let first = connection.call(statement);
        tokio::pin!(first);
        match timeout(call_timeout / FALLBACK_DIVISOR, &mut first).await {
            Ok(Err(TargetError::NotConnected)) => self.call_on_new_connection(statement).await,
            Ok(response) => response,
            Err(_) => tokio::select! {
                response = &mut first => response,
                Ok(response) = self.call_on_new_connection(statement) => Ok(response),
            },
        }
    }

    async fn call_on_new_connection(&self, statement: &str) -> Result<Vec<String>, TargetError> {
        let connection = Arc::new(TargetConnection::open(self.address, self.hints.clone()).await?);
        let response = connection.call(statement).await?;
        self.set_connection(Some(connection));
        Ok(response)
    }

    fn get_connection(&self) -> Option<Arc<TargetConnection>> {
        let connection = self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connection
            .clone()
            .filter(|connection| !connection.is_closed())
    }

    fn set_connection(&self, connection: Option<Arc<TargetConnection>>) {
        *self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = connection;
    }
}

/// Parses a report from the text columns of a group call.
fn parse_report(columns: &[String]) -> Result<ServerReport, TargetError> {
    let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
    ServerReport::from_columns(&columns)
        .map_err(|error| TargetError::InvalidResponse(error.to_string()))
}
