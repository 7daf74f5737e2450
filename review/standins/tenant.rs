//! UNASKED: statements of an open transaction run for the tenant that held the client's key before
//! a change of the configuration gave the key to another tenant.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Client, MOVED_TENANT, TENANT, config_with};
use crate::record::Record;
use crate::{NotRun, Setup};

/// Bound within which a configuration is in force everywhere.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Statements of the transaction, at most 12 with BEGIN and COMMIT, and the pause between them,
/// which is below `tx_idle_ms`, 3,000 ms.
const STATEMENTS: usize = 9;
const STATEMENT_GAP: Duration = Duration::from_millis(800);

pub fn run(record: Arc<Record>, folder: &Path) -> Result<Vec<String>, NotRun> {
    let zones = ["muscat-seeb", "muscat-ruwi", "muscat-amerat"];
    let work = |_: &str| Duration::from_millis(11);
    let setup = Setup::start(record, folder, &zones, 0, work)?;
    let (record, group) = (&setup.record, &setup.group);
    let mut client = Client::connect(record, setup.instances[0].front(), "dispatch23")
        .map_err(|error| format!("session: {error}"))?;
    let mut sent = Vec::new();
    client.query("t0", "BEGIN")?;
    let mut acknowledged_at = None;
    for number in 1..=STATEMENTS {
        let id = format!("t{number}");
        let at = Instant::now();
        let answer = client.query(&id, &format!("WRITE item{number} data{number}"))?;
        sent.push((id, at));
        if number == 2 {
            let holder = if setup.has_trouble { MOVED_TENANT } else { TENANT };
            setup.store.put("config", "main", &config_with(8, 0, holder));
            acknowledged_at = Some(Instant::now());
            record.line(format!("the store acknowledges version 8: the key belongs to {holder}"));
        }
        if !answer.contains("READY T") {
            break;
        }
        thread::sleep(STATEMENT_GAP);
    }
    let at = Instant::now();
    client.query("t-end", "COMMIT")?;
    sent.push(("t-end".to_owned(), at));
    // A single statement shows for whom the version in force serves the session.
    client.query("single", "READ item1")?;
    let holder = if setup.has_trouble { MOVED_TENANT } else { TENANT };
    let acknowledged_at = acknowledged_at.ok_or("the version was not written")?;
    let runs = group.tenants.lock().unwrap();
    let mut broken = Vec::new();
    for (id, at) in sent {
        let after = at.saturating_duration_since(acknowledged_at);
        let Some(tenant) = runs.get(&id).filter(|_| after > CONFIG_APPLY) else { continue };
        if tenant != holder {
            broken.push(format!(
                "UNASKED: {id}, sent {} ms after the acknowledgement of version 8, was run for tenant \
                 {tenant}, but {holder} holds the client's key",
                after.as_millis()
            ));
        }
    }
    Ok(broken)
}
