use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Context, bail};
use mustardhinge_config::document::ServiceDocument;
use mustardhinge_core::prelude::*;
use mustardhinge_standins::platform::PlatformHandle;
use mustardhinge_standins::target::TargetGroup;

use super::{FleetBuilder, FleetInstance};

/// The time after its start in which an agent lends no budget.
const QUIET_START: Duration = Duration::from_millis(1_200);

/// A running fleet; ends when dropped.
pub struct SmallFleet {
    /// The platform.
    pub platform: PlatformHandle,
    /// The targets of each group, the first primary first.
    pub groups: BTreeMap<GroupId, TargetGroup>,
    /// The instances.
    pub instances: Vec<FleetInstance>,
    /// The documents with the targets' real addresses.
    pub documents: Vec<ServiceDocument>,
    pub(crate) plan: FleetBuilder,
}

impl SmallFleet {
    /// Starts to describe a fleet.
    #[must_use]
    pub fn builder() -> FleetBuilder {
        FleetBuilder::default()
    }

    /// Returns the targets of a group.
    ///
    /// # Panics
    ///
    /// Panics if there is no such group.
    #[must_use]
    pub fn group(&self, name: &str) -> &TargetGroup {
        let mut groups = self.groups.iter();
        let found = groups.find(|(group, _)| group.as_str() == name);
        found.expect("a group of the fleet").1
    }

    /// Waits until every entry serves every service.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than `bound`.
    pub async fn wait_until_ready(&self, bound: Duration) -> anyhow::Result<()> {
        for instance in &self.instances {
            let Some(entry) = &instance.entry else {
                continue;
            };
            if !entry.wait_until_ready(bound).await {
                bail!("instance {} was not ready in time", instance.instance);
            }
        }
        tokio::time::sleep(QUIET_START).await;
        Ok(())
    }

    /// Starts one more instance, for instance in place of a stopped one.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
    pub async fn add_instance(&mut self, zone: ZoneId) -> anyhow::Result<usize> {
        let number = self.instances.len() + 1;
        let platform = self.platform.address();
        let peers = self.instances.iter().map(|peer| peer.agent_address);
        let peers = peers.collect();
        let instance = self
            .plan
            .start_instance(number, zone, platform, peers)
            .await
            .with_context(|| format!("starting instance {number}"))?;
        self.plan.list_instance(&self.platform, &instance);
        self.instances.push(instance);
        Ok(number - 1)
    }

    /// Stops the instances as planned, then the stand-ins.
    pub async fn shutdown(mut self) {
        for instance in &mut self.instances {
            instance.stop().await;
        }
        for group in std::mem::take(&mut self.groups).into_values() {
            group.shutdown().await;
        }
        self.platform.shutdown().await;
    }

    /// Stores a changed document, as an operator's update that succeeded.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses it.
    pub fn store_document(&self, document: &ServiceDocument) -> anyhow::Result<()> {
        super::fleet_builder::store_document(&self.platform, document)
    }
}
