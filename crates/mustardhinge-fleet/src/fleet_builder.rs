use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::{Context, anyhow};
use mustardhinge_agent::AgentProcess;
use mustardhinge_config::document::ServiceDocument;
use mustardhinge_config::settings::{AgentSettings, BudgetPolicy, EntrySettings, TlsFiles};
use mustardhinge_core::prelude::*;
use mustardhinge_entry::process::EntryBuilder;
use mustardhinge_standins::platform::{
    InstanceEntry, InstanceState, ObjectUpdate, PlatformHandle, PlatformServer,
};
use mustardhinge_standins::target::{TargetBuilder, TargetGroup, TargetServer};

use super::{FleetInstance, SmallFleet};

/// The kind under which the platform keeps documents.
const DOCUMENT_KIND: &str = "service";

/// Describes a fleet: documents, instances, bounds. Built by value.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    documents: Vec<ServiceDocument>,
    instances: usize,
    statement_time: Duration,
    connection_delay: Duration,
    budget_policy: BudgetPolicy,
    records_bytes: bool,
    drain_bound_ms: u32,
    tls: Option<TlsFiles>,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            documents: Vec::new(),
            instances: 1,
            statement_time: Duration::ZERO,
            connection_delay: Duration::from_millis(10),
            budget_policy: BudgetPolicy::default(),
            records_bytes: false,
            drain_bound_ms: 5_000,
            tls: None,
        }
    }
}

impl FleetBuilder {
    /// Adds a service; the addresses of its targets are replaced by those of
    /// stand-ins.
    #[must_use]
    pub fn service(mut self, document: ServiceDocument) -> Self {
        self.documents.push(document);
        self
    }

    /// Sets the number of instances, spread over the availability zones.
    #[must_use]
    pub fn instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the time that a statement takes at a target.
    #[must_use]
    pub fn statement_time(mut self, time: Duration) -> Self {
        self.statement_time = time;
        self
    }

    /// Sets how customers' rates are divided.
    #[must_use]
    pub fn budget_policy(mut self, policy: BudgetPolicy) -> Self {
        self.budget_policy = policy;
        self
    }

    /// Sets whether targets keep every byte that they get.
    #[must_use]
    pub fn record_bytes(mut self, records_bytes: bool) -> Self {
        self.records_bytes = records_bytes;
        self
    }

    /// Sets the time that a planned stop may take.
    #[must_use]
    pub fn drain_bound_ms(mut self, bound: u32) -> Self {
        self.drain_bound_ms = bound;
        self
    }

    /// Sets the certificate and key for callers.
    #[must_use]
    pub fn tls(mut self, files: TlsFiles) -> Self {
        self.tls = Some(files);
        self
    }

    /// Returns the documents.
    #[must_use]
    pub fn get_documents(&self) -> &[ServiceDocument] {
        &self.documents
    }

    /// Starts everything.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened or a document is not taken.
    pub async fn start(self) -> anyhow::Result<SmallFleet> {
        let platform = PlatformServer::builder().start().await?;
        let mut groups = BTreeMap::new();
        let mut documents = self.documents.clone();
        for document in &mut documents {
            let group = self.start_group(document).await?;
            for (entry, target) in document.group.targets.iter_mut().zip(&group.targets) {
                entry.address = target.address();
            }
            store_document(&platform, document)?;
            groups.insert(document.group.name.clone(), group);
        }
        let instances = self.start_instances(&platform, &documents).await?;
        Ok(SmallFleet {
            platform,
            groups,
            instances,
            documents,
            plan: self,
        })
    }

    async fn start_group(&self, document: &ServiceDocument) -> anyhow::Result<TargetGroup> {
        let limits = &document.limits;
        let slots = usize::try_from(limits.slots_per_target)?;
        let connections = usize::try_from(limits.connections_per_target)?;
        let builder_of = |name: &TargetId| -> TargetBuilder {
            TargetServer::builder(name.as_str())
                .slots(slots)
                .connection_limit(connections)
                .connection_delay(self.connection_delay)
                .statement_time(self.statement_time)
                .record_bytes(self.records_bytes)
        };
        let targets = document.group.targets.iter();
        let builders = targets.map(|entry| builder_of(&entry.name)).collect();
        let group = TargetGroup::start(builders).await;
        group.with_context(|| format!("starting group {}", document.group.name))
    }

