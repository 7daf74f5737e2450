use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mustardhinge_core::replication::ServerReport;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::TargetError;
use super::target_connection::TargetConnection;

/// The part of a call's bound after which a second connection is tried beside
/// the kept one, which may have gone silent.
const SECOND_TRY_PART: u32 = 3;

/// Calls one target over a kept connection, which is replaced when it is silent.
pub(crate) struct TargetClient {
    address: SocketAddr,
    kept: Mutex<Option<Arc<TargetConnection>>>,
    hints: Arc<Notify>,
}

impl TargetClient {
    /// Creates a client that is not connected yet.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: Mutex::new(None),
            hints: Arc::default(),
        }
    }

    /// Asks the target for its report.
    pub(crate) async fn report(&self, bound: Duration) -> Result<ServerReport, TargetError> {
        let columns = self.call("SELECT group_report()", bound).await?;
        parse_report(&columns)
    }

    /// Asks the target to grant a term, or to be or follow a primary; returns its
    /// report and whether it did.
    pub(crate) async fn change(
        &self,
        statement: &str,
        bound: Duration,
    ) -> Result<(ServerReport, bool), TargetError> {
        let columns = self.call(statement, bound).await?;
        let granted = columns.get(ServerReport::COLUMNS.len());
        let is_granted = granted.is_some_and(|column| column == "t");
        Ok((parse_report(&columns)?, is_granted))
    }

    /// Waits until a connection ends or someone else hints at a change.
    pub(crate) async fn wait_for_hint(&self) {
        self.hints.notified().await;
    }

    /// Hints that the target may have changed.
    pub(crate) fn hint(&self) {
        self.hints.notify_one();
    }

    /// Runs a call that may be repeated; answers within `bound`.
    pub(crate) async fn call(
        &self,
        statement: &str,
        bound: Duration,
    ) -> Result<Vec<String>, TargetError> {
        let answer = timeout(bound, self.call_twice(statement, bound)).await;
        match answer {
            Ok(answer) => answer,
            Err(_) => {
                self.keep(None);
                Err(TargetError::Silent)
            }
        }
    }

    async fn call_twice(
        &self,
        statement: &str,
        bound: Duration,
    ) -> Result<Vec<String>, TargetError> {
        let Some(kept) = self.get_kept() else {
            return self.call_anew(statement).await;
        };
        let first = kept.call(statement);
        tokio::pin!(first);
        match timeout(bound / SECOND_TRY_PART, &mut first).await {
            Ok(Err(TargetError::NotConnected)) => self.call_anew(statement).await,
            Ok(answer) => answer,
            Err(_) => tokio::select! {
                answer = &mut first => answer,
                Ok(answer) = self.call_anew(statement) => Ok(answer),
            },
        }
    }

    async fn call_anew(&self, statement: &str) -> Result<Vec<String>, TargetError> {
        let connection = Arc::new(TargetConnection::open(self.address, self.hints.clone()).await?);
        let answer = connection.call(statement).await?;
        self.keep(Some(connection));
        Ok(answer)
    }

    fn get_kept(&self) -> Option<Arc<TargetConnection>> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.clone().filter(|connection| !connection.is_closed())
    }

    fn keep(&self, connection: Option<Arc<TargetConnection>>) {
        *self.kept.lock().unwrap_or_else(PoisonError::into_inner) = connection;
    }
}

/// Reads a report from the text columns of a group call.
fn parse_report(columns: &[String]) -> Result<ServerReport, TargetError> {
    let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
    ServerReport::from_columns(&columns).map_err(|error| TargetError::BadAnswer(error.to_string()))
}
