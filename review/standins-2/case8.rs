//! A primary crashes. The platform carries out the order to promote its successor some seconds late, and
//! the machine that gave the order is lost.

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
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use client::{End, Session};
use fleet::{Fleet, Route, SIGKILL, config};
use harness::{Case, Verdict};
use servers::{Group, GroupSettings, wait_for};
use store::Store;

const ZONES: [&str; 3] = ["a", "b", "c"];
const DEADLINE: Duration = Duration::from_secs(4);
/// How late the first order is carried out.
const LATE: Duration = Duration::from_secs(6);
/// How much longer answers from a farther zone take.
const FARTHER: Duration = Duration::from_millis(3);

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
        work: Duration::from_millis(8),
        open: Duration::from_millis(12),
        sync_replicas: 0,
        lag: Duration::from_millis(20),
        promote: Duration::from_millis(300),
        heartbeat: Duration::from_millis(1200),
    };
    let group = Group::start(settings, &ZONES, &store, record)?;
    let (first_call, first_called) = mpsc::channel();
    {
        let (group, record) = (Arc::clone(&group), Arc::clone(record));
        let is_first = AtomicBool::new(case.trouble);
        let first_call = Mutex::new(first_call);
        store.on_promote(Box::new(move |call| {
            if is_first.swap(false, Ordering::Relaxed) {
                let _ = first_call
                    .lock()
                    .unwrap()
                    .send((call.holder.clone(), call.id.clone()));
                thread::sleep(LATE);
                record.line(format_args!(
                    "trouble: the order of {} to promote {} is carried out {} ms late",
                    call.holder,
                    call.id,
                    LATE.as_millis()
                ));
                group.order_promotion(&call.id);
                return None;
            }
            Some(if group.order_promotion(&call.id) {
                200
            } else {
                409
            })
        }));
    }
    let routes = [Route {
        database: "db",
        kind: "primary",
        service: "svc",
        max_staleness_ms: 0,
    }];
    store.put("config", "main", config(1, &routes, &[("svc", 33, 0)]));
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
                            acknowledged
                                .lock()
                                .unwrap()
                                .insert(id, (now, machine.name.clone()));
                        }
                        End::Error(_) => thread::sleep(Duration::from_millis(150)),
                        End::Cut | End::Late => break,
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    if case.trouble {
        group.crash("i-svc-1");
        let Ok((holder, target)) = first_called.recv_timeout(Duration::from_secs(10)) else {
            return Ok(Verdict::Failed("no promotion was ordered".to_owned()));
        };
        let Some(lost) = fleet
            .instances
            .iter()
            .find(|instance| instance.name == holder)
        else {
            return Ok(Verdict::Failed(format!("no machine has the name {holder}")));
        };
        fleet.signal(lost, SIGKILL);
        // Both replicas have the same log. The machines that remain are nearer to the ordered one.
        let farther = if target == "i-svc-2" {
            "i-svc-3"
        } else {
            "i-svc-2"
        };
        group
            .link_delay
            .lock()
            .unwrap()
            .insert(farther.to_owned(), FARTHER);
        thread::sleep(Duration::from_secs(12));
    } else {
        thread::sleep(Duration::from_secs(15));
    }
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let verdict = judge(&group, &acknowledged.lock().unwrap());
    record.flush();
    fleet.append_logs(&case.record_path);
    Ok(verdict)
}

/// Returns whether a write was committed at an old primary after a promotion had taken effect, and
/// acknowledged to its client.
fn judge(group: &Group, acknowledged: &HashMap<String, (Duration, String)>) -> Verdict {
    if acknowledged.is_empty() {
        return Verdict::Failed("no write was acknowledged".to_owned());
    }
    let mut broken = Vec::new();
    let promotions = group.promotions.lock().unwrap();
    for run in group.runs.lock().unwrap().iter() {
        let (Some(entry), Some((at, machine))) = (&run.committed, acknowledged.get(&run.request))
        else {
            continue;
        };
        let newer = promotions.iter().find(|promotion| {
            promotion.id != run.server && promotion.term > entry.term && promotion.at < entry.at
        });
        if let Some(newer) = newer {
            broken.push(format!(
                "{} committed at {} as {}.{} at {:.4}, {} ms after {} had become primary of term {}, and \
                 acknowledged by {machine} at {:.4}",
                run.request,
                run.server,
                entry.term,
                entry.number,
                entry.at.as_secs_f64(),
                (entry.at - newer.at).as_millis(),
                newer.id,
                newer.term,
                at.as_secs_f64()
            ));
        }
    }
    match broken.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!("ONE {} times; first: {first}", broken.len())),
    }
}
