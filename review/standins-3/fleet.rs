//! The system's own processes, started with the command of the deploy file, and the platform's entry
//! in front of them.

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::{Json, number, object, text};
use crate::record::Record;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const FRONT_PORT: u16 = 8465;
const READY_PORT: u16 = 8460;
const CONTROL_PORT: u16 = 8462;
const METRICS_PORT: u16 = 9464;
const PEER_PORT: u16 = 7560;
/// `grace_s` of the settings: time from SIGTERM until SIGKILL.
pub const GRACE: Duration = Duration::from_secs(6);

/// One machine with its process.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the platform's entry sends new connections to it.
    in_rotation: AtomicBool,
    misses: AtomicU64,
}

pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    pub instances: Vec<Arc<Instance>>,
    record: Arc<Record>,
    stopped: Arc<AtomicBool>,
}

impl Instance {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Returns whether a line of the process's log has this text.
    pub fn has_logged(&self, text: &str) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text))
    }

    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns whether the ready probe got 200.
    fn probe(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let limit = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let request = "GET /mustardhinge/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
    }
}

/// Returns the first three parts of a loopback network on which `count` machines have free ports.
fn free_network(count: usize) -> Option<[u8; 3]> {
    let seed = std::process::id() as usize;
    (0..500).map(|step| seed * 7 + step).find_map(|index| {
        let network = [127, 20 + (index / 250 % 200) as u8, (index % 250) as u8];
        let is_free = (1..=count).all(|host| {
            let ip = IpAddr::from([network[0], network[1], network[2], host as u8]);
            let ports = [
                FRONT_PORT,
                READY_PORT,
                CONTROL_PORT,
                METRICS_PORT,
                PEER_PORT,
            ];
            ports
                .iter()
                .all(|port| TcpListener::bind(SocketAddr::new(ip, *port)).is_ok())
        });
        is_free.then_some(network)
    })
}

impl Fleet {
    /// Starts one process for each zone in `zones`.
    pub fn start(
        program: &Path,
        zones: &[&str],
        platform: SocketAddr,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("mustardhinge-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let network = free_network(zones.len())
            .ok_or_else(|| std::io::Error::other("no free loopback addresses"))?;
        let ips: Vec<IpAddr> = (1..=zones.len())
            .map(|host| IpAddr::from([network[0], network[1], network[2], host as u8]))
            .collect();
        let mut instances = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-{}", index + 1);
            let settings = folder.join(format!("{name}.toml"));
            let seeds: Vec<_> = ips
                .iter()
                .take(3)
                .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
                .collect();
            let mut known: Vec<&str> = zones.to_vec();
            known.sort_unstable();
            known.dedup();
            let regions: String = known
                .iter()
                .map(|zone| format!("{zone} = \"region\"\n"))
                .collect();
            let ip = ips[index];
            fs::write(
                &settings,
                format!(
                    "node_name = \"{name}\"\nrole = \"resident\"\nmachine_class = \"front\"\n\
                     serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
                     region = \"region\"\nport_range = [{PEER_PORT},{}]\nseed_addrs = [{}]\n\
                     bootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\n\
                     entry = \"vip\"\nheartbeat_ms = 1200\n\
                     contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\
                     \"tenants\",\"quota\",\"platform\"]\n[zones]\n{regions}\
                     [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
                     control = \"{ip}:{CONTROL_PORT}\"\n\
                     [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4300\n\
                     link_mbps = 1000.0\ndisk_mb = 0\n\
                     [fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
                     [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstable_window_ms = 4000\n\
                     ack_ms = 5000\ncatchup_s = 4\ndrain_ms = 7000\ngrace_s = {}\n\
                     loss_slack_ms = 200\nconfig_apply_ms = 3000\nback_ms = 250\nouter_ms = 12000\n\
                     strict_revoke = false\nrevoke_ms = 5000\nquota_window_s = 5\n\
                     quota_overshoot = 0.1\nquota_slack = 20\nrecovery_s = 12\n\
                     require_fencing = false\nthaw_slack_ms = 300\n\
                     [platform]\naddress = \"{platform}\"\nform = \"objects\"\nwrites_per_s = 400\n\
                     reads_per_s = 2000\nretention_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n\
                     [cloud_api]\naddress = \"{platform}\"\nrate_per_s = 50.0\n\
                     duties = [\"promote\"]\nduty_per_s = 50.0\n",
                    PEER_PORT + 15,
                    seeds.join(","),
                    GRACE.as_secs(),
                ),
            )?;
            instances.push(Arc::new(Instance {
                log: folder.join(format!("{name}.log")),
                name,
                zone: (*zone).to_owned(),
                ip,
                settings,
                child: Mutex::new(None),
                in_rotation: AtomicBool::new(false),
                misses: AtomicU64::new(2),
            }));
        }
        let fleet = Self {
            program: program.to_owned(),
            folder,
            instances,
            record: Arc::clone(record),
            stopped: Arc::default(),
        };
        for instance in &fleet.instances {
            fleet.spawn(instance)?;
            let (instance, stopped) = (Arc::clone(instance), Arc::clone(&fleet.stopped));
            let record = Arc::clone(record);
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    watch_rotation(&instance, &record);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        Ok(fleet)
    }

    pub fn spawn(&self, instance: &Instance) -> std::io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&instance.log)?;
        let mut command = Command::new(&self.program);
        // SAFETY: the call changes nothing but the new process, and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env("MUSTARDHINGE_CONFIG", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *instance.child.lock().unwrap() = Some(child);
        self.record
            .line(format_args!("platform: {} is started", instance.name));
        Ok(())
    }

