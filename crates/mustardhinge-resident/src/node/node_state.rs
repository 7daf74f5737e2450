use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::connection::ConnectionShare;
use mustardhinge_core::evacuation::EvacuatedZones;
use mustardhinge_core::gateway::GatewayView;
use mustardhinge_core::membership::{
    ConfirmationTable, DrainPhase, DrainSchedule, IntakeState, ListChanges, StorePart,
};
use mustardhinge_core::overload::{FailureTable, OverloadControl, OverloadSwitch};
use mustardhinge_core::prelude::{MonotonicTime, ServiceId, TargetId};
use mustardhinge_core::primary_lease::{
    GroupEpoch, HeldLeases, LeaderElection, LeaseSettings, RecordRevision, StoreEra,
};
use mustardhinge_core::rate_limit::{AllowanceTable, ShareExchange};
use mustardhinge_core::retry::RetryTable;
use mustardhinge_process::{BootClock, event};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, watch};

use super::cold_targets::EntrySource;
use super::departed_targets::DepartedTargets;
use super::lost_targets::LostTargets;
use super::node_confirmations::age_millis;
use super::{NodeLimits, NodeSettings};
use crate::gateway::GatewayPeers;
use crate::group::GroupState;
use crate::plan::{ServingPlan, TargetEntry, TargetsDigest};
use crate::target::TargetHandle;

/// Number of instances assumed to share the targets until the leader reports the actual number.
const ASSUMED_INSTANCES: usize = 8;
/// Time without a lease after which the instance reports itself as not ready. Longer than a change
/// of the leader takes.
const UNREADY_AFTER: Duration = Duration::from_millis(3_000);

/// State of an instance, shared by its sessions and its control tasks.
#[derive(Debug)]
pub struct NodeState {
    /// The startup settings.
    pub settings: NodeSettings,
    /// The current limits. Initially those of the startup settings.
    pub limits: Cell<NodeLimits>,
    /// The clock of the instance.
    pub clock: BootClock,
    /// The leases that the instance holds.
    pub leases: RefCell<HeldLeases>,
    /// The share of the customers' rates granted to this instance, and its use.
    pub allowances: RefCell<AllowanceTable>,
    /// The internal retries of each customer and priority, under overload control.
    pub retries: RefCell<RetryTable>,
    /// Notified when the leader granted more allowance. Wakes the requests that wait for it.
    pub allowances_changed: Notify,
    /// Wakes the control task to request more allowance from the leader.
    pub allowance_request_due: Notify,
    /// Its exchange with the share pool of its zone while it is isolated.
    pub share_exchange: RefCell<ShareExchange>,
    /// Wakes the task that requests loans from the share pool.
    pub share_loan_due: Notify,
    /// Wakes the control task to report changes on this instance in a request to the leader.
    pub leader_request_due: Notify,
    /// Its part in the election of the leader, which replaces primaries.
    pub election: RefCell<LeaderElection>,
    /// Timing settings of leases and leadership.
    pub lease_settings: LeaseSettings,
    /// Number of open caller sessions.
    pub open_sessions: Cell<usize>,
    /// Number of statements and transactions that this instance runs as a gateway for others.
    pub forwarded_work: Cell<usize>,
    /// Number of messages to instances that forward statements here that are not sent yet.
    pub unsent_frames: Cell<usize>,
    /// Random numbers for the placement of reads, seeded by the incarnation.
    pub placement_rng: RefCell<SmallRng>,
    /// The targets that fail a part of this instance's reads, under overload control.
    pub(super) failures: RefCell<FailureTable>,
    /// The gateways that this instance forwards to.
    pub peers: GatewayPeers,
    pub(super) gateways: RefCell<GatewayView>,
    pub(super) gateways_changed: Notify,
    pub(super) evacuations: RefCell<EvacuatedZones>,
    pub(super) confirmations: RefCell<ConfirmationTable>,
    plan: RefCell<Rc<ServingPlan>>,
    pub(super) groups: RefCell<HashMap<ServiceId, Rc<GroupState>>>,
    /// Service of each listed target.
    target_services: RefCell<HashMap<TargetId, ServiceId>>,
    /// Cached result of [`Self::leaving_targets`].
    leaving_targets: RefCell<Option<Vec<TargetId>>>,
    overload_switch: RefCell<OverloadSwitch>,
    /// Cached result of [`Self::overload_control`].
    overload_control: Cell<Option<OverloadControl>>,
    targets_revision: Cell<RecordRevision>,
    departed: RefCell<DepartedTargets>,
    /// The latest era of the store in which each target was listed.
    listed_eras: RefCell<HashMap<TargetId, StoreEra>>,
    pub(super) lost: RefCell<LostTargets>,
    /// Cached result of [`Self::targets_digest`].
    targets_digest: Cell<Option<TargetsDigest>>,
    pub(super) list_changes: RefCell<ListChanges>,
    pub(super) instances: Cell<usize>,
    /// Index of this instance among all instances.
    index: Cell<Option<usize>>,
    last_leased_at: Cell<MonotonicTime>,
    pub(super) drain_phase: watch::Sender<DrainPhase>,
    pub(super) drain_schedule: Cell<Option<DrainSchedule>>,
    pub(super) intake: watch::Sender<IntakeState>,
    next_session_number: Cell<u64>,
}

