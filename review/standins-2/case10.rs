//! A planned stop: machines get SIGTERM in turn while clients go on opening short sessions.

mod client;
mod fleet;
mod harness;
mod json;
mod record;
mod servers;
mod store;

use std::collections::HashMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use client::{End, Session};
use fleet::{Fleet, GRACE, Route, SIGKILL, SIGTERM, config};
use harness::{Case, Verdict};
use servers::{Group, GroupSettings, wait_for};
use store::Store;

const ZONES: [&str; 3] = ["a", "b", "c"];
const CLIENTS_PER_ZONE: usize = 2;
const STOPS: usize = 8;
const DEADLINE: Duration = Duration::from_secs(4);

/// A request of a client, with the machine that took it.
struct Asked {
    id: String,
    text: String,
    machine: String,
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
    let settings = GroupSettings {
        service: "svc".to_owned(),
        slots: 5,
        queue: 40,
        max_conns: 33,
        work: Duration::from_millis(55),
        open: Duration::from_millis(12),
        sync_replicas: 0,
        lag: Duration::from_millis(8),
        promote: Duration::from_millis(600),
        heartbeat: Duration::from_millis(1200),
    };
    let group = Group::start(settings, &ZONES, &store, record)?;
    let routes = [Route {
        database: "db",
        kind: "own",
        service: "svc",
        max_staleness_ms: 2500,
    }];
    store.put("config", "main", config(1, &routes, &[("svc", 33, 0)]));
    let fleet = Arc::new(Fleet::start(&case.program, &ZONES, platform, record)?);
    if !wait_for(Duration::from_secs(15), || fleet.all_ready()) {
        return Ok(Verdict::Failed(
            "the processes did not become ready".to_owned(),
        ));
    }
    let asked = Arc::new(Mutex::new(Vec::new()));
    let stopped = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (place, zone) in ZONES.iter().enumerate() {
        for index in 0..CLIENTS_PER_ZONE {
            let (fleet, record) = (Arc::clone(&fleet), Arc::clone(record));
            let (asked, stopped) = (Arc::clone(&asked), Arc::clone(&stopped));
            let numbers = Arc::clone(&numbers);
            let pause = Duration::from_millis(31 + 9 * (place as u64) + 13 * (index as u64));
            clients.push(thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    thread::sleep(pause);
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{number:016x}");
                    let text = match number % 4 {
                        0 => format!("WRITE item{} data{number}", number % 50),
                        _ => format!("READ item{}", number % 50),
                    };
                    let machine = fleet.route(zone, number as usize);
                    // A session that isn't started is retried at other nodes; no request is lost.
                    let Ok(mut session) = Session::open(machine.front(), "db", "key-1") else {
                        continue;
                    };
                    let sent = record.now();
                    if !session.send(&id, &text) {
                        continue;
                    }
                    let end = session.receive(DEADLINE);
                    let ended = record.now();
                    record.line(format_args!(
                        "client: {id} {text:?} sent to {} at {:.4}: {end:?}",
                        machine.name,
                        sent.as_secs_f64()
                    ));
                    let machine = machine.name.clone();
                    asked.lock().unwrap().push(Asked {
                        id,
                        text,
                        machine,
                        sent,
                        ended,
                        end,
                    });
                    session.bye();
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(5));
    let mut stops: Vec<(String, Duration)> = Vec::new();
    if case.trouble {
        for index in 0..STOPS {
            let machine = &fleet.instances[index % fleet.instances.len()];
            let at = record.now();
            fleet.signal(machine, SIGTERM);
            stops.push((machine.name.clone(), at));
            if !fleet.await_end(machine, GRACE) {
                fleet.signal(machine, SIGKILL);
                fleet.await_end(machine, Duration::from_secs(1));
            }
            thread::sleep(Duration::from_millis(1500));
            fleet.spawn(machine)?;
            wait_for(Duration::from_secs(6), || fleet.all_ready());
            thread::sleep(Duration::from_millis(500));
        }
    } else {
        thread::sleep(Duration::from_secs(30));
    }
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(300));
    let verdict = judge(&group, &asked.lock().unwrap(), &stops);
    record.flush();
    fleet.append_logs(&case.record_path);
    Ok(verdict)
}

/// Returns whether a planned stop cut a request that had been passed on to a server.
fn judge(group: &Group, asked: &[Asked], stops: &[(String, Duration)]) -> Verdict {
    let runs = group.runs.lock().unwrap();
    let runs: HashMap<_, _> = runs.iter().map(|run| (run.request.as_str(), run)).collect();
    let mut broken = Vec::new();
    for request in asked.iter().filter(|request| request.end == End::Cut) {
        let Some(run) = runs.get(request.id.as_str()) else {
            continue;
        };
        let stop = stops.iter().find(|(machine, at)| {
            let until = *at + GRACE + Duration::from_secs(1);
            *machine == request.machine && *at < request.ended && request.ended < until
        });
        let after = match stop {
            Some((_, at)) => format!(
                "{:.3} s after its SIGTERM",
                (request.sent.saturating_sub(*at)).as_secs_f64()
            ),
            None => "without a planned stop".to_owned(),
        };
        let commit = run.committed.as_ref().map_or(String::new(), |entry| {
            format!(", which committed it as {}.{}", entry.term, entry.number)
        });
        broken.push(format!(
            "{} {:?}, sent to {} at {:.4}, {after}, run by {}{commit}, cut at {:.4} without an answer",
            request.id,
            request.text,
            request.machine,
            request.sent.as_secs_f64(),
            run.server,
            request.ended.as_secs_f64()
        ));
    }
    match broken.first() {
        None if asked.is_empty() => Verdict::Failed("no request was answered".to_owned()),
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!("LOST {} times; first: {first}", broken.len())),
    }
}
