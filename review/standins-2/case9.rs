//! An operator moves a database of an `own` route to another service and back while sessions write and
//! read, and the replicas are behind.

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
/// Usual replication lag, and the factor of the disruption.
const LAG: Duration = Duration::from_millis(20);
const LAG_FACTOR: u32 = 100;
const SESSIONS: usize = 4;
/// Changes to the other service and back, within the 7 s of the lag.
const ROUNDS: u64 = 2;

/// A statement of a session.
struct Asked {
    session: usize,
    id: String,
    text: String,
    sent: Duration,
    ended: Duration,
    end: End,
}

fn main() -> ExitCode {
    harness::run(run)
}

fn run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let (store, platform) = Store::start(Arc::clone(record))?;
    let settings = |service: &str| GroupSettings {
        service: service.to_owned(),
        slots: 5,
        queue: 40,
        max_conns: 33,
        work: Duration::from_millis(8),
        open: Duration::from_millis(12),
        sync_replicas: 0,
        lag: LAG,
        promote: Duration::from_millis(300),
        heartbeat: Duration::from_millis(1200),
    };
    let groups = [
        Group::start(settings("svc-a"), &ZONES, &store, record)?,
        Group::start(settings("svc-b"), &ZONES, &store, record)?,
    ];
    let services = [("svc-a", 33, 0), ("svc-b", 33, 0)];
    let put = |version: u64, service: &str| {
        let routes = [
            Route {
                database: "db",
                kind: "own",
                service,
                max_staleness_ms: 2500,
            },
            Route {
                database: "other",
                kind: "own",
                service: "svc-a",
                max_staleness_ms: 2500,
            },
        ];
        store.put("config", "main", config(version, &routes, &services));
        record.line(format_args!(
            "operator: version {version}: db is served by {service}"
        ));
    };
    put(1, "svc-a");
    let fleet = Arc::new(Fleet::start(&case.program, &ZONES, platform, record)?);
    if !wait_for(Duration::from_secs(15), || fleet.all_ready()) {
        return Ok(Verdict::Failed(
            "the processes did not become ready".to_owned(),
        ));
    }
    let asked = Arc::new(Mutex::new(Vec::new()));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for index in 0..SESSIONS {
        let (fleet, record) = (Arc::clone(&fleet), Arc::clone(record));
        let (asked, stopped) = (Arc::clone(&asked), Arc::clone(&stopped));
        clients.push(thread::spawn(move || {
            let machine = fleet.route(ZONES[index % ZONES.len()], 0);
            let Ok(mut session) = Session::open(machine.front(), "db", "key-1") else {
                return;
            };
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{index:04x}{number:012x}");
                // Each session has an item of its own.
                let text = match number % 3 {
                    1 => format!("WRITE own{index} data{number}"),
                    _ => format!("READ own{index}"),
                };
                let sent = record.now();
                let end = session.ask(&id, &text, DEADLINE);
                let ended = record.now();
                record.line(format_args!(
                    "client: session {index} at {}: {id} {text:?} sent at {:.4}: {end:?}",
                    machine.name,
                    sent.as_secs_f64()
                ));
                let is_over = matches!(end, End::Cut | End::Late);
                asked.lock().unwrap().push(Asked {
                    session: index,
                    id,
                    text,
                    sent,
                    ended,
                    end,
                });
                if is_over {
                    return;
                }
                thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    // The other database keeps writing to the first service.
    {
        let (fleet, stopped) = (Arc::clone(&fleet), Arc::clone(&stopped));
        clients.push(thread::spawn(move || {
            let Ok(mut session) = Session::open(fleet.route("a", 0).front(), "other", "key-1")
            else {
                return;
            };
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                number += 1;
                session.ask(
                    &format!("ffff{number:012x}"),
                    &format!("WRITE other data{number}"),
                    DEADLINE,
                );
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    if case.trouble {
        for replica in ["i-svc-a-2", "i-svc-a-3"] {
            groups[0].set_lag(replica, LAG * LAG_FACTOR);
        }
        thread::sleep(Duration::from_millis(2200));
        for round in 0..ROUNDS {
            put(2 + round * 2, "svc-b");
            thread::sleep(Duration::from_millis(900));
            put(3 + round * 2, "svc-a");
            thread::sleep(Duration::from_millis(1400));
        }
        for replica in ["i-svc-a-2", "i-svc-a-3"] {
            groups[0].set_lag(replica, LAG);
        }
    } else {
        thread::sleep(Duration::from_secs(10));
    }
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let verdict = judge(&groups, &asked.lock().unwrap());
    record.flush();
    fleet.append_logs(&case.record_path);
    Ok(verdict)
}

/// Returns whether a read ran on a log that lacks a commit which was acknowledged to its session before.
fn judge(groups: &[Arc<Group>], asked: &[Asked]) -> Verdict {
    let mut broken = Vec::new();
    for group in groups {
        let runs = group.runs.lock().unwrap();
        let runs: HashMap<_, _> = runs.iter().map(|run| (run.request.as_str(), run)).collect();
        for read in asked.iter().filter(|read| read.text.starts_with("READ")) {
            let (Some(run), End::Done(rows)) = (runs.get(read.id.as_str()), &read.end) else {
                continue;
            };
            let commits = asked.iter().filter(|write| {
                write.session == read.session
                    && matches!(write.end, End::Done(_))
                    && write.ended < read.sent
            });
            let newest = commits.filter_map(|write| {
                let entry = runs.get(write.id.as_str())?.committed.as_ref()?;
                Some((write, entry))
            });
            let Some((write, entry)) = newest.max_by_key(|(_, entry)| entry.number) else {
                continue;
            };
            if run.position < (entry.term, entry.number) {
                broken.push(format!(
                    "session {}: {} {:?} sent at {:.4} ran at {} ({}.{} applied) and returned {rows:?}; \
                     its {:?} had been committed there as {}.{} and acknowledged at {:.4}",
                    read.session,
                    read.id,
                    read.text,
                    read.sent.as_secs_f64(),
                    run.server,
                    run.position.0,
                    run.position.1,
                    write.text,
                    entry.term,
                    entry.number,
                    write.ended.as_secs_f64()
                ));
            }
        }
    }
    match broken.first() {
        None if asked.len() < 20 => Verdict::Failed("too few statements were answered".to_owned()),
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!("STALE {} times; first: {first}", broken.len())),
    }
}
