use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::connection::ConnectionShare;
use mustardhinge_core::gateway::GatewayView;
use mustardhinge_core::prelude::{MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{
    GroupEpoch, HeldLeases, LeaderElection, LeaseSettings, RecordRevision,
};
use mustardhinge_core::rate_limit::AllowanceTable;
use mustardhinge_process::{BootClock, event};
use tokio::sync::{Notify, watch};

use super::{DrainPhase, NodeLimits, NodeSettings};
use crate::gateway::GatewayPeers;
use crate::group::GroupState;
use crate::plan::{ServingPlan, TargetEntry, TargetsDigest};
use crate::target::TargetHandle;

/// How many instances are assumed to share the targets until the holder of the duty tells.
const ASSUMED_INSTANCES: usize = 8;
/// Leases must have been gone for this long before the instance asks for no more callers;
/// longer than the duty takes to move.
const UNREADY_AFTER: Duration = Duration::from_millis(3_000);

/// What one instance knows, shared by its sessions and its control.
#[derive(Debug)]
pub struct NodeState {
    /// What it was told at its start.
    pub settings: NodeSettings,
    /// The limits in force; those of the settings, until these change.
    pub limits: Cell<NodeLimits>,
    /// Its clock.
    pub clock: BootClock,
    /// Its leases.
    pub leases: RefCell<HeldLeases>,
    /// What it admitted and may admit of the customers' rates.
    pub spending: RefCell<AllowanceTable>,
    /// Wakes those who wait for the holder to allow more.
    pub spending_changed: Notify,
    /// Wakes the control, which asks the holder to allow more.
    pub ask_spending: Notify,
    /// Wakes the control, which tells the holder what is new here.
    pub tell_holder: Notify,
    /// Its part in the duty to replace primaries.
    pub duty: RefCell<LeaderElection>,
    /// The times of leases and duty.
    pub primacy: LeaseSettings,
    /// Sessions of callers that are open.
    pub callers: Cell<usize>,
    /// Statements and transactions of other instances that run here.
    pub forwarded: Cell<usize>,
    /// The gateways that this instance forwards to.
    pub peers: GatewayPeers,
    pub(super) gateways: RefCell<GatewayView>,
    pub(super) gateways_changed: Notify,
    plan: RefCell<Rc<ServingPlan>>,
    pub(super) groups: RefCell<HashMap<ServiceId, Rc<GroupState>>>,
    /// The service of each listed target.
    homes: RefCell<HashMap<TargetId, ServiceId>>,
    leaving: RefCell<Option<Vec<TargetId>>>,
    targets_revision: Cell<RecordRevision>,
    targets_digest: Cell<Option<TargetsDigest>>,
    pub(super) instances: Cell<usize>,
    place: Cell<Option<usize>>,
    leased_at: Cell<MonotonicTime>,
    drain: watch::Sender<DrainPhase>,
    next_session: Cell<u64>,
}

impl NodeState {
    /// Makes the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: NodeSettings, duty: LeaderElection, incarnation: u64) -> Self {
        Self {
            peers: GatewayPeers::new(settings.peers, incarnation),
            gateways: RefCell::default(),
            gateways_changed: Notify::new(),
            forwarded: Cell::new(0),
            limits: Cell::new(settings.limits),
            settings,
            clock: BootClock,
            leases: RefCell::default(),
            spending: RefCell::default(),
            spending_changed: Notify::new(),
            ask_spending: Notify::new(),
            tell_holder: Notify::new(),
            duty: RefCell::new(duty),
            primacy: LeaseSettings::default(),
            callers: Cell::new(0),
            plan: RefCell::default(),
            groups: RefCell::default(),
            homes: RefCell::default(),
            leaving: RefCell::default(),
            targets_revision: Cell::default(),
            targets_digest: Cell::new(None),
            instances: Cell::new(ASSUMED_INSTANCES),
            place: Cell::new(None),
            leased_at: Cell::default(),
            drain: watch::Sender::new(DrainPhase::Serving),
            next_session: Cell::new(1),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn plan(&self) -> Rc<ServingPlan> {
        Rc::clone(&self.plan.borrow())
    }

    /// Takes a configuration if it is newer. Returns whether it was.
    pub fn adopt_plan(&self, plan: ServingPlan, origin: &str) -> bool {
        let known = self.plan.borrow().version();
        if plan.version() <= known {
            return false;
        }
        let now = self.clock.now();
        let customers = plan.customers().iter();
        let customers = customers.map(|limits| (&limits.customer, limits.limits));
        self.spending.borrow_mut().set_customers(customers, now);
        metrics::gauge!("resident_document_version").set(plan.version().get() as f64);
        event::DOCUMENT_ADOPTED.log(format_args!(
            "version={} before={known} origin={origin}",
            plan.version()
        ));
        for service in plan.services() {
            self.group(service);
        }
        self.plan.replace(Rc::new(plan));
        self.divide_connections();
        true
    }

    /// Returns the group of a service.
    pub fn group(&self, service: &ServiceId) -> Rc<GroupState> {
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(service.clone()).or_insert_with(|| {
            // The holder lends its primary.
            self.tell_holder.notify_one();
            Rc::new(GroupState::new(service.clone()))
        });
        Rc::clone(group)
    }

    /// Returns all groups.
    #[must_use]
    pub fn groups(&self) -> Vec<Rc<GroupState>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Takes a listed target.
    pub fn put_target(&self, entry: TargetEntry) {
        self.drop_moved(&entry);
        let group = self.group(&entry.service);
        match group.find(&entry.target) {
            Some(handle) => {
                let known = handle.entry();
                if *known == entry {
                    return;
                }
                self.note_list_changed();
                event::TARGET_CHANGED.log(format_args!(
                    "target={} service={} role={:?} leaving={} address={}",
                    entry.target, entry.service, entry.role, entry.is_leaving, entry.address
                ));
                handle.update(entry);
            }
            None => {
                event::TARGET_LISTED.log(format_args!(
                    "target={} service={} role={:?} leaving={} address={}",
                    entry.target, entry.service, entry.role, entry.is_leaving, entry.address
                ));
                group.add(Rc::new(TargetHandle::new(entry)));
                self.note_list_changed();
                self.divide_group(&group);
            }
        }
    }

    fn drop_moved(&self, entry: &TargetEntry) {
        let mut homes = self.homes.borrow_mut();
        let before = homes.insert(entry.target.clone(), entry.service.clone());
        if let Some(before) = before.filter(|before| *before != entry.service)
            && let Some(group) = self.find_group(&before)
        {
            group.remove(&entry.target, self.clock.now());
        }
    }

    /// Takes that a target is no longer listed.
    pub fn drop_target(&self, target: &TargetId) {
        let home = self.homes.borrow_mut().remove(target);
        if let Some(group) = home.and_then(|service| self.find_group(&service)) {
            self.note_list_changed();
            event::TARGET_DROPPED.log(format_args!("target={target} service={}", group.service()));
            group.remove(target, self.clock.now());
        }
    }

    /// Returns all targets with the revision of their list.
    #[must_use]
    pub fn target_list(&self) -> (Vec<TargetEntry>, RecordRevision) {
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let entries = handles
            .map(|handle| handle.entry().as_ref().clone())
            .collect();
        (entries, self.targets_revision.get())
    }

    /// Returns the targets whose entries say that they are leaving.
    #[must_use]
    pub fn leaving_targets(&self) -> Vec<TargetId> {
        if let Some(known) = self.leaving.borrow().as_ref() {
            return known.clone();
        }
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let leaving = handles
            .map(|handle| handle.entry())
            .filter(|entry| entry.is_leaving);
        let leaving: Vec<_> = leaving.map(|entry| entry.target.clone()).collect();
        self.leaving.replace(Some(leaving.clone()));
        leaving
    }

    fn note_list_changed(&self) {
        self.targets_digest.set(None);
        self.leaving.replace(None);
    }

    /// Takes the word of another instance that targets are leaving, in case this one's watch
    /// of the list has gone silent.
    pub fn tell_leaving(&self, leaving: &[TargetId]) {
        let groups = self.groups.borrow();
        for handle in groups.values().flat_map(|group| group.targets()) {
            if !handle.is_leaving() && leaving.contains(&handle.id()) {
                event::TARGET_CHANGED.log(format_args!(
                    "target={} leaving=true origin=peer",
                    handle.id()
                ));
                handle.mark_leaving();
            }
        }
    }

    /// Takes a whole list of targets if it is newer.
    pub fn adopt_targets(&self, entries: Vec<TargetEntry>, revision: RecordRevision) {
        if revision < self.targets_revision.get() {
            return;
        }
        self.targets_revision.set(revision);
        let listed: HashSet<_> = entries.iter().map(|entry| entry.target.clone()).collect();
        for known in self.target_list().0 {
            if !listed.contains(&known.target) {
                self.drop_target(&known.target);
            }
        }
        for entry in entries {
            self.put_target(entry);
        }
    }

    /// Notes the revision up to which changes of targets were taken.
    pub fn note_targets_revision(&self, revision: RecordRevision) {
        self.targets_revision
            .set(self.targets_revision.get().max(revision));
    }

    /// Returns the revision up to which changes of targets were taken.
    #[must_use]
    pub const fn targets_revision(&self) -> RecordRevision {
        self.targets_revision.get()
    }

    /// Returns what stands for the present list of targets.
    #[must_use]
    pub fn targets_digest(&self) -> TargetsDigest {
        if let Some(known) = self.targets_digest.get() {
            return known;
        }
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let entries: Vec<_> = handles.map(|handle| handle.entry()).collect();
        let digest = TargetsDigest::of(entries.iter().map(AsRef::as_ref));
        self.targets_digest.set(Some(digest));
        digest
    }

    /// Takes the number of instances, which share the targets' connections, and this one's
    /// place among them.
    pub fn set_instances(&self, instances: usize, place: usize) {
        let is_new = (instances, Some(place)) != (self.instances.get(), self.place.get());
        if is_new && instances > 0 {
            self.instances.set(instances);
            self.place.set(Some(place));
            self.divide_connections();
        }
    }

    /// Returns the number of instances.
    #[must_use]
    pub const fn instances(&self) -> usize {
        self.instances.get()
    }

    pub(super) fn divide_connections(&self) {
        for group in self.groups() {
            self.divide_group(&group);
        }
    }

    fn divide_group(&self, group: &GroupState) {
        let gateways = self.gateways.borrow();
        let now = self.clock.now();
        let connection_limit = self.plan().connection_limit(group.service());
        let share = ConnectionShare {
            connection_limit,
            instances: self.instances.get(),
            index: self.place.get(),
        };
        for target in group.targets() {
            let pair = gateways.pair_of(&target.id());
            let own = match &pair {
                Some(pair) => {
                    let rank = self.peers.own_rank(pair);
                    rank.connections(connection_limit, self.instances.get())
                }
                None => share.connections(),
            };
            target.set_gateways(pair);
            target.set_limit(own, now);
        }
    }

    /// Returns whether an epoch is known to be over, or to be ending.
    #[must_use]
    pub fn is_epoch_over(&self, service: &ServiceId, epoch: GroupEpoch) -> bool {
        let leases = self.leases.borrow();
        let newest = leases.newest(service);
        newest.is_some_and(|state| state.epoch > epoch || state.epoch == epoch && state.is_stopped)
    }

    /// Returns the group of a service, if it is known.
    #[must_use]
    pub fn find_group(&self, service: &ServiceId) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(service).cloned()
    }

    /// Returns the primary that may be used now.
    #[must_use]
    pub fn usable_primary(
        &self,
        group: &GroupState,
        now: MonotonicTime,
    ) -> Option<(GroupEpoch, Rc<TargetHandle>)> {
        let leases = self.leases.borrow();
        let (epoch, primary) = leases.usable(group.service(), now)?;
        Some((epoch, group.find(primary)?))
    }

    /// Returns the primary that may be used now and answers, as far as is known here.
    #[must_use]
    pub fn serving_primary(
        &self,
        group: &GroupState,
        now: MonotonicTime,
    ) -> Option<(GroupEpoch, Rc<TargetHandle>)> {
        let found = self.usable_primary(group, now);
        found.filter(|(_, target)| !target.health().is_failing())
    }

    /// Returns whether a target is the primary that its group uses, as far as is known here.
    #[must_use]
    pub fn is_primary(&self, target: &TargetHandle) -> bool {
        let leases = self.leases.borrow();
        let newest = leases.newest(&target.entry().service);
        newest.is_some_and(|state| *state.primary == target.id())
    }

    /// Returns whether work done at the primary of `epoch` counts.
    #[must_use]
    pub fn is_lease_good(
        &self,
        service: &ServiceId,
        epoch: GroupEpoch,
        now: MonotonicTime,
    ) -> bool {
        self.leases.borrow().is_valid(service, epoch, now)
    }

    /// Waits until what is done at the primary of `epoch` counts no more, since it is being
    /// replaced; without an epoch, for ever.
    pub async fn until_epoch_ends(&self, group: &GroupState, epoch: Option<GroupEpoch>) {
        let Some(epoch) = epoch else {
            return std::future::pending().await;
        };
        loop {
            let ended = group.epoch_ended();
            let is_over = self
                .leases
                .borrow()
                .newest(group.service())
                .is_some_and(|state| state.epoch > epoch || state.is_stopped);
            if is_over {
                return;
            }
            ended.await;
        }
    }

    /// Notes that leases were lent.
    pub fn note_leased(&self, now: MonotonicTime) {
        self.leased_at.set(now);
    }

    /// Returns whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let leased = self.leased_at.get();
        let serving = *self.drain.borrow() == DrainPhase::Serving;
        serving
            && leased != MonotonicTime::default()
            && now.saturating_since(leased) < UNREADY_AFTER
            && self.plan.borrow().version().get() > 0
    }

    /// Returns the number of a new session.
    pub fn next_session(&self) -> u64 {
        let session = self.next_session.get();
        self.next_session.set(session + 1);
        session
    }

    /// Goes on to a phase of a planned stop.
    pub fn drain(&self, phase: DrainPhase) {
        self.drain.send_replace(phase);
    }

    /// Follows a planned stop.
    #[must_use]
    pub fn follow_drain(&self) -> watch::Receiver<DrainPhase> {
        self.drain.subscribe()
    }
}
