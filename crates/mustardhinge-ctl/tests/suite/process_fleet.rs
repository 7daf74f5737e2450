use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

use tokio_postgres::{Client, NoTls};

use crate::scaffold::{PATIENCE, ctl_at, write_file};

const SAMPLE: &str = include_str!("../../../../examples/muscat/haulage-1.toml");
const ZONES: [&str; 3] = ["muscat-1", "muscat-2", "muscat-3"];

/// A program of the workspace that runs until the test ends.
pub(crate) struct TestProcess {
    child: Child,
}

impl TestProcess {
    fn start(program: &str, settings: &str) -> Self {
        let file = write_file(settings);
        let mut command = Command::new(program_path(program));
        command.arg("--settings").arg(file);
        Self {
            child: command.spawn().unwrap(),
        }
    }

    /// Ends it as a crash does.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Asks it to stop, and returns how it ended.
    pub(crate) async fn stop(&mut self) -> ExitStatus {
        let process = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &process]).status();
        assert!(sent.unwrap().success());
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(PATIENCE / 1_000).await;
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry and its agent.
pub(crate) struct ProcessInstance {
    pub(crate) entry: TestProcess,
    pub(crate) agent: TestProcess,
    pub(crate) entry_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
}

/// A platform, a group of three targets and instances, a process each.
pub(crate) struct ProcessFleet {
    _platform: TestProcess,
    /// The targets; the first is the primary at the start.
    pub(crate) targets: Vec<TestProcess>,
    pub(crate) instances: Vec<ProcessInstance>,
    /// The sample document with the addresses of the targets.
    document: String,
}

impl ProcessFleet {
    /// Starts all processes and puts the document in force.
    pub(crate) async fn start(instance_count: usize) -> Self {
        build_programs();
        let platform = free_address();
        let agents: Vec<_> = (0..instance_count).map(|_| free_address()).collect();
        let listed = agents.iter().enumerate().map(|(index, address)| {
            let zone = ZONES[index % ZONES.len()];
            format!(
                "[[instance]]\nname = 'i-{index}'\nzone = '{zone}'\nagent_address = '{address}'\n"
            )
        });
        let settings = format!("listen = '{platform}'\n{}", listed.collect::<String>());
        let platform_process = TestProcess::start("mustardhinge-platform", &settings);
        let (targets, document) = start_targets();
        let instances = agents.iter().enumerate();
        let instances = instances.map(|(index, agent)| start_instance(index, *agent, platform));
        let fleet = Self {
            _platform: platform_process,
            targets,
            instances: instances.collect(),
            document,
        };
        fleet.apply_document().await;
        fleet
    }

    async fn apply_document(&self) {
        let file = write_file(&self.document);
        let arguments = ["apply", file.to_str().unwrap(), "--expect", "0"];
        let apply = async {
            let address = self.instances[0].operator_address;
            while ctl_at(address, &arguments, "").await.code != Some(0) {
                tokio::time::sleep(PATIENCE / 100).await;
            }
        };
        tokio::time::timeout(3 * PATIENCE, apply).await.unwrap();
    }

    /// Runs a query that may be repeated on an instance until it succeeds, on a
    /// connection of its own each time; returns the first column.
    pub(crate) async fn query(&self, instance: usize, text: &str) -> Vec<String> {
        let address = self.instances[instance].entry_address;
        let mut last_error = None;
        let query = async {
            loop {
                match try_query(address, text).await {
                    Ok(rows) => return rows,
                    Err(error) => last_error = Some(error),
                }
                tokio::time::sleep(PATIENCE / 200).await;
            }
        };
        let result = tokio::time::timeout(2 * PATIENCE, query).await;
        result.unwrap_or_else(|_| panic!("{text}: {last_error:?}"))
    }
}

fn start_targets() -> (Vec<TestProcess>, String) {
    let names = ["haulage-1-a", "haulage-1-b", "haulage-1-c"];
    let addresses = names.map(|_| free_address());
    let mut document = SAMPLE.to_owned();
    for (port, address) in (5411..).zip(addresses) {
        document = document.replace(&format!("127.0.0.1:{port}"), &address.to_string());
    }
    let targets = names.iter().zip(addresses).map(|(name, listen)| {
        let settings = format!(
            "name = '{name}'\nlisten = '{listen}'\n[initial]\nterm = 1\n\
             primary = '{}'\naddress = '{}'\n",
            names[0], addresses[0]
        );
        TestProcess::start("mustardhinge-target", &settings)
    });
    (targets.collect(), document)
}

fn start_instance(index: usize, agent: SocketAddr, platform: SocketAddr) -> ProcessInstance {
    let (operator_address, entry_address) = (free_address(), free_address());
    let common = format!(
        "instance = 'i-{index}'\nzone = '{}'\nlog_level = 'warn'\n",
        ZONES[index % ZONES.len()]
    );
    let agent_settings = format!(
        "{common}listen = '{agent}'\noperator = '{operator_address}'\n\
         platform = '{platform}'\npeers = []\n"
    );
    let entry_settings = format!("{common}listen = '{entry_address}'\nagent = '{agent}'\n");
    ProcessInstance {
        agent: TestProcess::start("mustardhinge-agent", &agent_settings),
        entry: TestProcess::start("mustardhinge-entry", &entry_settings),
        entry_address,
        operator_address,
    }
}

async fn try_query(address: SocketAddr, text: &str) -> Result<Vec<String>, tokio_postgres::Error> {
    let client = connect(address).await?;
    let rows = client.query(text, &[]).await?;
    Ok(rows.iter().map(|row| row.get(0)).collect())
}

/// Connects a driver of the customer `seeb`.
pub(crate) async fn connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("driver").password("seeb-sample-key");
    config.dbname("haulage-1").connect_timeout(PATIENCE / 10);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn program_folder() -> &'static Path {
    let own = Path::new(env!("CARGO_BIN_EXE_mustardhinge-ctl"));
    own.parent().unwrap()
}

fn program_path(program: &str) -> PathBuf {
    program_folder().join(program)
}

/// Builds the programs that this package's own build leaves out.
fn build_programs() {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--locked", "--offline", "--bins", "--target-dir"]);
    command.arg(program_folder().parent().unwrap());
    for package in ["standins", "agent", "entry"] {
        command.args(["--package", &format!("mustardhinge-{package}")]);
    }
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    // What describes this package would make the build of others stale.
    let prefixes = [
        "CARGO_PKG_",
        "CARGO_MANIFEST_",
        "CARGO_BIN_",
        "CARGO_CRATE_",
    ];
    for (name, _) in std::env::vars() {
        if prefixes.iter().any(|prefix| name.starts_with(prefix)) {
            command.env_remove(name);
        }
    }
    assert!(command.status().unwrap().success());
}
