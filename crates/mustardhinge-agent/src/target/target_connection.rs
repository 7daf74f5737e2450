use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

use super::TargetError;

/// Database user for calls to targets.
const TARGET_USER: &str = "mustardhinge";

/// One connection to a target; closed when dropped.
pub(super) struct TargetConnection {
    client: Client,
    driver: AbortHandle,
}

impl TargetConnection {
    /// Opens a connection.
    ///
    /// `closed` is notified when the connection closes.
    pub(super) async fn open(
        address: SocketAddr,
        closed: Arc<Notify>,
    ) -> Result<Self, TargetError> {
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(TARGET_USER)
            .dbname(TARGET_USER)
            .application_name("mustardhinge-agent");
        let connected = config.connect(NoTls).await;
        let (client, connection) = connected.map_err(|error| connect_error(&error))?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
            closed.notify_one();
        });
        Ok(Self {
            client,
            driver: driver.abort_handle(),
        })
    }

    /// Returns whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs one call and returns the text columns of its row.
    pub(super) async fn call(&self, statement: &str) -> Result<Vec<String>, TargetError> {
        let messages = self.client.simple_query(statement).await;
        let messages = messages.map_err(|error| self.to_target_error(&error))?;
        let row = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        let row = row.ok_or_else(|| TargetError::InvalidResponse("no row".to_owned()))?;
        let column = |index| row.get(index).unwrap_or_default().to_owned();
        Ok((0..row.len()).map(column).collect())
    }

    fn to_target_error(&self, error: &tokio_postgres::Error) -> TargetError {
        match error.as_db_error() {
            Some(database) => TargetError::InvalidResponse(database.message().to_owned()),
            None => TargetError::NotConnected,
        }
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn connect_error(error: &tokio_postgres::Error) -> TargetError {
    if let Some(database) = error.as_db_error() {
        return TargetError::Declined(database.message().to_owned());
    }
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset) => {
            TargetError::Refused
        }
        _ => TargetError::NotConnected,
    }
}
