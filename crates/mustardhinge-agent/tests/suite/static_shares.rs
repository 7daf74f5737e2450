use mustardhinge_agent::budget::StaticShares;
use mustardhinge_config::document::{CustomerEntry, LimitEntry};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::budget::BudgetRequest;
use proptest::prelude::*;

const RATE: u64 = 80;
const BURST: u64 = 160;

fn customer() -> CustomerEntry {
    CustomerEntry {
        name: "seeb".parse().unwrap(),
        rate: RequestRate::from_millis(RATE * 1_000),
        burst: RequestBurst::from_millis(BURST * 1_000),
        keys: Vec::new(),
    }
}

fn request(sequence: u64, spent: u32, wanted: u32) -> BudgetRequest {
    BudgetRequest {
        incarnation: 1,
        sequence,
        service: "haulage-1".parse().unwrap(),
        customer: "seeb".parse().unwrap(),
        spent,
        wanted,
    }
}

#[test]
fn a_repeated_request_is_answered_once() {
    let (customer, limits) = (customer(), LimitEntry::default());
    let mut shares = StaticShares::default();
    let known = Some((&customer, &limits));
    shares.answer(&request(1, 0, 1), known, MonotonicTime::from_millis(0));
    let now = MonotonicTime::from_millis(1_000);
    let first = shares.answer(&request(2, 0, 4), known, now);
    let again = shares.answer(&request(2, 0, 4), known, now);
    let next = shares.answer(&request(3, 0, 100), known, now);
    assert_eq!((first.granted, again.granted), (4, 4));
    assert_eq!(next.granted, 6);
}

#[test]
fn an_unknown_customer_gets_nothing() {
    let mut shares = StaticShares::default();
    let now = MonotonicTime::from_millis(9_000);
    assert_eq!(shares.answer(&request(1, 0, 1), None, now).granted, 0);
}

proptest! {
    /// Grants that are spent at the last moment stay within the share of rate
    /// and burst in every window.
    #[test]
    fn every_window_stays_within_the_share(
        steps in prop::collection::vec((1_u64..400, 0_u32..40, prop::bool::ANY), 1..80),
    ) {
        let (customer, limits) = (customer(), LimitEntry::default());
        let instances = u64::from(limits.max_instances);
        let mut shares = StaticShares::default();
        let mut now_ms = 0;
        let mut held: Vec<(u64, u32)> = Vec::new();
        let mut admitted: Vec<(u64, u32)> = Vec::new();
        for (index, (elapsed, wanted, spends)) in steps.into_iter().enumerate() {
            now_ms += elapsed;
            held.retain(|(lapses, _)| *lapses > now_ms);
            let spent = if spends { held.drain(..).map(|(_, count)| count).sum() } else { 0 };
            admitted.push((now_ms, spent));
            let now = MonotonicTime::from_millis(now_ms);
            let request = request(index as u64 + 1, spent, wanted);
            let grant = shares.answer(&request, Some((&customer, &limits)), now);
            held.push((now_ms + u64::from(grant.valid_ms), grant.granted));
        }
        for (first, (start, _)) in admitted.iter().enumerate() {
            let mut sum = 0;
            for (time, count) in &admitted[first..] {
                sum += u64::from(*count);
                let allowed = BURST / instances + RATE * (time - start) / 1_000 / instances;
                prop_assert!(sum <= allowed + 1, "{sum} in {} ms", time - start);
            }
        }
    }
}
