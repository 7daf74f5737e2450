use std::time::Duration;

use mustardhinge_core::budget::lease::LeaseValidity;
use mustardhinge_core::budget::zone::{
    BudgetRecord, RecordError, RecordWrite, ShareMove, ZoneLedger, ZoneShare,
};
use mustardhinge_core::budget::{
    BudgetLimit, ClientId, LedgerError, LedgerRequest, LedgerResponse, RequestAmount, ShareFraction,
};
use mustardhinge_core::prelude::*;
use proptest::prelude::*;

/// The customer's rate and burst across all zones.
const RATE: u64 = 120;
const BURST: u64 = 120;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn zones() -> [ZoneId; 3] {
    ["a", "b", "c"].map(zone)
}

fn customer() -> CustomerId {
    "sohar".parse().unwrap()
}

const fn req(requests: u64) -> RequestAmount {
    RequestAmount::from_requests(requests)
}

/// A third of the burst, rounded down.
const FULL: RequestAmount = RequestAmount::from_millis(39_999);

fn limit() -> BudgetLimit {
    let rate = RequestRate::from_millis(RATE * 1_000);
    BudgetLimit::new(rate, RequestBurst::from_millis(BURST * 1_000))
}

fn validity(epoch: u64, flexible_ms: u64, floor_ms: u64) -> LeaseValidity {
    LeaseValidity {
        epoch,
        flexible_until: at(flexible_ms),
        floor_until: Some(at(floor_ms)),
    }
}

fn long(epoch: u64) -> LeaseValidity {
    validity(epoch, 1_000_000, 1_000_000)
}

/// The stored record.
#[derive(Default)]
struct RecordStore(DocumentVersion, BudgetRecord);

impl RecordStore {
    fn write(&mut self, write: &RecordWrite) -> bool {
        let is_expected = write.expected == self.0;
        if is_expected {
            *self = Self(self.0.next(), write.record.clone());
        }
        is_expected
    }

    fn notify(&self, ledger: &mut ZoneLedger) {
        ledger.on_record(self.0, self.1.clone()).unwrap();
    }

    /// Claims a zone's share for a new ledger that opens at `now`.
    fn open(&mut self, name: &str, epoch: u64, now: MonotonicTime) -> ZoneLedger {
        let mut ledger = ZoneLedger::new(zone(name));
        ledger.set_limits([(customer(), limit())], now);
        if self.0 > DocumentVersion::default() {
            self.notify(&mut ledger);
        }
        let claim = ledger.step(Some(long(epoch)), &zones(), now).unwrap();
        assert!(self.write(&claim));
        self.notify(&mut ledger);
        assert!(ledger.step(Some(long(epoch)), &zones(), now).is_none());
        ledger
    }
}

fn request(from: &str, sequence: u64, spent_total: RequestAmount, waiting: u64) -> LedgerRequest {
    LedgerRequest {
        client: ClientId {
            instance: format!("i-{from}").parse().unwrap(),
            incarnation: 1,
        },
        zone: zone(from),
        ledger_epoch: 1,
        sequence,
        spent_total,
        held: req(0),
        waiting: req(waiting),
        wanted: req(waiting),
    }
}

fn request_grant(
    ledger: &mut ZoneLedger,
    request: &LedgerRequest,
    validity: LeaseValidity,
    now: MonotonicTime,
) -> Result<LedgerResponse, LedgerError> {
    ledger.handle_request(&customer(), request, Some(validity), now)
}

/// Requests grants from zone b, all of which are spent, until a move is planned.
fn request_until_move(ledger: &mut ZoneLedger) -> (RecordWrite, MonotonicTime) {
    let mut spent = req(0);
    for turn in 1..200 {
        let now = at(2_000 + turn * 100);
        let response = request_grant(ledger, &request("b", turn, spent, 2), long(1), now).unwrap();
        spent = spent.saturating_add(response.granted);
        if let Some(write) = ledger.step(Some(long(1)), &zones(), now) {
            return (write, now);
        }
    }
    panic!("no move was planned");
}

fn flexible(record: &BudgetRecord, name: &str) -> u32 {
    let share = record.zones.get(&zone(name)).unwrap();
    share.flexible_of(&customer()).as_millionths()
}

