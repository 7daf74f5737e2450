use std::net::{Ipv4Addr, SocketAddr};

use anyhow::Context;
use mustardhinge_core::prelude::*;
use mustardhinge_standins::forward::{DelayForwarder, ForwardHandle};
use mustardhinge_standins::target::member::MemberRole;
use mustardhinge_standins::target::{TargetBuilder, TargetGroup, TargetHandle};
use tokio_postgres::NoTls;

use crate::load::{DeploymentProfile, WORK_TABLE};

/// An address on the loopback interface with any free port.
pub(super) const ANY_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A service's database group: its targets and the network in front of them.
#[derive(Debug)]
pub struct FleetGroup {
    /// The service.
    pub service: ServiceId,
    /// The targets.
    pub targets: Vec<TargetHandle>,
    /// The network in front of each target.
    pub links: Vec<ForwardHandle>,
}

impl FleetGroup {
    /// Starts the targets of a service and puts the rows in.
    ///
    /// # Errors
    ///
    /// Fails if a target can't be started or a row not be written.
    pub async fn start(
        profile: &DeploymentProfile,
        service: &ServiceId,
        rows: &[(String, String)],
    ) -> anyhow::Result<Self> {
        let builders = (1..=profile.targets_per_group).map(|number| {
            let name = DeploymentProfile::target_name(service, number);
            TargetBuilder::new(name.as_str())
                .slots(profile.slots as usize)
                .connection_limit(profile.connections as usize)
                .connection_delay(profile.connect_delay)
                .statement_time(profile.statement_time)
                .record_bytes(true)
        });
        let group = TargetGroup::start(builders.collect()).await?;
        let mut links = Vec::new();
        for (target, lag) in group.targets.iter().zip(&profile.replica_lags) {
            let lag_ms = u32::try_from(lag.as_millis())?;
            let hop_ms = u32::try_from(profile.zone_delay.as_millis())?;
            target.change_faults(|faults| {
                faults.replication_lag_ms = hop_ms;
                faults.apply_lag_ms = lag_ms;
            });
            let link = DelayForwarder::start(ANY_ADDRESS, target.address()).await?;
            link.change_delays(|delays| delays.default_delay = profile.zone_delay);
            links.push(link);
        }
        let group = Self {
            service: service.clone(),
            targets: group.targets,
            links,
        };
        group
            .write_rows(rows)
            .await
            .context("writing the first rows")?;
        Ok(group)
    }

    /// Returns where the targets are reached.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(ForwardHandle::address).collect()
    }

    /// Returns the index of the target that is primary in the greatest term.
    #[must_use]
    pub fn primary_index(&self) -> usize {
        let reports = self.targets.iter().map(TargetHandle::report);
        reports
            .enumerate()
            .filter(|(_, report)| report.role == MemberRole::Primary)
            .max_by_key(|(_, report)| report.term)
            .map_or(0, |(index, _)| index)
    }

    async fn write_rows(&self, rows: &[(String, String)]) -> anyhow::Result<()> {
        let address = self.targets[0].address();
        let text = format!(
            "host={} port={} user=mustardhinge",
            address.ip(),
            address.port()
        );
        let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
        let driver = tokio::spawn(connection);
        for (key, value) in rows {
            let statement = format!("INSERT INTO {WORK_TABLE} (k, v) VALUES ('{key}', '{value}')");
            client.simple_query(&statement).await?;
        }
        drop(client);
        driver.await??;
        Ok(())
    }
}
