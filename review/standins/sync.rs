//! LOST: an acknowledged commit of a service with `sync_replicas` is missing at the server that is
//! promoted.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Client;
use crate::record::Record;
use crate::{NotRun, Setup};

/// Number of writes before the primary crashes.
const WRITES: usize = 12;
/// How long the work of other callers fills the replica that holds the commits.
const FULL_TIME: Duration = Duration::from_millis(1_500);

const PRIMARY: usize = 0;
const HOLDER: usize = 1;
const DEAF: usize = 2;

pub fn run(record: Arc<Record>, folder: &Path) -> Result<Vec<String>, NotRun> {
    let zones = ["muscat-seeb", "muscat-ruwi", "muscat-amerat"];
    let work = |_: &str| Duration::from_millis(11);
    let setup = Setup::start(record, folder, &zones, 1, work)?;
    let (record, group) = (&setup.record, &setup.group);
    if setup.has_trouble {
        group.servers.lock().unwrap()[DEAF].is_deaf = true;
        record.line("replica i-cc03 receives nothing from now on");
    }
    let mut client = Client::connect(record, setup.instances[0].front(), "dispatch23")
        .map_err(|error| format!("session: {error}"))?;
    let mut acknowledged = Vec::new();
    for index in 0..WRITES {
        let id = format!("w{index:03}");
        let answer = client.query(&id, &format!("WRITE item{index} data{index}"))?;
        if answer.contains("DONE 7.") {
            acknowledged.push(id);
        }
        thread::sleep(Duration::from_millis(40));
    }
    if acknowledged.is_empty() {
        return Err("no write was acknowledged".to_owned());
    }
    if setup.has_trouble {
        {
            let mut servers = group.servers.lock().unwrap();
            servers[HOLDER].is_full = true;
        }
        record.line("replica i-bb02 is full from now on: it answers BUSY");
        group.crash(PRIMARY);
        let group = Arc::clone(group);
        let record = Arc::clone(record);
        thread::spawn(move || {
            thread::sleep(FULL_TIME);
            group.servers.lock().unwrap()[HOLDER].is_full = false;
            record.line("replica i-bb02 has room again");
        });
    }
    // A client that writes on reports the crash, as any traffic does.
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < Duration::from_secs(15) {
        number += 1;
        let id = format!("x{number:03}");
        let front = setup.instances[number % setup.instances.len()].front();
        if let Ok(mut session) = Client::connect(record, front, "dispatch23") {
            let _ = session.query(&id, &format!("WRITE other{number} data"));
        }
        thread::sleep(Duration::from_millis(150));
        let servers = group.servers.lock().unwrap();
        let has_led = servers[HOLDER].is_primary || servers[DEAF].is_primary;
        if has_led && start.elapsed() > Duration::from_secs(4) || !setup.has_trouble && number > 20 {
            break;
        }
    }
    let servers = group.servers.lock().unwrap();
    let leader = servers.iter().find(|server| server.is_alive && server.is_primary);
    let Some(leader) = leader else {
        // Waiting for the replica that holds the commits keeps the rule.
        record.line("no server was promoted");
        return Ok(Vec::new());
    };
    record.line(format!("server {} leads at the end", leader.id));
    let is_lost = |id: &&String| !leader.log.iter().any(|commit| commit.id == **id);
    let lost: Vec<_> = acknowledged.iter().filter(is_lost).collect();
    record.line(format!("acknowledged: {}, lost: {}", acknowledged.len(), lost.len()));
    let describe = |id: &String| format!("LOST: {id} was acknowledged, and {} lacks it", leader.id);
    Ok(lost.into_iter().map(describe).collect())
}
