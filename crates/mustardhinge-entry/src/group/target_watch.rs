use std::net::SocketAddr;
use std::time::Duration;

use mustardhinge_config::document::TargetEntry;
use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::ServerReport;
use mustardhinge_process::ProcessClock;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::row_columns::first_row;
use super::{GroupCommand, WatchDemand};
use crate::target::{ConnectionError, TargetConnection};

/// Timeout of a report request and of opening the connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time that a target may wait in one `group_wait` call, in milliseconds.
const WAIT_STEP_MS: u32 = 2;

/// Interval between reports when none is requested.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a failed connection is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(50);

/// Background task that requests reports of one target over a persistent
/// connection.
#[derive(Debug)]
pub struct TargetWatch {
    target: TargetId,
    address: SocketAddr,
    database: String,
    clock: ProcessClock,
    demand: watch::Receiver<WatchDemand>,
    commands: mpsc::WeakUnboundedSender<GroupCommand>,
    connection: Option<TargetConnection>,
    handled_requests: u64,
}

impl TargetWatch {
    /// Creates the watch of a target.
    #[must_use]
    pub fn new(
        entry: &TargetEntry,
        database: &str,
        clock: ProcessClock,
        demand: watch::Receiver<WatchDemand>,
        commands: mpsc::WeakUnboundedSender<GroupCommand>,
    ) -> Self {
        Self {
            target: entry.name.clone(),
            address: entry.address,
            database: database.to_owned(),
            clock,
            demand,
            commands,
            connection: None,
            handled_requests: 0,
        }
    }

    /// Requests reports until the watch of the group stops.
    pub async fn run(mut self) {
        loop {
            let demand = *self.demand.borrow_and_update();
            let requested_at = self.clock.now();
            let report = self.request_report(demand).await;
            let failed = report.is_err();
            if failed {
                self.connection = None;
            }
            let command = GroupCommand::Reported {
                target: self.target.clone(),
                requested_at,
                report: report.ok(),
            };
            let Some(commands) = self.commands.upgrade() else {
                return;
            };
            if commands.send(command).is_err() {
                return;
            }
            drop(commands);
            self.wait_for_demand(failed).await;
        }
    }

    async fn wait_for_demand(&mut self, failed: bool) {
        if failed {
            sleep(REOPEN_DELAY).await;
            return;
        }
        let demand = *self.demand.borrow();
        let has_demand =
            demand.awaited_position.is_some() || demand.report_requests > self.handled_requests;
        if has_demand {
            tokio::task::yield_now().await;
            return;
        }
        let _ = timeout(HEARTBEAT_INTERVAL, self.demand.changed()).await;
    }

    async fn request_report(
        &mut self,
        demand: WatchDemand,
    ) -> Result<ServerReport, ConnectionError> {
        let statement = self.next_statement(demand);
        self.handled_requests = demand.report_requests;
        let connection = self.open_connection().await?;
        let frames = connection
            .run_proxy_statement(&statement, REPORT_TIMEOUT)
            .await?;
        let columns = first_row(&frames)?.unwrap_or_default();
        let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
        ServerReport::from_columns(&columns).map_err(|error| ConnectionError::Refused {
            code: "XX000".to_owned(),
            message: error.to_string(),
        })
    }

    /// Returns the statement to send. An immediate report takes precedence over a
    /// wait for a position.
    fn next_statement(&self, demand: WatchDemand) -> String {
        match demand.awaited_position {
            Some(position) if demand.report_requests == self.handled_requests => {
                format!("SELECT group_wait('{position}', {WAIT_STEP_MS})")
            }
            _ => "SELECT group_report()".to_owned(),
        }
    }

    async fn open_connection(&mut self) -> Result<&mut TargetConnection, ConnectionError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let now = self.clock.now();
                TargetConnection::open(self.address, &self.database, REPORT_TIMEOUT, now).await?
            }
        };
        Ok(self.connection.insert(connection))
    }
}
