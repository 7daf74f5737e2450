use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use mustardhinge_agent::AgentProcess;
use mustardhinge_config::settings::AgentSettings;
use mustardhinge_standins::platform::{PlatformHandle, PlatformServer};
use mustardhinge_standins::target::{TargetGroup, TargetServer};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

/// The longest that a test waits for anything.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

const SAMPLE: &str = include_str!("../../../../examples/muscat/haulage-1.toml");

/// An agent with a platform and one group, and no entry.
pub(crate) struct TestSite {
    pub(crate) platform: PlatformHandle,
    pub(crate) group: TargetGroup,
    pub(crate) agent: AgentProcess,
    /// The sample document with the addresses of the group.
    pub(crate) document: String,
}

/// What a command printed, and its exit code.
pub(crate) struct CtlOutput {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl CtlOutput {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap()
    }

    /// Checks that the command was done.
    pub(crate) fn done(self) -> Self {
        assert_eq!(self.code, Some(0), "{}{}", self.stdout, self.stderr);
        self
    }
}

impl TestSite {
    pub(crate) async fn start() -> Self {
        let platform = PlatformServer::builder().start().await.unwrap();
        let names = ["haulage-1-a", "haulage-1-b", "haulage-1-c"];
        let builders = names.map(TargetServer::builder).to_vec();
        let group = TargetGroup::start(builders).await.unwrap();
        let mut document = SAMPLE.to_owned();
        for (port, target) in (5411..).zip(&group.targets) {
            let sample = format!("127.0.0.1:{port}");
            document = document.replace(&sample, &target.address().to_string());
        }
        let settings = format!(
            "instance = 'i-1'\nzone = 'muscat-1'\nlisten = '127.0.0.1:0'\n\
             operator = '127.0.0.1:0'\nplatform = '{}'\npeers = []\n\
             probe_interval_ms = 20\nplatform_timeout_ms = 300\n",
            platform.address()
        );
        let settings = AgentSettings::parse(&settings).unwrap();
        let agent = AgentProcess::builder().settings(settings).start().await;
        let agent = agent.unwrap();
        let site = Self {
            platform,
            group,
            agent,
            document,
        };
        site.wait_for("ready", |status| status["ready"] == true)
            .await;
        site
    }

    pub(crate) async fn ctl(&self, arguments: &[&str]) -> CtlOutput {
        ctl_at(self.agent.operator_address(), arguments, "").await
    }

    /// Writes a document to a file, and puts it in force.
    pub(crate) async fn apply(&self, document: &str, expected_version: u64) -> CtlOutput {
        let file = write_file(document);
        let version = expected_version.to_string();
        let path = file.to_str().unwrap();
        self.ctl(&["--json", "apply", path, "--expect", &version])
            .await
    }

    pub(crate) async fn wait_for(&self, what: &str, is_true: impl Fn(&Value) -> bool) {
        let wait = async {
            while !is_true(&self.ctl(&["--json", "status"]).await.done().json()) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let result = tokio::time::timeout(PATIENCE, wait).await;
        assert!(result.is_ok(), "never happened: {what}");
    }
}

/// Runs the program against the agent at `address`.
pub(crate) async fn ctl_at(address: SocketAddr, arguments: &[&str], input: &str) -> CtlOutput {
    let address = address.to_string();
    let mut with_agent = vec!["--agent", &address];
    with_agent.extend(arguments);
    ctl(&with_agent, input).await
}

/// Runs the program.
pub(crate) async fn ctl(arguments: &[&str], input: &str) -> CtlOutput {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mustardhinge-ctl"))
        .args(arguments)
        .env_remove("MUSTARDHINGE_AGENT")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // A command that reads no input may have ended.
    let _ = stdin.write_all(input.as_bytes()).await;
    drop(stdin);
    let output = tokio::time::timeout(4 * PATIENCE, child.wait_with_output()).await;
    let output = output.unwrap().unwrap();
    CtlOutput {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Writes a file that no other test uses.
pub(crate) fn write_file(text: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("mustardhinge-ctl-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(format!("{number}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}
