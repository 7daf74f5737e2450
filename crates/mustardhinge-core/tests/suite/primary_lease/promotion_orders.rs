//! Which server may become primary while orders to promote may still take effect.

use mustardhinge_core::prelude::{LeaderTerm, LogPosition, MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::{
    OrderOutcome, PromotionOrders, ServerStatus, SuccessorChoice,
};
use proptest::prelude::*;

/// Latest time after sending at which an order without a response takes effect, in milliseconds.
const MAX_LATENESS_MS: u64 = 6_000;
/// Latest time after sending at which an accepted order takes effect, in milliseconds.
const MAX_PROMOTION_MS: u64 = 2_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn target(index: usize) -> TargetId {
    format!("server-{index}").parse().unwrap()
}

fn status(index: usize, is_primary: bool, term: u64) -> ServerStatus {
    ServerStatus {
        target: target(index),
        is_primary,
        term: LeaderTerm::new(term),
        received: LogPosition::default(),
        is_leaving: false,
    }
}

fn restrict(orders: &PromotionOrders, servers: &[ServerStatus], now: u64) -> SuccessorChoice {
    let term = LeaderTerm::new(1);
    let choice = SuccessorChoice::choose(servers, &target(0), term, true);
    orders.restrict(choice, &target(0), (servers, term), at(now))
}

/// The order was accepted and takes effect shortly; the old primary responds again just before.
/// Guards against keeping the old primary, which then confirms writes beside its successor.
#[test]
fn the_old_primary_is_not_kept_after_an_accepted_order() {
    let mut orders = PromotionOrders::default();
    orders.record(&target(1), at(1_000), OrderOutcome::Accepted);
    let servers = [status(0, true, 1), status(1, false, 1)];
    assert_eq!(
        restrict(&orders, &servers, 1_300),
        SuccessorChoice::Promote(target(1))
    );
}

/// Guards against another candidate while the first one doesn't respond but may yet be promoted.
#[test]
fn no_other_server_is_promoted_while_an_order_is_unanswered() {
    let mut orders = PromotionOrders::default();
    orders.record(&target(1), at(1_000), OrderOutcome::Unknown);
    let servers = [status(2, false, 1)];
    assert_eq!(restrict(&orders, &servers, 6_900), SuccessorChoice::Wait);
    assert_eq!(
        restrict(&orders, &servers, 8_100),
        SuccessorChoice::Promote(target(2))
    );
}

/// Failure: the order of a lost leader took effect after its successor had promoted another server.
#[test]
fn an_order_of_an_earlier_leader_binds_its_successor() {
    let mut orders = PromotionOrders::default();
    orders.inherit(&target(1), at(1_000));
    let servers = [status(1, false, 1), status(2, false, 1)];
    assert_eq!(
        restrict(&orders, &servers, 1_100),
        SuccessorChoice::Promote(target(1))
    );
    assert_eq!(
        restrict(&orders, &servers[1..], 7_900),
        SuccessorChoice::Wait
    );
    assert_eq!(
        restrict(&orders, &servers[1..], 8_100),
        SuccessorChoice::Promote(target(2))
    );
}

/// Failure: the successor's own order for the same target took effect, and those of the lost leader no
/// longer counted.
#[test]
fn orders_of_an_earlier_leader_count_after_one_has_taken_effect() {
    let mut orders = PromotionOrders::default();
    orders.inherit(&target(1), at(1_000));
    orders.record(&target(1), at(1_100), OrderOutcome::Accepted);
    orders.record_promoted(&target(1));
    assert_eq!(orders.pending(at(7_900)), Some(&target(1)));
    assert_eq!(orders.pending(at(8_100)), None);
}

/// Guards against a wait of seconds for an order that never left the instance.
#[test]
fn an_order_that_was_not_executed_binds_nothing() {
    let mut orders = PromotionOrders::default();
    orders.record(&target(1), at(1_000), OrderOutcome::NotExecuted);
    let servers = [status(0, true, 1), status(1, false, 1)];
    let kept = SuccessorChoice::Adopt(target(0), LeaderTerm::new(1));
    assert_eq!(restrict(&orders, &servers, 1_100), kept);
}

/// Guards against a late failover if the new primary fails right after its promotion.
#[test]
fn an_order_that_took_effect_binds_nothing() {
    let mut orders = PromotionOrders::default();
    orders.record(&target(1), at(1_000), OrderOutcome::Accepted);
    orders.record_promoted(&target(1));
    let servers = [status(2, false, 2)];
    let next = SuccessorChoice::Promote(target(2));
    assert_eq!(restrict(&orders, &servers, 1_500), next);
}

/// An order was repeated because its response was lost, and both may be executed. Guards against
/// a third primary that the second execution would replace.
#[test]
fn a_repeated_order_still_binds_after_the_promotion() {
    let mut orders = PromotionOrders::default();
    orders.record(&target(1), at(1_000), OrderOutcome::Unknown);
    orders.record(&target(1), at(2_200), OrderOutcome::Accepted);
    orders.record_promoted(&target(1));
    let servers = [status(2, false, 2)];
    assert_eq!(restrict(&orders, &servers, 4_000), SuccessorChoice::Wait);
}

/// Two orders had no response, and one of them was executed. Guards against forgetting the other.
#[test]
fn the_last_of_two_unanswered_orders_still_binds_after_the_promotion() {
    let mut orders = PromotionOrders::default();
    orders.record(&target(1), at(1_000), OrderOutcome::Unknown);
    orders.record(&target(1), at(3_000), OrderOutcome::Unknown);
    orders.record_promoted(&target(1));
    let servers = [status(2, false, 2)];
    assert_eq!(restrict(&orders, &servers, 9_900), SuccessorChoice::Wait);
    let next = SuccessorChoice::Promote(target(2));
    assert_eq!(restrict(&orders, &servers, 10_100), next);
}

/// The promoted server is to be replaced while a repeated order for it may still be executed.
/// Guards against a successor that the late execution replaces in turn, and against taking the
/// server that is to be replaced as its own successor.
#[test]
fn a_server_with_a_pending_order_has_no_successor_until_the_order_ends() {
    let mut orders = PromotionOrders::default();
    orders.record(&target(1), at(1_000), OrderOutcome::Unknown);
    orders.record(&target(1), at(2_200), OrderOutcome::Accepted);
    orders.record_promoted(&target(1));
    let servers = [status(1, true, 2), status(2, false, 2)];
    let term = LeaderTerm::new(2);
    let choose = |now| {
        let choice = SuccessorChoice::choose(&servers, &target(1), term, false);
        orders.restrict(choice, &target(1), (&servers, term), at(now))
    };
    assert_eq!(choose(4_000), SuccessorChoice::Wait);
    assert_eq!(choose(8_100), SuccessorChoice::Promote(target(2)));
}

/// A target accepts every order and never becomes primary. Guards against a group that waits for
/// it forever while another replica could take over.
#[test]
fn a_target_that_is_never_promoted_does_not_bind_the_group_for_good() {
    let mut orders = PromotionOrders::default();
    let servers = [status(1, false, 1), status(2, false, 1)];
    let mut now = 1_000;
    orders.record(&target(1), at(now), OrderOutcome::Accepted);
    while restrict(&orders, &servers, now) == SuccessorChoice::Promote(target(1)) {
        assert!(now < 20_000, "still ordered at {now}");
        orders.record(&target(1), at(now), OrderOutcome::Accepted);
        now += 1_200;
    }
    assert_eq!(restrict(&orders, &servers, now), SuccessorChoice::Wait);
    assert_eq!(orders.pending(at(now + 4_000)), None);
}

/// One order of a random history.
#[derive(Clone, Copy, Debug)]
struct Order {
    gap_ms: u64,
    outcome: OrderOutcome,
    takes_effect_after_ms: Option<u64>,
}

fn order() -> impl Strategy<Value = Order> {
    let lost = (0..=MAX_LATENESS_MS, any::<bool>())
        .prop_map(|(after, is_executed)| (OrderOutcome::Unknown, is_executed.then_some(after)));
    let accepted = (0..=MAX_PROMOTION_MS).prop_map(|after| (OrderOutcome::Accepted, Some(after)));
    let refused = Just((OrderOutcome::NotExecuted, None));
    let kind = prop_oneof![lost, accepted, refused];
    (100..3_000_u64, kind).prop_map(|(gap_ms, (outcome, takes_effect_after_ms))| Order {
        gap_ms,
        outcome,
        takes_effect_after_ms,
    })
}

proptest! {
    /// Orders are lost, executed late or executed twice, and any server may respond at any time.
    /// Guards against two servers that lead in turns: whenever the choice names a server, no
    /// order for another one takes effect afterwards.
    #[test]
    fn the_chosen_server_is_never_replaced_by_an_earlier_order(
        history in proptest::collection::vec(order(), 1..6),
        responding in proptest::collection::vec(any::<[bool; 3]>(), 6),
        checks in proptest::collection::vec(0..12_000_u64, 6),
    ) {
        let mut orders = PromotionOrders::default();
        let mut effects: Vec<(TargetId, u64)> = Vec::new();
        let mut now = 0;
        for (index, order) in history.iter().enumerate() {
            now += order.gap_ms + checks[index];
            let servers: Vec<_> = (0..3)
                .filter(|server| responding[index][*server])
                .map(|server| status(server, server == 0, 1))
                .collect();
            let chosen = match restrict(&orders, &servers, now) {
                SuccessorChoice::Adopt(chosen, _) | SuccessorChoice::Promote(chosen) => chosen,
                SuccessorChoice::Wait => continue,
            };
            for (ordered, effect) in &effects {
                prop_assert!(
                    *effect <= now || *ordered == chosen,
                    "{chosen} chosen at {now}, {ordered} promoted at {effect}"
                );
            }
            orders.record(&chosen, at(now), order.outcome);
            effects.extend(order.takes_effect_after_ms.map(|after| (chosen, now + after)));
        }
    }
}
