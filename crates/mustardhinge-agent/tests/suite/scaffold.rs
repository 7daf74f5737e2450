//! A platform, one database group and agents, all on the loopback address.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use mustardhinge_agent::AgentProcess;
use mustardhinge_config::settings::AgentSettings;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::AgentApiClient;
use mustardhinge_rpc::control::{ControlRequest, ControlState, GroupState};
use mustardhinge_standins::platform::{
    InstanceEntry, InstanceState, ObjectUpdate, PlatformHandle, PlatformServer,
};
use mustardhinge_standins::target::{TargetBuilder, TargetGroup, TargetHandle};
use tokio::time::{Instant, sleep};

/// The service, and its group.
pub(crate) const SERVICE: &str = "haulage-1";
/// The longest wait of a test for what has to come.
pub(crate) const PATIENCE: Duration = Duration::from_secs(8);
/// The digest of the key of the customer `seeb`.
pub(crate) const KEY_DIGEST: &str =
    "5994471abb01112afcc18159f6cc74b4f511b99806da59b3caf5a9c173cacfc5";

const ZONES: [&str; 3] = ["muscat-1", "muscat-2", "muscat-3"];

pub(crate) struct Fleet {
    pub(crate) platform: PlatformHandle,
    pub(crate) targets: TargetGroup,
}

impl Fleet {
    /// Starts a platform that holds the document of one group of three targets.
    pub(crate) async fn start() -> Self {
        let builder = TargetBuilder::new(SERVICE);
        let fleet = Self {
            platform: PlatformServer::builder().start().await.unwrap(),
            targets: TargetGroup::start_uniform(&builder, 3).await.unwrap(),
        };
        fleet.put_document(0, "first", &fleet.document("40/s"));
        fleet
    }

    /// Returns a document in which the customer has the given rate.
    pub(crate) fn document(&self, rate: &str) -> String {
        let mut text = format!("service = '{SERVICE}'\n[group]\nname = '{SERVICE}'\n");
        for (target, zone) in self.targets.targets.iter().zip(ZONES) {
            let (name, address) = (target.name(), target.address());
            text += "[[group.target]]\n";
            text += &format!("name = '{name}'\nzone = '{zone}'\naddress = '{address}'\n");
        }
        text += "[[customer]]\nname = 'seeb'\n";
        text + &format!("rate = '{rate}'\nburst = '80req'\nkeys = ['{KEY_DIGEST}']\n")
    }

    /// Puts a document into the store, past the operator API.
    pub(crate) fn put_document(
        &self,
        expected_version: u64,
        operation_id: &str,
        text: &str,
    ) -> u64 {
        let update = ObjectUpdate {
            expected_version,
            operation_id: operation_id.to_owned(),
            value: text.into(),
        };
        self.platform.update("service", SERVICE, update).unwrap()
    }

    /// Starts the agent of the first instance of a zone and lists it.
    pub(crate) async fn start_agent(&self, zone: usize, more: &str) -> AgentProcess {
        let instance = format!("{}-a", ZONES[zone]);
        self.start_instance(&instance, zone, more).await
    }

    /// Starts the agent of an instance, with more settings, and lists it.
    pub(crate) async fn start_instance(
        &self,
        instance: &str,
        zone_number: usize,
        more: &str,
    ) -> AgentProcess {
        let (platform, zone) = (self.platform.address(), ZONES[zone_number]);
        let settings = format!(
            "instance = '{instance}'\nzone = '{zone}'\nlisten = '127.0.0.1:0'\n\
             operator = '127.0.0.1:0'\nplatform = '{platform}'\n\
             platform_timeout_ms = 400\n{more}\n"
        );
        let settings = AgentSettings::parse(&settings).unwrap();
        let agent = AgentProcess::builder().settings(settings).start();
        let agent = agent.await.unwrap();
        self.list_instance(instance, zone_number, agent.address());
        agent
    }

    /// Lists an instance whose agent listens at an address.
    pub(crate) fn list_instance(&self, instance: &str, zone: usize, address: SocketAddr) {
        self.platform.put_instance(InstanceEntry {
            instance: instance.to_owned(),
            zone: ZONES[zone].to_owned(),
            agent_address: address,
            state: InstanceState::Live,
        });
    }

    /// Returns the target with a name.
    pub(crate) fn target(&self, name: &TargetId) -> &TargetHandle {
        let mut targets = self.targets.targets.iter();
        targets
            .find(|target| target.name() == name.as_str())
            .unwrap()
    }
}

/// Returns a client of an agent's calls.
pub(crate) fn control_client(agent: &AgentProcess) -> HttpClient {
    let url = format!("http://{}", agent.address());
    HttpClient::builder().build(url).unwrap()
}

/// Returns all that an agent tells the entry.
pub(crate) async fn control_state(agent: &AgentProcess) -> ControlState {
    let client = control_client(agent);
    let request = ControlRequest {
        agent_incarnation: 0,
        known_revision: 0,
        wait_ms: 0,
    };
    client.control_state(request).await.unwrap()
}

/// Waits until an agent's control state is as wanted.
pub(crate) async fn wait_for_state(
    agent: &AgentProcess,
    what: &str,
    is_wanted: impl Fn(&ControlState) -> bool,
) -> ControlState {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let state = control_state(agent).await;
        if is_wanted(&state) {
            return state;
        }
        assert!(Instant::now() < deadline, "{what} did not come: {state:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until an agent names a primary in a term that is greater than `term`.
pub(crate) async fn wait_for_primary(agent: &AgentProcess, term: u64) -> (LeaderTerm, TargetId) {
    let term = LeaderTerm::new(term);
    let is_newer = |group: &&GroupState| group.term > term && group.primary.is_some();
    let what = "a primary in a greater term";
    let find = |state: &ControlState| state.groups.iter().find(is_newer).cloned();
    let state = wait_for_state(agent, what, |state| find(state).is_some()).await;
    let group = find(&state).unwrap();
    (group.term, group.primary.unwrap())
}
