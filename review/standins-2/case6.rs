//! After the final fault, the primary restarts within a moment, and the leader's machine is lost while
//! the change of primary that it began is under way.

mod client;
mod fleet;
mod harness;
mod json;
mod record;
mod servers;
mod store;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
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
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the primary is away.
const PRIMARY_AWAY: Duration = Duration::from_millis(600);
/// Time after the recovery for which requests are judged.
const JUDGED: Duration = Duration::from_secs(30);

/// A request: when it was sent, and whether it was served.
struct Asked {
    sent: Duration,
    served: bool,
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
        work: Duration::from_millis(10),
        open: Duration::from_millis(12),
        sync_replicas: 0,
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
        kind: "own",
        service: "svc",
        max_staleness_ms: 2500,
    }];
    let services = [("svc", 33, 0)];
    store.put("config", "main", config(1, &routes, &services));
    let fleet = Arc::new(Fleet::start(&case.program, &ZONES, platform, record)?);
    if !wait_for(Duration::from_secs(15), || fleet.all_ready()) {
        return Ok(Verdict::Failed(
            "the processes did not become ready".to_owned(),
        ));
    }
    let asked = Arc::new(Mutex::new(Vec::new()));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for place in 0..ZONES.len() * 2 {
        let (fleet, record) = (Arc::clone(&fleet), Arc::clone(record));
        let (asked, stopped) = (Arc::clone(&asked), Arc::clone(&stopped));
        clients.push(thread::spawn(move || {
            let mut number: usize = 0;
            while !stopped.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(100));
                number += 1;
                let id = format!("{place:04x}{number:012x}");
                let text = match number % 2 {
                    0 => format!("WRITE item{} data{number}", number % 20),
                    _ => format!("READ item{}", number % 20),
                };
                // A try that fails is repeated once at a machine of another zone.
                let sent = record.now();
                let mut served = false;
                for retry in 0..2 {
                    let machine = fleet.route(ZONES[(place + retry) % ZONES.len()], place);
                    let id = format!("{id}{retry}");
                    let end = match Session::open(machine.front(), "db", "key-1") {
                        Ok(mut session) => session.ask(&id, &text, DEADLINE),
                        Err(end) => end,
                    };
                    record.line(format_args!(
                        "client: {id} {text:?} to {}: {end:?}",
                        machine.name
                    ));
                    served = matches!(end, End::Done(_));
                    if served {
                        break;
                    }
                }
                asked.lock().unwrap().push(Asked { sent, served });
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));
    let fault_at = record.now();
    if case.trouble {
        // The final fault: all processes are killed right after a configuration is acknowledged.
        store.put("config", "main", config(2, &routes, &services));
        for instance in &fleet.instances {
            fleet.signal(instance, SIGKILL);
        }
        for instance in &fleet.instances {
            fleet.await_end(instance, Duration::from_secs(1));
        }
        thread::sleep(Duration::from_secs(1));
        for instance in &fleet.instances {
            fleet.spawn(instance)?;
        }
    }
    let back_at = record.now();
    if case.trouble {
        thread::sleep(Duration::from_secs(2));
        wait_for(Duration::from_secs(4), || fleet.all_ready());
        thread::sleep(Duration::from_millis(1500));
        let holder = leader(&store);
        let Some(lost) = fleet
            .instances
            .iter()
            .find(|instance| instance.name == holder)
        else {
            return Ok(Verdict::Failed(format!(
                "no machine has the name {holder:?}"
            )));
        };
        group.crash("i-svc-1");
        let others = fleet
            .instances
            .iter()
            .filter(|instance| instance.name != holder);
        let others: Vec<_> = others.collect();
        let is_under_way = wait_for(Duration::from_secs(3), || {
            others
                .iter()
                .all(|instance| instance.has_logged("use of primary stopped"))
        });
        if !is_under_way {
            return Ok(Verdict::Failed("no change of primary began".to_owned()));
        }
        fleet.signal(lost, SIGKILL);
        thread::sleep(PRIMARY_AWAY);
        group.restart("i-svc-1")?;
    }
    thread::sleep((back_at + RECOVERY + JUDGED).saturating_sub(record.now()));
    stopped.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let verdict = judge(&asked.lock().unwrap(), fault_at, back_at);
    record.flush();
    fleet.append_logs(&case.record_path);
    Ok(verdict)
}

/// Returns the machine that orders promotions.
fn leader(store: &Store) -> String {
    let duty = store.kinds().into_iter().find(|(_, name)| name == "duty");
    let duty = duty.and_then(|(kind, name)| store.spec(&kind, &name));
    let holder = duty.as_ref().and_then(|duty| duty.get("holder").text());
    holder.unwrap_or_default().to_owned()
}

/// Returns whether less than a quarter of the requests is served that are sent later than `recovery_s`
/// after the machines are back, though a quarter or more was before the final fault.
fn judge(asked: &[Asked], fault_at: Duration, back_at: Duration) -> Verdict {
    let share = |from: Duration, until: Duration| {
        let sent = asked
            .iter()
            .filter(|request| request.sent >= from && request.sent < until);
        let sent: Vec<_> = sent.collect();
        let served = sent.iter().filter(|request| request.served).count();
        (served, sent.len())
    };
    let (before, before_of) = share(Duration::ZERO, fault_at.saturating_sub(DEADLINE));
    let (after, after_of) = share(back_at + RECOVERY, Duration::MAX);
    if before * 4 < before_of || before_of == 0 || after_of == 0 {
        return Verdict::Failed(format!(
            "{before} of {before_of} requests were served before"
        ));
    }
    if after * 4 < after_of {
        return Verdict::Broken(format!(
            "RECOVER: {after} of {after_of} requests are served that were sent later than 12 s after the \
             machines were back; before the final fault {before} of {before_of}"
        ));
    }
    Verdict::Held
}