    async fn start_instances(
        &self,
        platform: &PlatformHandle,
        documents: &[ServiceDocument],
    ) -> anyhow::Result<Vec<FleetInstance>> {
        let zones = zones_of(documents);
        let mut instances: Vec<FleetInstance> = Vec::new();
        for number in 1..=self.instances {
            let zone = zones[(number - 1) % zones.len()].clone();
            let peers = instances.iter().map(|peer| peer.agent_address).collect();
            let address = platform.address();
            let instance = self.start_instance(number, zone, address, peers).await?;
            self.list_instance(platform, &instance);
            instances.push(instance);
        }
        Ok(instances)
    }

    pub(crate) async fn start_instance(
        &self,
        number: usize,
        zone: ZoneId,
        platform: SocketAddr,
        peers: Vec<SocketAddr>,
    ) -> anyhow::Result<FleetInstance> {
        let instance: InstanceId = format!("instance-{number}").parse()?;
        let settings = self.agent_settings(&instance, &zone, platform, peers);
        let agent = AgentProcess::builder().settings(settings).start().await?;
        let settings = self.entry_settings(&instance, &zone, agent.address());
        let entry = EntryBuilder::new(settings).start().await?;
        Ok(FleetInstance {
            instance,
            zone,
            address: entry.address(),
            agent_address: agent.address(),
            operator_address: agent.operator_address(),
            agent: Some(agent),
            entry: Some(entry),
        })
    }

    pub(crate) fn list_instance(&self, platform: &PlatformHandle, instance: &FleetInstance) {
        platform.put_instance(InstanceEntry {
            instance: instance.instance.to_string(),
            zone: instance.zone.to_string(),
            agent_address: instance.agent_address,
            state: InstanceState::Live,
        });
    }

    fn agent_settings(
        &self,
        instance: &InstanceId,
        zone: &ZoneId,
        platform: SocketAddr,
        peers: Vec<SocketAddr>,
    ) -> AgentSettings {
        AgentSettings {
            instance: instance.clone(),
            zone: zone.clone(),
            listen: any_port(),
            operator: any_port(),
            metrics: None,
            zone_count: 3,
            platform,
            peers,
            log_level: "warn".to_owned(),
            drain_bound_ms: self.drain_bound_ms,
            probe_interval_ms: 50,
            probe_timeout_ms: 250,
            platform_timeout_ms: 1_000,
            peer_interval_ms: 250,
            budget_policy: self.budget_policy,
        }
    }

    fn entry_settings(
        &self,
        instance: &InstanceId,
        zone: &ZoneId,
        agent: SocketAddr,
    ) -> EntrySettings {
        EntrySettings {
            instance: instance.clone(),
            zone: zone.clone(),
            listen: any_port(),
            metrics: None,
            agent,
            log_level: "warn".to_owned(),
            drain_bound_ms: self.drain_bound_ms,
            startup_timeout_ms: 2_000,
            max_callers: 4_000,
            traffic_threads: 1,
            tls: self.tls.clone(),
        }
    }
}

pub(crate) fn store_document(
    platform: &PlatformHandle,
    document: &ServiceDocument,
) -> anyhow::Result<()> {
    let name = document.service.as_str();
    let known = platform.object(DOCUMENT_KIND, name);
    let update = ObjectUpdate {
        expected_version: known.map_or(0, |object| object.version),
        operation_id: format!("fleet-{name}"),
        value: toml::to_string(document)?.into(),
    };
    platform
        .update(DOCUMENT_KIND, name, update)
        .map_err(|_| anyhow!("document {name} was changed meanwhile"))?;
    Ok(())
}

fn zones_of(documents: &[ServiceDocument]) -> Vec<ZoneId> {
    let mut zones: Vec<ZoneId> = Vec::new();
    let targets = documents
        .iter()
        .flat_map(|document| &document.group.targets);
    for target in targets {
        if !zones.contains(&target.zone) {
            zones.push(target.zone.clone());
        }
    }
    zones
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
