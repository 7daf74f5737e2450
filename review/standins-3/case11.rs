//! A service with `sync_replicas` 1: a replica is lost for good, and later the other one starts again under
//! its id without its log. The primary runs and answers all the time.

mod client;
mod fleet;
mod harness;
mod json;
mod record;
mod servers;
mod store;

use std::collections::HashMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use client::{End, Session};
use fleet::{Fleet, Route, config};
use harness::{Case, Verdict};
use servers::{Group, GroupSettings, wait_for};
use store::Store;

const ZONES: [&str; 3] = ["a", "b", "c"];
const DEADLINE: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    harness::run(run)
}

fn run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let (store, platform) = Store::start(Arc::clone(record))?;
    let settings = GroupSettings {
        service: "svc".to_owned(),
        slots: 5,
        queue: 40,
        max_conns: 33,
        work: Duration::from_millis(10),
        open: Duration::from_millis(12),
        sync_replicas: 1,
        lag: Duration::from_millis(8),
        promote: Duration::from_millis(600),
        heartbeat: Duration::from_millis(1200),
    };
    let group = Group::start(settings, &ZONES, &store, record)?;
    let promoting = Arc::clone(&group);
    store.on_promote(Box::new(move |call| {
        Some(if promoting.order_promotion(&call.id) {
            200
        } else {
            409
        })
    }));
    let routes = [Route {
        database: "db",
        kind: "primary",
        service: "svc",
        max_staleness_ms: 0,
    }];
    store.put("config", "main", config(1, &routes, &[("svc", 33, 1)]));
    let fleet = Arc::new(Fleet::start(&case.program, &ZONES, platform, record)?);
    if !wait_for(Duration::from_secs(15), || fleet.all_ready()) {
        return Ok(Verdict::Failed(
            "the processes did not become ready".to_owned(),
        ));
    }
    let acknowledged = Arc::new(Mutex::new(HashMap::new()));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (place, zone) in ZONES.iter().enumerate() {
        let (fleet, record) = (Arc::clone(&fleet), Arc::clone(record));
        let (acknowledged, stopped) = (Arc::clone(&acknowledged), Arc::clone(&stopped));
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                let machine = fleet.route(zone, place);
                let Ok(mut session) = Session::open(machine.front(), "db", "key-1") else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                while !stopped.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{place:04x}{number:012x}");
                    let text = format!("WRITE item{} data{number}", number % 20);
                    let end = session.ask(&id, &text, DEADLINE);
                    let now = record.now();
                    record.line(format_args!(
                        "client: {id} {text:?} to {}: {end:?}",
                        machine.name
                    ));
                    match end {
                        End::Done(_) => {
                            acknowledged.lock().unwrap().insert(id, now);
                        }
                        End::Error(_) => thread::sleep(Duration::from_millis(150)),
                        End::Cut | End::Late => break,
                    }
                    thread::sleep(Duration::from_millis(15));
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    if case.trouble {
        let began = record.now();
        let until = |time: Duration| {
            thread::sleep((began + time).saturating_sub(record.now()));
        };
        group.crash("i-svc-3");
        until(Duration::from_millis(9_000));
        group.crash("i-svc-2");
        until(Duration::from_millis(9_300));
        group.restart_empty("i-svc-2")?;
    }
    thread::sleep(Duration::from_secs(12));
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let verdict = judge(&group, &acknowledged.lock().unwrap());
    record.flush();
    fleet.append_logs(&case.record_path);
    Ok(verdict)
}

/// Returns whether an acknowledged commit isn't in the log of a server that was promoted later.
fn judge(group: &Group, acknowledged: &HashMap<String, Duration>) -> Verdict {
    if acknowledged.is_empty() {
        return Verdict::Failed("no write was acknowledged".to_owned());
    }
    for promotion in group.promotions.lock().unwrap().iter() {
        let held: HashMap<_, _> = promotion
            .log
            .iter()
            .map(|entry| (entry.commit.as_str(), entry))
            .collect();
        let mut lost: Vec<_> = acknowledged
            .iter()
            .filter(|(id, at)| **at < promotion.at && !held.contains_key(id.as_str()))
            .collect();
        lost.sort_by_key(|(_, at)| **at);
        if let (Some((first, at)), Some((last, last_at))) = (lost.first(), lost.last()) {
            return Verdict::Broken(format!(
                "LOST: {} acknowledged commits aren't in the log of {}, promoted to term {} at {:.4}; \
                 first {first}, acknowledged at {:.4}, last {last}, at {:.4}",
                lost.len(),
                promotion.id,
                promotion.term,
                promotion.at.as_secs_f64(),
                at.as_secs_f64(),
                last_at.as_secs_f64()
            ));
        }
    }
    Verdict::Held
}