/// Returns the amount that a full ledger can grant at once.
fn grantable(ledger: &mut ZoneLedger, sequence: u64, now: MonotonicTime) -> RequestAmount {
    ledger.step(Some(long(1)), &zones(), now);
    // By then, earlier grants have expired and the ledger refills.
    ledger.outstanding(now + Duration::from_secs(2));
    let later = now + Duration::from_secs(60);
    let response = request_grant(
        ledger,
        &request("c", sequence, req(0), 1_000),
        long(1),
        later,
    );
    response.unwrap().granted
}

#[test]
fn a_share_starts_empty_and_fills_to_its_fraction() {
    let mut store = RecordStore::default();
    let mut ledger = store.open("a", 1, at(0));
    assert_eq!(
        request_grant(&mut ledger, &request("a", 1, req(0), 50), long(1), at(0))
            .unwrap()
            .granted,
        req(0)
    );
    let full = request_grant(
        &mut ledger,
        &request("a", 2, req(0), 50),
        long(1),
        at(5_000),
    )
    .unwrap();
    assert_eq!(full.granted, FULL);
}

#[test]
fn no_grants_before_the_claim() {
    let mut ledger = ZoneLedger::new(zone("a"));
    ledger.set_limits([(customer(), limit())], at(0));
    let refused = request_grant(&mut ledger, &request("a", 1, req(0), 1), long(1), at(5_000));
    assert_eq!(refused, Err(LedgerError::NotHolder));
    assert!(ledger.step(Some(long(1)), &zones(), at(5_000)).is_some());
    let refused = request_grant(&mut ledger, &request("a", 2, req(0), 1), long(1), at(9_000));
    assert_eq!(refused, Err(LedgerError::NotHolder));
}

#[test]
fn no_grant_outlasts_the_lease() {
    let mut ledger = RecordStore::default().open("a", 1, at(0));
    let lease = validity(1, 10_000, 20_000);
    let whole = request_grant(&mut ledger, &request("a", 1, req(0), 50), lease, at(8_900)).unwrap();
    assert_eq!(whole.granted, FULL);
    let mut ledger = RecordStore::default().open("a", 1, at(0));
    let floor = request_grant(&mut ledger, &request("a", 1, req(0), 50), lease, at(8_950)).unwrap();
    assert_eq!(floor.granted, req(30));
    let refused = request_grant(&mut ledger, &request("a", 2, req(0), 1), lease, at(18_950));
    assert_eq!(refused, Err(LedgerError::NotHolder));
}

#[test]
fn a_claim_rejects_writes_of_an_earlier_holder() {
    let mut store = RecordStore::default();
    let mut first = store.open("a", 1, at(0));
    let (late, now) = request_until_move(&mut first);
    let mut second = store.open("a", 2, now);
    assert!(!store.write(&late), "the late write must be rejected");
    store.notify(&mut second);
    assert_eq!(flexible(&store.1, "a"), 83_333);
}

#[test]
fn a_move_is_subtracted_before_it_is_sent() {
    let mut ledger = RecordStore::default().open("a", 1, at(0));
    let (write, now) = request_until_move(&mut ledger);
    let moved = 83_333 - flexible(&write.record, "a");
    assert!(moved > 20_000, "{moved} moved");
    let fraction = ShareFraction::from_millionths(333_333 - moved);
    let burst = RequestAmount::from_millis(fraction.of(BURST * 1_000));
    assert_eq!(grantable(&mut ledger, 1_000, now), burst);
}

#[test]
fn a_move_stays_subtracted_until_a_newer_record_is_read() {
    let mut store = RecordStore::default();
    let mut ledger = store.open("a", 1, at(0));
    let (write, now) = request_until_move(&mut ledger);
    // The response is lost and an old record is read: the write may still take effect.
    store.notify(&mut ledger);
    assert_eq!(ledger.step(Some(long(1)), &zones(), now), Some(write));
    assert!(grantable(&mut ledger, 1_000, now) < FULL);
    // Another zone's claim was written first, so the write can no longer take effect.
    let _other = store.open("b", 1, now);
    store.notify(&mut ledger);
    let later = now + Duration::from_secs(120);
    assert_eq!(grantable(&mut ledger, 1_001, later), FULL);
}

