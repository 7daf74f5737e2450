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

/// How long a target may take to answer a report, or to open the connection.
const REPORT_BOUND: Duration = Duration::from_millis(600);

/// How long a target may wait inside one `group_wait`.
const WAIT_STEP_MS: u32 = 2;

/// The time between reports that nobody asked for.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The time between tries to open the connection.
const REOPEN_DELAY: Duration = Duration::from_millis(50);

/// The watch of one target: asks it for reports over one kept connection.
#[derive(Debug)]
pub struct TargetWatch {
    target: TargetId,
    address: SocketAddr,
    database: String,
    clock: ProcessClock,
    demand: watch::Receiver<WatchDemand>,
    commands: mpsc::WeakUnboundedSender<GroupCommand>,
    connection: Option<TargetConnection>,
    reports_given: u64,
}

impl TargetWatch {
    /// Makes the watch of a target.
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
            reports_given: 0,
        }
    }

    /// Asks for reports until the group's watch is gone.
    pub async fn run(mut self) {
        loop {
            let demand = *self.demand.borrow_and_update();
            let requested_at = self.clock.now();
            let report = self.ask(demand).await;
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
            self.pause(failed).await;
        }
    }

    async fn pause(&mut self, failed: bool) {
        if failed {
            sleep(REOPEN_DELAY).await;
            return;
        }
        let demand = *self.demand.borrow();
        let is_wanted = demand.awaited.is_some() || demand.reports_wanted > self.reports_given;
        if is_wanted {
            tokio::task::yield_now().await;
            return;
        }
        let _ = timeout(HEARTBEAT_INTERVAL, self.demand.changed()).await;
    }

    async fn ask(&mut self, demand: WatchDemand) -> Result<ServerReport, ConnectionError> {
        let text = self.question(demand);
        self.reports_given = demand.reports_wanted;
        let connection = self.open_connection().await?;
        let frames = connection.run_own(&text, REPORT_BOUND).await?;
        let columns = first_row(&frames)?.unwrap_or_default();
        let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
        ServerReport::from_columns(&columns).map_err(|error| ConnectionError::Refused {
            code: "XX000".to_owned(),
            message: error.to_string(),
        })
    }

    /// A report that is wanted at once goes before a wait.
    fn question(&self, demand: WatchDemand) -> String {
        match demand.awaited {
            Some(position) if demand.reports_wanted == self.reports_given => {
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
                TargetConnection::open(self.address, &self.database, REPORT_BOUND, now).await?
            }
        };
        Ok(self.connection.insert(connection))
    }
}
