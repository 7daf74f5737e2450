//! The instances, started with the command of the deploy file, and clients of them.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::group::SERVICE;
use crate::record::Record;

const FRONT_PORT: u16 = 8_465;
const READY_PORT: u16 = 8_460;
const CONTROL_PORT: u16 = 8_462;
const PEER_PORT: u16 = 7_560;
pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";

pub struct Instance {
    pub name: String,
    pub ip: String,
    folder: PathBuf,
    pub child: Option<Child>,
    record: Arc<Record>,
}

/// The second and third part of the loopback addresses of this run.
pub fn network() -> String {
    let process = std::process::id();
    format!("127.{}.{}", 40 + process / 200 % 150, 1 + process % 200)
}

/// The tenant that holds the key at first, and the one that gets it in a later version.
pub const TENANT: &str = "nypu920";
pub const MOVED_TENANT: &str = "kavo114";

/// Returns the configuration of a small deployment.
pub fn config(version: u64, sync_replicas: usize) -> String {
    config_with(version, sync_replicas, TENANT)
}

/// Returns the configuration in which tenant `holder` holds the key.
pub fn config_with(version: u64, sync_replicas: usize, holder: &str) -> String {
    let keys_of = |tenant: &str| {
        if tenant == holder { format!("\"{KEY}\"") } else { format!("\"other-key-of-{tenant}\"") }
    };
    let tenants = [TENANT, MOVED_TENANT].map(|tenant| {
        format!(
            "{{\"name\":\"{tenant}\",\"api_keys\":[{}],\"priority\":1,\"rate_per_s\":143,\"burst\":143}}",
            keys_of(tenant)
        )
    });
    let tenants = tenants.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-1\",\"database\":\"route270\",\"path_prefix\":\"/\",\"route_kind\":\"bounded\",\
         \"timeout_ms\":3000,\"latency_goal_ms\":800,\"priority\":2,\"backend\":\"{SERVICE}\",\
         \"max_attempts\":2,\"max_staleness_ms\":1500,\"public\":false}},\
         {{\"name\":\"r-3\",\"database\":\"stock32\",\"path_prefix\":\"/\",\"route_kind\":\"own\",\
         \"timeout_ms\":1000,\"latency_goal_ms\":400,\"priority\":2,\"backend\":\"{SERVICE}\",\
         \"max_attempts\":2,\"max_staleness_ms\":2500,\"public\":false}},\
         {{\"name\":\"r-2\",\"database\":\"dispatch23\",\"path_prefix\":\"/\",\"route_kind\":\"primary\",\
         \"timeout_ms\":1000,\"latency_goal_ms\":200,\"priority\":1,\"backend\":\"{SERVICE}\",\
         \"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":33,\
         \"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":{sync_replicas}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}},\
         \"tenants\":[{tenants}]}}"
    )
}