#[test]
fn a_move_increases_the_share_of_the_destination() {
    let mut store = RecordStore::default();
    let mut source = store.open("a", 1, at(0));
    let mut destination = store.open("b", 1, at(0));
    store.notify(&mut source);
    let (write, now) = request_until_move(&mut source);
    assert!(store.write(&write));
    store.notify(&mut destination);
    store.notify(&mut source);
    let (source_grant, destination_grant) = (
        grantable(&mut source, 1_000, now),
        grantable(&mut destination, 1, now),
    );
    assert!(
        source_grant < FULL && destination_grant > FULL,
        "{source_grant} and {destination_grant}"
    );
    assert!(source_grant.saturating_add(destination_grant) <= req(2 * BURST / 3));
}

#[test]
fn an_old_record_is_ignored() {
    let mut store = RecordStore::default();
    let mut ledger = store.open("a", 1, at(0));
    let old = (store.0, store.1.clone());
    let (write, _) = request_until_move(&mut ledger);
    assert!(store.write(&write));
    store.notify(&mut ledger);
    ledger.on_record(old.0, old.1).unwrap();
    assert_eq!(ledger.get_version(), store.0);
}

#[test]
fn a_record_that_exceeds_the_whole_is_not_used() {
    let mut ledger = RecordStore::default().open("a", 1, at(0));
    let mut record = BudgetRecord::even(zones());
    let greedy = ZoneShare {
        flexible: ShareFraction::from_millionths(400_000),
        ..ZoneShare::default()
    };
    record.zones.insert(zone("d"), greedy);
    let refused = ledger.on_record(DocumentVersion::new(99), record);
    assert_eq!(refused, Err(RecordError::ExceedsWhole));
}

#[test]
fn grants_of_an_earlier_lease_expire_before_new_ledgers_open() {
    let mut store = RecordStore::default();
    let mut ledger = store.open("a", 1, at(0));
    assert_eq!(
        request_grant(
            &mut ledger,
            &request("a", 1, req(0), 50),
            long(1),
            at(5_000)
        )
        .unwrap()
        .granted,
        FULL
    );
    let claim = ledger.step(Some(long(2)), &zones(), at(5_100)).unwrap();
    assert!(store.write(&claim));
    store.notify(&mut ledger);
    ledger.step(Some(long(2)), &zones(), at(5_200));
    let refused = request_grant(
        &mut ledger,
        &request("a", 2, req(0), 50),
        long(2),
        at(5_900),
    );
    assert_eq!(refused, Err(LedgerError::NotHolder));
    ledger.step(Some(long(2)), &zones(), at(6_100));
    let response = request_grant(
        &mut ledger,
        &request("a", 3, req(0), 50),
        long(2),
        at(6_200),
    )
    .unwrap();
    assert_eq!(
        (response.ledger_epoch, response.granted),
        (2, RequestAmount::from_millis(3_999))
    );
}

proptest! {
    /// After any sequence of moves, a customer's shares sum to at most the whole.
    #[test]
    fn moves_keep_the_sum(
        moves in prop::collection::vec((0_usize..3, 0_usize..3, 0_u32..400_000), 0..30),
    ) {
        let mut record = BudgetRecord::even(zones());
        for (from, to, fraction) in moves {
            let share_move = ShareMove {
                customer: customer(),
                from: zones()[from].clone(),
                to: zones()[to].clone(),
                fraction: ShareFraction::from_millionths(fraction),
            };
            record = record.moved(&[share_move]).unwrap_or(record);
            prop_assert_eq!(record.check(), Ok(()));
            let sum: u32 = ["a", "b", "c"].iter().map(|name| flexible(&record, name)).sum();
            prop_assert_eq!(sum, 249_999);
        }
    }
}

/// An outstanding amount can't move: otherwise both zones could grant it.
#[test]
fn outstanding_grants_do_not_move() {
    let mut ledger = RecordStore::default().open("a", 1, at(0));
    let mut spent = req(0);
    for turn in 1..120 {
        let now = at(2_000 + turn * 100);
        let response =
            request_grant(&mut ledger, &request("b", turn, spent, 2), long(1), now).unwrap();
        spent = spent.saturating_add(response.granted);
    }
    let now = at(14_000);
    let mut other = ledger.clone();
    assert!(other.step(Some(long(1)), &zones(), now).is_some());
    request_grant(&mut ledger, &request("a", 1, req(0), 1_000), long(1), now).unwrap();
    assert!(ledger.step(Some(long(1)), &zones(), now).is_none());
}