    pub fn signal(&self, instance: &Instance, signal: i32) {
        let child = instance.child.lock().unwrap();
        if let Some(child) = child.as_ref() {
            self.record.line(format_args!(
                "platform: {} gets signal {signal}",
                instance.name
            ));
            // SAFETY: sends a signal to a process that this program started and has not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of a process, for `limit` at most. Returns whether it ended.
    pub fn await_end(&self, instance: &Instance, limit: Duration) -> bool {
        let ended = crate::servers::wait_for(limit, || !instance.is_running());
        if ended {
            self.record.line(format_args!(
                "platform: the process of {} has ended",
                instance.name
            ));
        }
        ended
    }

    /// Returns the machine to which the platform's entry sends a new connection of a client in `zone`:
    /// one of its zone that is in rotation; any of its zone if fewer than half of them are.
    pub fn route(&self, zone: &str, hash: usize) -> &Arc<Instance> {
        let local: Vec<_> = self
            .instances
            .iter()
            .filter(|instance| instance.zone == zone)
            .collect();
        let ready: Vec<_> = local
            .iter()
            .filter(|instance| instance.in_rotation.load(Ordering::Relaxed))
            .copied()
            .collect();
        let used = if ready.len() * 2 < local.len() {
            local
        } else {
            ready
        };
        used[hash % used.len()]
    }

    pub fn all_ready(&self) -> bool {
        self.instances
            .iter()
            .all(|instance| instance.in_rotation.load(Ordering::Relaxed))
    }

    /// Copies the processes' logs behind the record.
    pub fn append_logs(&self, path: &Path) {
        let Ok(mut output) = OpenOptions::new().append(true).open(path) else {
            return;
        };
        for instance in &self.instances {
            let mut text = String::new();
            if let Ok(mut log) = File::open(&instance.log) {
                let _ = log.read_to_string(&mut text);
            }
            let kept = text.lines().filter(|line| {
                !["request answered", "request refused", "target listed"]
                    .iter()
                    .any(|title| line.contains(title))
            });
            let _ = writeln!(output, "\nlog of {}:", instance.name);
            for line in kept {
                let _ = writeln!(output, "{line}");
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for instance in &self.instances {
            if let Some(mut child) = instance.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn watch_rotation(instance: &Instance, record: &Record) {
    let misses = if instance.probe() {
        0
    } else {
        instance.misses.load(Ordering::Relaxed) + 1
    };
    instance.misses.store(misses, Ordering::Relaxed);
    let is_in = misses == 0 || misses < 2 && instance.in_rotation.load(Ordering::Relaxed);
    if instance.in_rotation.swap(is_in, Ordering::Relaxed) != is_in {
        record.line(format_args!(
            "platform: {} in rotation: {is_in}",
            instance.name
        ));
    }
}

/// One route of a configuration.
pub struct Route<'a> {
    pub database: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub max_staleness_ms: u64,
}

/// Returns a configuration with one tenant, `tenant`, with the key `key-1`.
pub fn config(version: u64, routes: &[Route<'_>], services: &[(&str, usize, usize)]) -> Json {
    let routes = routes.iter().enumerate().map(|(index, route)| {
        object(vec![
            ("name", text(format!("r-{index}"))),
            ("database", text(route.database)),
            ("path_prefix", text("/")),
            ("route_kind", text(route.kind)),
            ("timeout_ms", number(1000)),
            ("latency_goal_ms", number(400)),
            ("priority", number(1)),
            ("backend", text(route.service)),
            ("max_attempts", number(2)),
            ("max_staleness_ms", number(route.max_staleness_ms)),
            ("public", Json::Bool(false)),
        ])
    });
    let services = services.iter().map(|(name, max_conns, sync)| {
        object(vec![
            ("name", text(*name)),
            ("health_path", text("/health")),
            ("max_conns", number(*max_conns as u64)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
            ("sync_replicas", number(*sync as u64)),
        ])
    });
    object(vec![
        ("version", number(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services.collect())),
        ("limits", object(vec![("tx_idle_ms", number(3000))])),
        (
            "tenants",
            Json::List(vec![object(vec![
                ("name", text("tenant")),
                ("api_keys", Json::List(vec![text("key-1")])),
                ("priority", number(1)),
                ("rate_per_s", number(2000)),
                ("burst", number(2000)),
            ])]),
        ),
    ])
}
