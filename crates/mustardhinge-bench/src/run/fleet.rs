use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{anyhow, bail};
use mustardhinge_core::prelude::*;
use mustardhinge_standins::platform::{
    InstanceEntry, InstanceState, ObjectUpdate, PlatformBuilder, PlatformHandle,
};
use tokio::sync::Mutex;

use super::fleet_instance::InstanceSetup;
use super::{BaselineName, FleetGroup, FleetInstance, ServiceText};
use crate::load::{DeploymentProfile, EntryEndpoint};

/// The time in which all instances must be able to serve.
const READY_BOUND: Duration = Duration::from_secs(15);

/// The lag of the platform's list of instances.
const INSTANCE_LAG: Duration = Duration::from_millis(500);

/// The kind of the objects that hold service documents.
const SERVICE_KIND: &str = "service";

/// The platform, the groups and the instances of one run.
pub struct Fleet {
    /// The sizes and delays.
    pub profile: DeploymentProfile,
    /// The platform.
    pub platform: PlatformHandle,
    /// The groups, one a service.
    pub groups: Vec<FleetGroup>,
    /// The instances.
    pub instances: Vec<Arc<Mutex<FleetInstance>>>,
}

impl Fleet {
    /// Starts everything and waits until all instances can serve.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be started or is not ready in time.
    pub async fn start(
        profile: DeploymentProfile,
        baseline: Option<BaselineName>,
        rows: &BTreeMap<ServiceId, Vec<(String, String)>>,
    ) -> anyhow::Result<Self> {
        let mut fleet = Self::start_groups(profile, rows).await?;
        fleet.put_documents(baseline)?;
        fleet.start_instances(baseline).await?;
        Ok(fleet)
    }

    /// Starts everything but the entries, to measure agents at rest.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be started.
    pub async fn start_agents(profile: DeploymentProfile) -> anyhow::Result<Self> {
        let mut fleet = Self::start_groups(profile, &BTreeMap::new()).await?;
        fleet.put_documents(None)?;
        for number in 1..=fleet.profile.instances {
            let setup = fleet.make_setup(number, None)?;
            let instance = FleetInstance::start_agent(setup).await?;
            fleet.list_instance(&instance, InstanceState::Live);
            fleet.instances.push(Arc::new(Mutex::new(instance)));
        }
        Ok(fleet)
    }

    async fn start_groups(
        profile: DeploymentProfile,
        rows: &BTreeMap<ServiceId, Vec<(String, String)>>,
    ) -> anyhow::Result<Self> {
        let platform = PlatformBuilder::default()
            .instance_lag(INSTANCE_LAG)
            .start()
            .await?;
        let mut groups = Vec::new();
        for service in &profile.services {
            let rows = rows.get(service).map_or(&[][..], Vec::as_slice);
            groups.push(FleetGroup::start(&profile, service, rows).await?);
        }
        Ok(Self {
            profile,
            platform,
            groups,
            instances: Vec::new(),
        })
    }

    fn put_documents(&self, baseline: Option<BaselineName>) -> anyhow::Result<()> {
        for group in &self.groups {
            let addresses = group.addresses();
            let mut text = ServiceText::new(&self.profile, &group.service, &addresses);
            if baseline == Some(BaselineName::PrimaryReads) {
                text = (1..addresses.len()).fold(text, ServiceText::leaving);
            }
            self.put_document(&group.service, &text)?;
        }
        Ok(())
    }

    /// Puts a service's document into force, whatever was in force before.
    ///
    /// # Errors
    ///
    /// Fails if another update came between.
    pub fn put_document(&self, service: &ServiceId, text: &ServiceText<'_>) -> anyhow::Result<()> {
        let current = self.platform.object(SERVICE_KIND, service.as_str());
        let expected_version = current.map_or(0, |object| object.version);
        let update = ObjectUpdate {
            expected_version,
            operation_id: format!("bench-{service}-{expected_version}"),
            value: text.to_toml().into(),
        };
        self.platform
            .update(SERVICE_KIND, service.as_str(), update)
            .map_err(|(version, _)| anyhow!("version {version} of {service} is in force"))?;
        Ok(())
    }

    async fn start_instances(&mut self, baseline: Option<BaselineName>) -> anyhow::Result<()> {
        for number in 1..=self.profile.instances {
            let setup = self.make_setup(number, baseline)?;
            let instance = FleetInstance::start(setup).await?;
            self.list_instance(&instance, InstanceState::Live);
            self.instances.push(Arc::new(Mutex::new(instance)));
        }
        for instance in &self.instances {
            let instance = instance.lock().await;
            if !instance.wait_until_ready(READY_BOUND).await {
                bail!("{} can't serve in time", instance.instance());
            }
        }
        Ok(())
    }

    fn make_setup(
        &self,
        number: u32,
        baseline: Option<BaselineName>,
    ) -> anyhow::Result<InstanceSetup> {
        let zone = (number as usize - 1) % self.profile.zones.len();
        Ok(InstanceSetup {
            instance: format!("instance-{number}").parse()?,
            zone: self.profile.zones[zone].clone(),
            platform: self.platform.address(),
            platform_delay: self.profile.zone_delay,
            caller_delay: self.profile.caller_delay,
            budget_policy: match baseline {
                Some(BaselineName::StaticShares) => "static-shares",
                _ => "escrow",
            },
        })
    }

    /// Returns where the entries listen, without the callers' delay.
    pub async fn entry_addresses(&self) -> Vec<std::net::SocketAddr> {
        let mut addresses = Vec::new();
        for instance in &self.instances {
            addresses.push(instance.lock().await.entry_address());
        }
        addresses
    }

    /// Puts an instance into the platform's list.
    pub fn list_instance(&self, instance: &FleetInstance, state: InstanceState) {
        self.platform.put_instance(InstanceEntry {
            instance: instance.instance().to_string(),
            zone: instance.zone().to_string(),
            agent_address: instance.agent_address(),
            state,
        });
    }

    /// Returns where callers reach the instances.
    pub async fn endpoints(&self) -> Vec<EntryEndpoint> {
        let mut endpoints = Vec::new();
        for instance in &self.instances {
            let instance = instance.lock().await;
            endpoints.push(EntryEndpoint {
                instance: instance.instance().clone(),
                address: instance.caller_address(),
            });
        }
        endpoints
    }

    /// Ends everything, at once.
    pub async fn end(self) {
        for instance in &self.instances {
            let mut instance = instance.lock().await;
            instance.kill_entry();
            instance.kill_agent();
        }
        for group in self.groups {
            for link in group.links {
                link.shutdown().await;
            }
            for target in group.targets {
                target.shutdown().await;
            }
        }
        self.platform.shutdown().await;
    }
}