impl Instance {
    /// Writes the settings of the instance `index` of `count` in `zone`.
    pub fn new(
        record: &Arc<Record>,
        folder: &std::path::Path,
        (index, count): (usize, usize),
        zone: &str,
        platform: SocketAddr,
    ) -> Self {
        let network = network();
        let address = |index: usize| format!("{network}.{}", index + 1);
        let seeds: Vec<_> =
            (0..count.min(3)).map(|index| format!("\"{}:{CONTROL_PORT}\"", address(index))).collect();
        let (name, ip) = (format!("front-{zone}-{}", index + 1), address(index));
        let folder = folder.join(&name);
        fs::create_dir_all(&folder).unwrap();
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"resident\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"muscat\"\n\
             port_range = [{PEER_PORT},{}]\nseed_addrs = [{}]\nbootstrap = true\nloss_counts = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"tenants\",\"quota\",\"platform\"]\n\
             [zones]\nmuscat-seeb = \"muscat\"\nmuscat-ruwi = \"muscat\"\nmuscat-amerat = \"muscat\"\n\
             [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4300\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstable_window_ms = 4000\nack_ms = 5000\ncatchup_s = 4\n\
             drain_ms = 7000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nback_ms = 250\n\
             outer_ms = 12000\nstrict_revoke = false\nrevoke_ms = 5000\nquota_window_s = 5\n\
             quota_overshoot = 0.1\nquota_slack = 20\nrecovery_s = 12\nrequire_fencing = false\nthaw_slack_ms = 300\n\
             [platform]\naddress = \"{platform}\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             retention_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n\
             [cloud_api]\naddress = \"{platform}\"\nrate_per_s = 50.0\nduties = [\"promote\"]\nduty_per_s = 50.0\n",
            PEER_PORT + 15,
            seeds.join(",")
        );
        fs::write(folder.join("boot.toml"), settings).unwrap();
        Self { name, ip, folder, child: None, record: Arc::clone(record) }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let log = log.unwrap();
        let mut command = Command::new("target/release/mustardhinge-resident");
        command.env_clear().env("MUSTARDHINGE_CONFIG", self.folder.join("boot.toml"));
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log).spawn();
        self.child = Some(child.expect("start target/release/mustardhinge-resident"));
        self.record.line(format!("instance {} starts", self.name));
    }

    /// Sends a signal, by its name, to the process of the instance.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            self.record.line(format!("instance {} gets SIG{signal}", self.name));
            let id = child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        }
    }

    /// Returns whether the process has ended by now, and records it once.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        let Ok(Some(status)) = child.try_wait() else { return false };
        self.record.line(format!("instance {} has ended: {status}", self.name));
        self.child = None;
        true
    }

    /// Asks like the platform whether the instance is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let address = format!("{}:{READY_PORT}", self.ip).parse::<SocketAddr>().unwrap();
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(300)))?;
            let head = format!("GET /mustardhinge/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
            stream.write_all(head.as_bytes())?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line.contains(" 200 "))
        };
        ask().unwrap_or(false)
    }

    /// Returns the address for callers.
    pub fn front(&self) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip).parse().unwrap()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all instances are ready. Returns false after 15 s.
pub fn wait_until_ready(instances: &[Instance]) -> bool {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(15) {
        if instances.iter().all(Instance::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A session of a client.
pub struct Client {
    input: BufReader<TcpStream>,
    output: TcpStream,
    record: Arc<Record>,
}

impl Client {
    /// Connects and starts the session.
    pub fn connect(record: &Arc<Record>, address: SocketAddr, database: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut client = Self {
            output: stream.try_clone()?,
            input: BufReader::new(stream),
            record: Arc::clone(record),
        };
        client.output.write_all(format!("START {database} {KEY}\r\n").as_bytes())?;
        let answer = client.read_answer()?;
        if !answer.contains("READY") {
            return Err(std::io::Error::other(format!("not started: {answer}")));
        }
        client.output.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(client)
    }

    /// Sends a statement and returns the whole answer, or why there is none.
    pub fn query(&mut self, id: &str, text: &str) -> Result<String, String> {
        self.record.line(format!("client sends {id}: {text}"));
        let line = format!("QUERY {id} {text}\r\n");
        let sent = self.output.write_all(line.as_bytes());
        let answer = sent.and_then(|()| self.read_answer()).map_err(|error| error.to_string());
        match &answer {
            Ok(answer) => self.record.line(format!("client gets {id}: {answer:?}")),
            Err(error) => self.record.line(format!("client gets no complete answer to {id}: {error}")),
        }
        answer
    }

    fn read_answer(&mut self) -> std::io::Result<String> {
        let mut answer = String::new();
        loop {
            let before = answer.len();
            if self.input.read_line(&mut answer)? == 0 {
                let error = format!("the connection ended after {answer:?}");
                return Err(std::io::Error::other(error));
            }
            let line = &answer[before..];
            if line.starts_with("READY") || !answer.contains("READY") && line.starts_with("ERR") && self.is_closed() {
                return Ok(answer);
            }
        }
    }

    fn is_closed(&mut self) -> bool {
        self.input.fill_buf().map_or(true, <[u8]>::is_empty)
    }
}
