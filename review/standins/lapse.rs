//! ONE: a leader that the store turned away for 9 s leads on, and replaces a primary that other
//! instances still use under leases which it granted before.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::Client;
use crate::record::Record;
use crate::{NotRun, Setup};

const PROMOTE_TIME: Duration = Duration::from_millis(300);
/// Outages of the leader's path to the store, how long they last, and the time between them.
const OUTAGES: usize = 5;
const OUTAGE: Duration = Duration::from_secs(9);
const PAUSE: Duration = Duration::from_millis(5_500);
/// When the primary reports that it leaves, after the start of an outage.
const RELEASE_AFTER: Duration = Duration::from_millis(6_500);
/// Sessions that write at each instance, and the pause after each write.
const SESSIONS: usize = 4;
const WRITE_GAP: Duration = Duration::from_millis(90);

pub fn run(record: Arc<Record>, folder: &Path) -> Result<Vec<String>, NotRun> {
    let zones = ["muscat-seeb", "muscat-ruwi", "muscat-amerat"];
    let work = |_: &str| Duration::from_millis(4);
    let setup = Setup::start_with(record, folder, &zones, 0, work, PROMOTE_TIME)?;
    let (record, group) = (&setup.record, &setup.group);
    let has_ended = Arc::new(AtomicBool::new(false));
    let is_writing = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut writers = Vec::new();
    for (index, instance) in setup.instances.iter().enumerate() {
        for session in 0..SESSIONS {
            let (front, record) = (instance.front(), Arc::clone(record));
            let (has_ended, acknowledged) = (Arc::clone(&has_ended), Arc::clone(&acknowledged));
            let is_writing = Arc::clone(&is_writing);
            writers.push(thread::spawn(move || {
                let mut number = 0;
                while !has_ended.load(Ordering::SeqCst) {
                    let Ok(mut client) = Client::connect(&record, front, "dispatch23") else {
                        thread::sleep(WRITE_GAP);
                        continue;
                    };
                    while !has_ended.load(Ordering::SeqCst) {
                        if !is_writing.load(Ordering::SeqCst) {
                            thread::sleep(WRITE_GAP);
                            continue;
                        }
                        number += 1;
                        let id = format!("w{index}-{session}-{number}");
                        match client.query(&id, &format!("WRITE item{index} data{number}")) {
                            Ok(answer) if answer.contains("DONE 7.") => {
                                acknowledged.lock().unwrap().insert(id);
                            }
                            Ok(_) => {}
                            Err(_) => break,
                        }
                        thread::sleep(WRITE_GAP);
                    }
                }
            }));
        }
    }
    for _ in 0..OUTAGES {
        let holds = |name: &str| format!("\"holder\":\"{name}\"");
        let is_leader = |name: &str| setup.store.holds("mustardhinge-records", "duty", &holds(name));
        let leader = setup.instances.iter().position(|instance| is_leader(&instance.name));
        let leader = leader.ok_or("no instance leads")?;
        if setup.has_trouble {
            record.line(format!("the store turns {} away", setup.instances[leader].name));
            setup.away[leader].store(true, Ordering::SeqCst);
        }
        thread::sleep(RELEASE_AFTER);
        is_writing.store(true, Ordering::SeqCst);
        let primary = {
            let servers = group.servers.lock().unwrap();
            let primaries = servers.iter().enumerate().filter(|(_, server)| server.is_primary);
            primaries.max_by_key(|(_, server)| server.term).map(|(index, _)| index)
        };
        let primary = primary.ok_or("no primary")?;
        group.drain(primary);
        thread::sleep(OUTAGE - RELEASE_AFTER);
        setup.away[leader].store(false, Ordering::SeqCst);
        if setup.has_trouble {
            record.line("the store serves all instances again");
        }
        thread::sleep(PAUSE / 2);
        is_writing.store(false, Ordering::SeqCst);
        thread::sleep(PAUSE / 2);
        // More than `drain_ms` after its report.
        group.restart(primary);
    }
    has_ended.store(true, Ordering::SeqCst);
    for writer in writers {
        let _ = writer.join();
    }
    let (leaders, commits) = (group.leaders.lock().unwrap(), group.commits.lock().unwrap());
    let acknowledged = acknowledged.lock().unwrap();
    record.line(format!("promotions: {}, acknowledged writes: {}", leaders.len(), acknowledged.len()));
    let mut broken = Vec::new();
    for (id, (at, server)) in commits.iter().filter(|(id, _)| acknowledged.contains(*id)) {
        let newest = leaders.iter().rev().find(|(since, _)| since < at);
        if let Some((since, leader)) = newest.filter(|(_, leader)| leader != server) {
            broken.push(format!(
                "ONE: {id} was committed at {server} {} ms after {leader} had taken over, and acknowledged",
                at.duration_since(*since).as_millis()
            ));
        }
    }
    Ok(broken)
}
