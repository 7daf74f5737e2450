//! STALE: after a change of the primary, a session on an `own` route reads from a replica that
//! lacks the session's own commit.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Client;
use crate::record::Record;
use crate::{NotRun, Setup};

/// How much later the replicas apply: 150 times the usual 20 ms.
const LAG: Duration = Duration::from_secs(3);
const PROMOTE_TIME: Duration = Duration::from_millis(300);
const READS: usize = 12;

pub fn run(record: Arc<Record>, folder: &Path) -> Result<Vec<String>, NotRun> {
    let zones = ["muscat-seeb", "muscat-ruwi", "muscat-amerat"];
    let work = |_: &str| Duration::from_millis(14);
    let setup = Setup::start_with(record, folder, &zones, 0, work, PROMOTE_TIME)?;
    let (record, group) = (&setup.record, &setup.group);
    // Without a server in its own zone after the crash, it uses both replicas.
    let tested = 0;
    record.line(format!("the clients use {}", setup.instances[tested].name));
    let front = setup.instances[tested].front();
    let connect = |database| Client::connect(record, front, database).map_err(|error| error.to_string());
    let mut session = connect("stock32")?;
    session.query("w0", "WRITE stock old")?;
    thread::sleep(Duration::from_millis(300));
    if setup.has_trouble {
        let mut servers = group.servers.lock().unwrap();
        servers.iter_mut().for_each(|server| server.lag = LAG);
        record.line("the replicas apply 3 s late from now on");
    }
    thread::sleep(Duration::from_millis(500));
    let answer = session.query("w1", "WRITE stock new")?;
    if !answer.contains("DONE 7.") {
        return Err("the write was not acknowledged".to_owned());
    }
    let position = position_of(&answer).ok_or("no position")?;
    if setup.has_trouble {
        thread::sleep(Duration::from_millis(50));
        group.crash(0);
        // Other traffic reports the crash.
        let start = Instant::now();
        let mut number = 0;
        while group.ordered_at.lock().unwrap().is_none() {
            if start.elapsed() > Duration::from_secs(5) {
                return Err("no promotion was ordered".to_owned());
            }
            number += 1;
            // The tested instance sees the crash as well, and then serves reads of replicas only.
            let front = setup.instances[number % 3].front();
            let database = if number % 3 == tested && number > 3 { "stock32" } else { "dispatch23" };
            let record = Arc::clone(record);
            thread::spawn(move || {
                if let Ok(mut client) = Client::connect(&record, front, database) {
                    let _ = client.query(&format!("x{number}"), "READ other");
                }
            });
            thread::sleep(Duration::from_millis(60));
        }
        record.line("the answers to six reads are held up on the way to the instance");
        let readers: Vec<_> = (0..6)
            .map(|number| {
                let record = Arc::clone(record);
                thread::spawn(move || {
                    if let Ok(mut client) = Client::connect(&record, front, "stock32") {
                        let _ = client.query(&format!("held{number}"), "READ other");
                    }
                })
            })
            .collect();
        for reader in readers {
            let _ = reader.join();
        }
    }
    let mut ids = Vec::new();
    for number in 0..READS {
        let id = format!("r{number}");
        session.query(&id, "READ stock")?;
        ids.push(id);
        thread::sleep(Duration::from_millis(20));
    }
    let servers = group.servers.lock().unwrap();
    let leader = servers.iter().find(|server| server.is_alive && server.is_primary);
    let leader = leader.ok_or("no server leads")?;
    if !leader.log.iter().any(|commit| (commit.term, commit.number) == position) {
        return Err("the promotion rolled the commit back".to_owned());
    }
    let reads = group.reads.lock().unwrap();
    let is_stale = |(id, _, at): &&(String, String, (u64, u64))| ids.contains(id) && *at < position;
    let describe = |(id, server, at): &(String, String, (u64, u64))| {
        format!(
            "STALE: {id} ran at {server} up to {}.{}, which lacks the session's own commit {}.{}",
            at.0, at.1, position.0, position.1
        )
    };
    Ok(reads.iter().filter(is_stale).map(describe).collect())
}

/// Returns the position in the last line of an answer.
fn position_of(answer: &str) -> Option<(u64, u64)> {
    let (term, number) = answer.trim_end().rsplit(' ').next()?.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}
