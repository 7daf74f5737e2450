//! Runs one case of the review: `standins CASE FOLDER`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod drain;
mod fleet;
mod group;
mod json;
mod lapse;
mod record;
mod stale;
mod store;
mod sync;
mod tenant;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::{env, fs, thread, time::Duration};

use fleet::{Instance, config, network, wait_until_ready};
use group::Group;
use record::Record;
use store::Store;

/// The parts of a run.
pub struct Setup {
    pub record: Arc<Record>,
    pub has_trouble: bool,
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub instances: Vec<Instance>,
    /// Whether the store turns an instance away.
    pub away: Vec<Arc<AtomicBool>>,
}

/// Usual time of a promotion.
const PROMOTE_TIME: Duration = Duration::from_millis(600);

/// Why a case couldn't run.
pub type NotRun = String;

impl Setup {
    /// Starts the platform, a service and an instance in each of `zones`, and waits until all are
    /// ready. The caller removes the folder.
    fn start(
        record: Arc<Record>,
        folder: &std::path::Path,
        zones: &[&str],
        sync_replicas: usize,
        work: fn(&str) -> Duration,
    ) -> Result<Self, NotRun> {
        Self::start_with(record, folder, zones, sync_replicas, work, PROMOTE_TIME)
    }

    /// Like [`start`](Self::start), with another time that a promotion takes.
    fn start_with(
        record: Arc<Record>,
        folder: &std::path::Path,
        zones: &[&str],
        sync_replicas: usize,
        work: fn(&str) -> Duration,
        promote_time: Duration,
    ) -> Result<Self, NotRun> {
        let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
        record.line(format!("trouble: {has_trouble}"));
        let store = Arc::new(Store::new());
        let group = Arc::new(Group::new(&record, &store, sync_replicas, work, promote_time));
        let platform_ip = format!("{}.200", network());
        let ordered = Arc::clone(&group);
        let promote = move |service: &str, id: &str, holder: &str, fence: &str| {
            if service == group::SERVICE { ordered.promote(id, holder, fence) } else { 404 }
        };
        let promote: Arc<store::Promote> = Arc::new(Box::new(promote));
        store.put("config", "main", &config(7, sync_replicas));
        group.start(&format!("{}.201", network()), ["muscat-seeb", "muscat-ruwi", "muscat-amerat"]);
        let count = zones.len();
        let away: Vec<_> = zones.iter().map(|_| Arc::new(AtomicBool::new(false))).collect();
        let mut instances: Vec<_> = zones
            .iter()
            .enumerate()
            .map(|(index, zone)| {
                // An address of its own for each, so that the store can turn a single one away.
                let platform = store::serve(&store, &platform_ip, &promote, &away[index]);
                Instance::new(&record, folder, (index, count), zone, platform)
            })
            .collect();
        instances.iter_mut().for_each(Instance::start);
        if !wait_until_ready(&instances) {
            return Err("the instances are not ready after 15 s".to_owned());
        }
        record.line("all instances are ready");
        thread::sleep(Duration::from_secs(5));
        Ok(Self { record, has_trouble, store, group, instances, away })
    }
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            std::process::exit(2);
        }
    };
    let temporary = env::temp_dir().join(format!("mustardhinge-review-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("create the temporary folder");
    let result = match case.as_str() {
        "drain" => drain::run(Arc::clone(&record), &temporary),
        "tenant" => tenant::run(Arc::clone(&record), &temporary),
        "stale" => stale::run(Arc::clone(&record), &temporary),
        "lapse" => lapse::run(Arc::clone(&record), &temporary),
        "sync" => sync::run(Arc::clone(&record), &temporary),
        _ => Err(format!("unknown case {case}")),
    };
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            0
        }
        Ok(broken) => {
            broken.iter().for_each(|line| record.line(format!("BROKEN: {line}")));
            1
        }
        Err(cause) => {
            record.line(format!("couldn't run: {cause}"));
            2
        }
    };
    std::process::exit(code);
}
