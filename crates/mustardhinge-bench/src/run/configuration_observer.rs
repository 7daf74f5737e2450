use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_process::ProcessClock;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::Fleet;
use crate::history::VersionSighting;

/// The time between two looks at the instances.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Looks at the entries during a run and notes which versions are in force.
#[derive(Debug)]
pub struct ConfigurationObserver {
    stop: watch::Sender<bool>,
    task: JoinHandle<Vec<VersionSighting>>,
}

impl ConfigurationObserver {
    /// Starts to look at the instances of `fleet`.
    #[must_use]
    pub fn start(fleet: Arc<Fleet>, clock: ProcessClock) -> Self {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(observe(fleet, clock, stopped));
        Self { stop, task }
    }

    /// Stops and returns what was seen.
    ///
    /// # Errors
    ///
    /// Fails if the observer panicked.
    pub async fn finish(self) -> anyhow::Result<Vec<VersionSighting>> {
        self.stop.send_replace(true);
        Ok(self.task.await?)
    }
}

async fn observe(
    fleet: Arc<Fleet>,
    clock: ProcessClock,
    stopped: watch::Receiver<bool>,
) -> Vec<VersionSighting> {
    let mut newest: BTreeMap<(InstanceId, ServiceId), DocumentVersion> = BTreeMap::new();
    let mut sightings = Vec::new();
    while !*stopped.borrow() {
        for instance in &fleet.instances {
            // An instance that is being stopped or started is looked at later.
            let Ok(instance) = instance.try_lock() else {
                continue;
            };
            let Some(entry) = instance.entry() else {
                continue;
            };
            for service in &fleet.profile.services {
                let Some(runtime) = entry.shared().service(service) else {
                    continue;
                };
                let place = (instance.instance().clone(), service.clone());
                let version = runtime.version();
                if newest.insert(place, version) != Some(version) {
                    sightings.push(VersionSighting {
                        service: service.clone(),
                        instance: instance.instance().clone(),
                        version,
                        at: clock.now(),
                    });
                }
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    sightings
}
