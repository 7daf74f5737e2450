//! LOST: an instance that was asked to stop takes a request, passes it on to a server and ends
//! before the server has answered.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Client, Instance};
use crate::record::Record;
use crate::{NotRun, Setup};

/// Pause between the signals of two machines that are stopped in turn.
const ROLL_GAP: Duration = Duration::from_millis(1_300);
/// Pause between two clients of the zone.
const ARRIVAL_GAP: Duration = Duration::from_millis(130);
/// Work of every second read, below the timeout of the route, 3,000 ms.
const LONG_WORK: Duration = Duration::from_millis(1_800);
/// Work of the other statements.
const SHORT_WORK: Duration = Duration::from_millis(55);
/// Statements of a client in a transaction, and the pause between them.
const STATEMENTS: usize = 10;
const STATEMENT_GAP: Duration = Duration::from_millis(700);
const GRACE: Duration = Duration::from_secs(6);
/// Time before a machine is started again after its process has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Requests that were sent within this time after the signal don't count if the server is at work
/// in the last sixth of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);

/// The platform's view of which nodes of the zone are in rotation.
struct Rotation {
    misses: Vec<u32>,
}

impl Rotation {
    fn probe(&mut self, instances: &[Instance]) {
        for (index, instance) in instances.iter().enumerate() {
            self.misses[index] = if instance.is_ready() { 0 } else { self.misses[index] + 1 };
        }
    }

    /// Returns the nodes that get new connections: those in rotation, or all if fewer than half
    /// of them are in rotation. Without any in rotation, other zones would get the connections.
    fn used(&self) -> Vec<usize> {
        let all = 0..self.misses.len();
        let ready: Vec<_> = all.clone().filter(|index| self.misses[*index] < 2).collect();
        if !ready.is_empty() && ready.len() * 2 < self.misses.len() { all.collect() } else { ready }
    }
}

/// What became of a client's read.
struct Sent {
    id: String,
    node: usize,
    at: Instant,
    ended: Instant,
    error: Option<String>,
}

pub fn run(record: Arc<Record>, folder: &Path) -> Result<Vec<String>, NotRun> {
    let work = |item: &str| if item.starts_with("report") { LONG_WORK } else { SHORT_WORK };
    let mut setup = Setup::start(record, folder, &["muscat-seeb"; 3], 0, work)?;
    let (record, group) = (Arc::clone(&setup.record), Arc::clone(&setup.group));
    let mut rotation = Rotation { misses: vec![0; 3] };
    let start = Instant::now();
    let warm_up = Duration::from_millis(3_050);
    let mut signals: Vec<Option<Instant>> = vec![None; 3];
    let mut ended: Vec<Option<Instant>> = vec![None; 3];
    let (mut next_probe, mut next_client) = (Duration::ZERO, Duration::ZERO);
    let mut clients = Vec::new();
    let mut has_transactions = false;
    while start.elapsed() < warm_up + ROLL_GAP + GRACE + Duration::from_secs(1) {
        let elapsed = start.elapsed();
        for index in 0..2 {
            let due = elapsed >= warm_up + ROLL_GAP * index as u32;
            if setup.has_trouble && due && signals[index].is_none() {
                setup.instances[index].signal("TERM");
                signals[index] = Some(Instant::now());
            }
        }
        if !has_transactions && elapsed + STATEMENT_GAP >= warm_up {
            has_transactions = true;
            for instance in &setup.instances {
                let (front, record) = (instance.front(), Arc::clone(&record));
                thread::spawn(move || run_transaction(&record, front));
            }
        }
        if elapsed >= next_probe {
            next_probe += Duration::from_secs(1);
            rotation.probe(&setup.instances);
            record.line(format!("probe misses in a row: {:?}", rotation.misses));
        }
        if elapsed >= next_client {
            let number = clients.len();
            next_client += ARRIVAL_GAP;
            let used = rotation.used();
            if used.is_empty() {
                return Err("no node of the zone is used".to_owned());
            }
            // As good as a hash, and the long reads reach all nodes.
            let node = used[number / 2 % used.len()];
            let (front, record) = (setup.instances[node].front(), Arc::clone(&record));
            let name = setup.instances[node].name.clone();
            clients.push(thread::spawn(move || read(&record, (node, &name), front, number)));
        }
        for (index, instance) in setup.instances.iter_mut().enumerate() {
            if ended[index].is_none() && instance.has_ended() {
                ended[index] = Some(Instant::now());
            } else if ended[index].is_some_and(|at| at.elapsed() > RESTART_DELAY) && instance.child.is_none() {
                instance.start();
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let results = clients.into_iter().filter_map(|client| client.join().ok());
    let results: Vec<Sent> = results.flatten().collect();
    record.line(format!("requests sent: {}", results.len()));
    let describe = |sent: &Sent| {
        let error = sent.error.as_ref()?;
        let signalled = signals[sent.node]?;
        let after = sent.at.checked_duration_since(signalled)?;
        let broke_off = sent.ended.checked_duration_since(signalled)?;
        let has_run = group.runs.lock().unwrap().contains(&sent.id);
        let is_judged = has_run && after > EXCUSED && broke_off < GRACE + Duration::from_secs(1);
        is_judged.then(|| {
            format!(
                "LOST: {} was sent {} ms after the SIGTERM of its machine and passed on to a server, and \
                 the connection ended {} ms after the SIGTERM: {error}",
                sent.id,
                after.as_millis(),
                broke_off.as_millis()
            )
        })
    };
    Ok(results.iter().filter_map(describe).collect())
}

/// Reads with a new session. Returns nothing for a client whose session didn't start.
fn read(
    record: &Arc<Record>,
    (node, name): (usize, &str),
    front: SocketAddr,
    number: usize,
) -> Option<Sent> {
    let id = format!("r{number:03}");
    record.line(format!("the platform sends the client of {id} to {name}"));
    let mut client = match Client::connect(record, front, "route270") {
        Ok(client) => client,
        Err(error) => {
            record.line(format!("the client of {id} is not taken: {error}"));
            return None;
        }
    };
    let at = Instant::now();
    let item = if number % 2 == 0 { "report" } else { "item" };
    let error = client.query(&id, &format!("READ {item}{number}")).err();
    Some(Sent { id, node, at, ended: Instant::now(), error })
}

/// Runs a transaction with pauses until it ends or is ended.
fn run_transaction(record: &Arc<Record>, front: SocketAddr) {
    let Ok(mut client) = Client::connect(record, front, "dispatch23") else { return };
    let mut name = 0;
    let mut next = |text: &str| {
        name += 1;
        client.query(&format!("t{}-{name}", front.ip()), text)
    };
    let mut is_open = next("BEGIN").is_ok();
    for _ in 0..STATEMENTS {
        is_open = is_open && next("READ booking").is_ok_and(|answer| answer.contains("READY T"));
        if !is_open {
            break;
        }
        thread::sleep(STATEMENT_GAP);
    }
    let _ = next("ROLLBACK");
}