impl NodeState {
    /// Creates the state of an instance without configuration, targets or leases.
    #[must_use]
    pub fn new(settings: NodeSettings, election: LeaderElection, incarnation: u64) -> Self {
        let overload_switch =
            OverloadSwitch::new(settings.requests_overload_control, settings.zones.clone());
        let share_exchange = ShareExchange::new(settings.instance.clone(), incarnation);
        Self {
            placement_rng: RefCell::new(SmallRng::seed_from_u64(incarnation)),
            failures: RefCell::default(),
            peers: GatewayPeers::new(settings.peer_address, incarnation),
            gateways: RefCell::default(),
            gateways_changed: Notify::new(),
            evacuations: RefCell::default(),
            confirmations: RefCell::default(),
            forwarded_work: Cell::new(0),
            unsent_frames: Cell::new(0),
            limits: Cell::new(settings.limits),
            settings,
            clock: BootClock,
            leases: RefCell::default(),
            allowances: RefCell::new(AllowanceTable::starting_at(BootClock.now())),
            retries: RefCell::default(),
            allowances_changed: Notify::new(),
            allowance_request_due: Notify::new(),
            share_exchange: RefCell::new(share_exchange),
            share_loan_due: Notify::new(),
            leader_request_due: Notify::new(),
            election: RefCell::new(election),
            lease_settings: LeaseSettings::default(),
            open_sessions: Cell::new(0),
            plan: RefCell::default(),
            groups: RefCell::default(),
            target_services: RefCell::default(),
            leaving_targets: RefCell::default(),
            overload_switch: RefCell::new(overload_switch),
            overload_control: Cell::new(None),
            targets_revision: Cell::default(),
            departed: RefCell::default(),
            listed_eras: RefCell::default(),
            lost: RefCell::default(),
            targets_digest: Cell::new(None),
            list_changes: RefCell::default(),
            instances: Cell::new(ASSUMED_INSTANCES),
            index: Cell::new(None),
            last_leased_at: Cell::default(),
            drain_phase: watch::Sender::new(DrainPhase::Serving),
            drain_schedule: Cell::new(None),
            intake: watch::Sender::new(IntakeState::Open),
            next_session_number: Cell::new(1),
        }
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn plan(&self) -> Rc<ServingPlan> {
        Rc::clone(&self.plan.borrow())
    }

    /// Replaces the configuration if the given one is newer. `origin` says in the log where it comes
    /// from. Returns whether it was newer.
    pub fn adopt_plan(&self, plan: ServingPlan, origin: impl fmt::Display) -> bool {
        let known = self.plan.borrow().version();
        if plan.version() <= known {
            return false;
        }
        let now = self.clock.now();
        let customers = plan.customers().iter();
        let customers = customers.map(|limits| (&limits.customer, limits.limits));
        self.allowances.borrow_mut().set_customers(customers, now);
        metrics::gauge!("resident_document_version").set(plan.version().get() as f64);
        let confirmation = self.confirmations().of(StorePart::Plan);
        event::DOCUMENT_ADOPTED.log(format_args!(
            "version={} before={known} origin={origin} confirmed_ms={} by={}",
            plan.version(),
            age_millis(confirmation.age(now)),
            confirmation.source()
        ));
        self.begin_copy(StorePart::Plan, now);
        for service in plan.services() {
            self.group(service);
        }
        self.plan.replace(Rc::new(plan));
        self.update_connection_limits();
        true
    }

    /// Returns the group of a service. Creates it if there is none.
    pub fn group(&self, service: &ServiceId) -> Rc<GroupState> {
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(service.clone()).or_insert_with(|| {
            // The leader grants a lease on the primary of the new group.
            self.leader_request_due.notify_one();
            Rc::new(GroupState::new(service.clone()))
        });
        Rc::clone(group)
    }

    /// Returns all groups.
    #[must_use]
    pub fn groups(&self) -> Vec<Rc<GroupState>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Adds a target listed in `era` or updates its entry. Returns false for an entry that is older
    /// than the known departure of its target, which is ignored.
    pub fn upsert_target(&self, entry: TargetEntry, era: StoreEra) -> bool {
        self.apply_listed(entry, era, EntrySource::Store)
    }

    pub(super) fn apply_listed(
        &self,
        entry: TargetEntry,
        era: StoreEra,
        source: EntrySource,
    ) -> bool {
        let now = self.clock.now();
        let mut departed = self.departed.borrow_mut();
        if departed.is_older(&entry, era) {
            return false;
        }
        if entry.is_leaving {
            departed.record(&entry, era, now);
        } else {
            departed.remove(&entry.target);
        }
        drop(departed);
        self.lost.borrow_mut().remove(&entry.target);
        if !entry.is_missing {
            let mut listed_eras = self.listed_eras.borrow_mut();
            if listed_eras.insert(entry.target.clone(), era) != Some(era) {
                self.record_digest_change(&entry.target);
            }
        }
        let (service, target) = (entry.service.clone(), entry.target.clone());
        self.apply_entry(entry);
        self.apply_cold_time((&service, &target), source, now);
        true
    }

    fn apply_entry(&self, entry: TargetEntry) {
        self.remove_from_previous_group(&entry);
        let group = self.group(&entry.service);
        match group.find(&entry.target) {
            Some(handle) => {
                let known = handle.entry();
                if known.has_same_state(&entry) {
                    if known.is_cold() != entry.is_cold() {
                        self.record_digest_change(&entry.target);
                    }
                    let written = (entry.sequence, entry.cold_left_ms);
                    if (known.sequence, known.cold_left_ms) != written {
                        handle.refresh(entry);
                    }
                    return;
                }
                self.record_list_change(&entry.target);
                event::TARGET_CHANGED.log(format_args!(
                    "target={} service={} role={:?} leaving={} address={}",
                    entry.target, entry.service, entry.role, entry.is_leaving, entry.address
                ));
                if known.born_ms != entry.born_ms || known.address != entry.address {
                    self.forget_failures((&entry.service, &entry.target));
                }
                handle.update(entry);
                self.apply_evacuation(&handle);
            }
            None => {
                event::TARGET_LISTED.log(format_args!(
                    "target={} service={} role={:?} leaving={} address={}",
                    entry.target, entry.service, entry.role, entry.is_leaving, entry.address
                ));
                self.record_list_change(&entry.target);
                let handle = Rc::new(TargetHandle::new(entry));
                self.apply_evacuation(&handle);
                group.add(handle);
                self.update_group_limits(&group);
            }
        }
    }

    fn remove_from_previous_group(&self, entry: &TargetEntry) {
        let mut target_services = self.target_services.borrow_mut();
        let before = target_services.insert(entry.target.clone(), entry.service.clone());
        if let Some(before) = before.filter(|before| *before != entry.service)
            && let Some(group) = self.find_group(&before)
        {
            group.remove(&entry.target, self.clock.now());
            self.forget_failures((&before, &entry.target));
        }
    }

    /// Records that a target's entry was removed in `era`, so that an older list doesn't bring it
    /// back.
    pub fn record_departure(&self, target: &TargetId, era: StoreEra) {
        if let Some(handle) = self.find_target(target) {
            let now = self.clock.now();
            self.departed.borrow_mut().record(&handle.entry(), era, now);
        }
    }

    /// Records that a list of `era` doesn't have a target. That shows its departure only if the
    /// target was listed in this era: a list from an older copy may lack it although it never left.
    pub fn record_missing(&self, target: &TargetId, era: StoreEra) {
        if self.listed_eras.borrow().get(target) == Some(&era) {
            self.record_departure(target, era);
        }
    }

    /// Removes a target that is no longer listed.
    pub fn remove_target(&self, target: &TargetId) {
        self.listed_eras.borrow_mut().remove(target);
        let service = self.target_services.borrow_mut().remove(target);
        if let Some(group) = service.and_then(|service| self.find_group(&service)) {
            self.record_list_change(target);
            event::TARGET_DROPPED.log(format_args!("target={target} service={}", group.service()));
            group.remove(target, self.clock.now());
            self.forget_failures((group.service(), target));
            if !self.departed.borrow().contains(target) {
                self.lost.borrow_mut().record(target, group.service());
            }
        }
    }

    /// Returns the entries of all targets and the revision of the list.
    #[must_use]
    pub fn target_list(&self) -> (Vec<TargetEntry>, RecordRevision) {
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let entries = handles.map(|handle| self.relayed_entry(&handle));
        (entries.collect(), self.targets_revision.get())
    }

    /// Returns the entry of a target for another instance.
    pub(super) fn relayed_entry(&self, handle: &TargetHandle) -> TargetEntry {
        let entry = handle.relayed_entry(self.clock.now());
        TargetEntry {
            is_missing: self.is_missing(&entry.target),
            ..entry
        }
    }

    /// Returns the entry of a target as the digest of the list covers it.
    fn listed_entry(&self, handle: &TargetHandle) -> Rc<TargetEntry> {
        let entry = handle.entry();
        let is_missing = self.is_missing(&entry.target);
        if entry.is_missing == is_missing {
            return entry;
        }
        Rc::new(TargetEntry {
            is_missing,
            ..entry.as_ref().clone()
        })
    }

    /// Returns whether no list of the present era had a target.
    fn is_missing(&self, target: &TargetId) -> bool {
        let era = self.targets_revision.get().era();
        self.listed_eras.borrow().get(target) != Some(&era)
    }

    /// Returns whether the entry of a target was removed from the store, although the target is kept for
    /// a while because it may be written again.
    #[must_use]
    pub fn was_removed(&self, target: &TargetHandle) -> bool {
        !target.is_leaving() && self.departed.borrow().contains(&target.id())
    }

    /// Returns a listed target.
    pub(super) fn find_target(&self, target: &TargetId) -> Option<Rc<TargetHandle>> {
        let service = self.target_services.borrow().get(target).cloned();
        self.find_group(&service?)?.find(target)
    }

    /// Returns the number of listed targets.
    pub(super) fn count_targets(&self) -> usize {
        self.target_services.borrow().len()
    }

    /// Returns the targets whose entries are marked as leaving.
    #[must_use]
    pub fn leaving_targets(&self) -> Vec<TargetId> {
        if let Some(known) = self.leaving_targets.borrow().as_ref() {
            return known.clone();
        }
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let leaving = handles
            .map(|handle| handle.entry())
            .filter(|entry| entry.is_leaving);
        let leaving: Vec<_> = leaving.map(|entry| entry.target.clone()).collect();
        self.leaving_targets.replace(Some(leaving.clone()));
        leaving
    }

    /// Returns whether overload control is in force on this instance.
    #[must_use]
    pub fn overload_control(&self) -> OverloadControl {
        if let Some(known) = self.overload_control.get() {
            return known;
        }
        let mut switch = self.overload_switch.borrow_mut();
        let before = switch.current();
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let entries: Vec<_> = handles.map(|handle| handle.entry()).collect();
        switch.record_targets(entries.iter().map(|entry| (&entry.service, &entry.zone)));
        let current = switch.current();
        self.overload_control.set(Some(current));
        for handle in groups.values().flat_map(|group| group.targets()) {
            handle.set_overload_control(current);
        }
        self.allowances.borrow_mut().set_overload_control(current);
        if current != before {
            event::OVERLOAD_CONTROL_CHANGED
                .log(format_args!("overload_control={current} before={before}"));
        }
        current
    }

    /// Returns whether overload control is in force, as [`overload_control`](Self::overload_control)
    /// does, without applying a change of it.
    #[must_use]
    pub fn current_overload_control(&self) -> OverloadControl {
        if let Some(known) = self.overload_control.get() {
            return known;
        }
        let mut switch = self.overload_switch.borrow().clone();
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let entries: Vec<_> = handles.map(|handle| handle.entry()).collect();
        switch.record_targets(entries.iter().map(|entry| (&entry.service, &entry.zone)));
        switch.current()
    }

    /// Records that the entry of a target was added, changed or removed.
    fn record_list_change(&self, target: &TargetId) {
        self.record_digest_change(target);
        self.overload_control.set(None);
        self.leaving_targets.replace(None);
    }

    /// Records that a part of a target's entry changed that only the digest of the list covers.
    fn record_digest_change(&self, target: &TargetId) {
        self.list_changes.borrow_mut().record(target);
        self.targets_digest.set(None);
    }

    /// Marks targets as leaving that another instance reports as leaving, in case this instance's
    /// watch of the list is stalled.
    pub fn mark_leaving(&self, leaving: &[TargetId]) {
        let groups = self.groups.borrow();
        for handle in groups.values().flat_map(|group| group.targets()) {
            if !handle.is_leaving() && leaving.contains(&handle.id()) {
                event::TARGET_CHANGED.log(format_args!(
                    "target={} leaving=true origin=peer",
                    handle.id()
                ));
                handle.mark_leaving();
                let era = self.targets_revision.get().era();
                let now = self.clock.now();
                self.departed.borrow_mut().record(&handle.entry(), era, now);
            }
        }
    }

    /// Records the revision up to which changes of targets were applied.
    pub fn advance_targets_revision(&self, revision: RecordRevision) {
        let known = self.targets_revision.get();
        if revision.era() > known.era() {
            // The digest belongs to a version of the new era.
            self.targets_digest.set(None);
        }
        self.targets_revision.set(known.max(revision));
    }

    /// Returns the revision up to which changes of targets were applied.
    #[must_use]
    pub const fn targets_revision(&self) -> RecordRevision {
        self.targets_revision.get()
    }

    /// Returns the digest of the current list of targets.
    #[must_use]
    pub fn targets_digest(&self) -> TargetsDigest {
        if let Some(known) = self.targets_digest.get() {
            return known;
        }
        let groups = self.groups.borrow();
        let handles = groups.values().flat_map(|group| group.targets());
        let entries: Vec<_> = handles.map(|handle| self.listed_entry(&handle)).collect();
        let digest = TargetsDigest::of(entries.iter().map(AsRef::as_ref));
        self.targets_digest.set(Some(digest));
        let version = digest.in_era(self.targets_revision.get().era());
        self.list_changes.borrow_mut().complete(version);
        digest
    }

    /// Sets the number of instances that share the targets' connections, and the index of this
    /// one among them.
    pub fn set_instances(&self, instances: usize, index: usize) {
        let is_new = (instances, Some(index)) != (self.instances.get(), self.index.get());
        if is_new && instances > 0 {
            self.instances.set(instances);
            self.index.set(Some(index));
            self.update_connection_limits();
        }
    }

    /// Returns the number of instances.
    #[must_use]
    pub const fn instances(&self) -> usize {
        self.instances.get()
    }

    pub(super) fn update_connection_limits(&self) {
        for group in self.groups() {
            self.update_group_limits(&group);
        }
    }

    fn update_group_limits(&self, group: &GroupState) {
        let gateways = self.gateways.borrow();
        let now = self.clock.now();
        let plan = self.plan();
        let connection_limit = plan.connection_limit(group.service());
        let share = ConnectionShare {
            connection_limit,
            instances: self.instances.get(),
            index: self.index.get(),
        };
        for target in group.targets() {
            let pair = gateways.pair_of(&target.id());
            let own_limit = match &pair {
                Some(pair) => {
                    let rank = self.peers.own_rank(pair);
                    rank.connections(connection_limit, self.instances.get())
                }
                None => share.connections(),
            };
            target.set_gateways(pair);
            target.set_limit(own_limit, now);
            target.set_total_weight(plan.total_weight());
        }
    }

    /// Returns whether an epoch is known to be stopped or replaced.
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

    /// Returns the primary of a group and its epoch, if its lease allows new work.
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

    /// Returns the primary of a group and its epoch, if its lease allows new work, it isn't known
    /// to fail and its zone isn't evacuated.
    #[must_use]
    pub fn serving_primary(
        &self,
        group: &GroupState,
        now: MonotonicTime,
    ) -> Option<(GroupEpoch, Rc<TargetHandle>)> {
        let found = self.usable_primary(group, now);
        found.filter(|(_, target)| {
            !target.health().is_failing() && !target.target_use(now).is_evacuated()
        })
    }

    /// Returns whether a target is the primary of its group in the latest known epoch.
    #[must_use]
    pub fn is_primary(&self, target: &TargetHandle) -> bool {
        let leases = self.leases.borrow();
        let newest = leases.newest(&target.entry().service);
        newest.is_some_and(|state| *state.primary == target.id())
    }

    /// Returns whether results of work at the primary of `epoch` are valid.
    #[must_use]
    pub fn is_lease_valid(
        &self,
        service: &ServiceId,
        epoch: GroupEpoch,
        now: MonotonicTime,
    ) -> bool {
        self.leases.borrow().is_valid(service, epoch, now)
    }

    /// Waits until `epoch` is stopped or replaced, so that work at its primary is no longer valid.
    /// Never completes without an epoch.
    pub async fn wait_for_epoch_end(&self, group: &GroupState, epoch: Option<GroupEpoch>) {
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

    /// Records that the instance holds a lease at `now`.
    pub fn record_lease(&self, now: MonotonicTime) {
        self.last_leased_at.set(now);
    }

    /// Returns whether the platform should send callers to this instance.
    #[must_use]
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let leased = self.last_leased_at.get();
        let serving = *self.drain_phase.borrow() == DrainPhase::Serving;
        serving
            && leased != MonotonicTime::default()
            && now.saturating_since(leased) < UNREADY_AFTER
            && self.plan.borrow().version().get() > 0
    }

    /// Returns a new session number.
    pub fn allocate_session_number(&self) -> u64 {
        let session = self.next_session_number.get();
        self.next_session_number.set(session + 1);
        session
    }
}
