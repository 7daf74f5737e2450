use mustardhinge_core::prelude::{LeaderTerm, LogPosition, TargetId};
use mustardhinge_core::primary_lease::{ServerStatus, SuccessorChoice};

use super::id;

fn server(name: &str, is_primary: bool, term: u64, offset: u64) -> ServerStatus {
    ServerStatus {
        target: id(name),
        is_primary,
        term: LeaderTerm::new(term),
        received: LogPosition::new(LeaderTerm::new(term), offset),
        is_leaving: false,
    }
}

fn choose(servers: &[ServerStatus], old: &str, term: u64, may_stay: bool) -> SuccessorChoice {
    SuccessorChoice::choose(servers, &id(old), LeaderTerm::new(term), may_stay)
}

fn promote(name: &str) -> SuccessorChoice {
    SuccessorChoice::Promote(id::<TargetId>(name))
}

fn adopt(name: &str, term: u64) -> SuccessorChoice {
    SuccessorChoice::Adopt(id::<TargetId>(name), LeaderTerm::new(term))
}

/// The primary of term 2 is partitioned. The crashed primary of term 1 has restarted, still
/// reports itself primary, and is the only server that responds.
#[test]
fn a_restarted_former_primary_is_not_adopted() {
    let servers = [server("a", true, 1, 362)];
    assert_eq!(choose(&servers, "b", 2, true), SuccessorChoice::Wait);
}

#[test]
fn a_former_primary_is_not_promoted() {
    let servers = [server("a", true, 1, 900), server("c", false, 2, 379)];
    assert_eq!(choose(&servers, "b", 2, true), promote("c"));
}

#[test]
fn a_primary_of_a_later_term_is_adopted() {
    let servers = [server("b", true, 2, 10), server("c", true, 3, 9)];
    assert_eq!(choose(&servers, "b", 2, true), adopt("c", 3));
}

#[test]
fn the_primary_stays_if_it_responds_again() {
    let servers = [server("b", true, 2, 10), server("c", false, 2, 9)];
    assert_eq!(choose(&servers, "b", 2, true), adopt("b", 2));
}

#[test]
fn the_replica_that_received_most_succeeds_a_leaving_primary() {
    let servers = [
        server("b", true, 2, 10),
        server("a", false, 2, 8),
        server("c", false, 2, 9),
    ];
    assert_eq!(choose(&servers, "b", 2, false), promote("c"));
}

#[test]
fn a_leaving_replica_is_not_promoted() {
    let mut leaving = server("c", false, 2, 9);
    leaving.is_leaving = true;
    let servers = [server("a", false, 2, 8), leaving];
    assert_eq!(choose(&servers, "b", 2, false), promote("a"));
}

/// A leader crashed after it recorded the successor and before it promoted it. The recorded
/// server is still a replica and must be promoted.
#[test]
fn a_recorded_successor_that_is_not_primary_is_promoted() {
    let servers = [server("a", true, 1, 20), server("b", false, 1, 20)];
    assert_eq!(choose(&servers, "b", 2, true), promote("b"));
    let servers = [server("a", true, 1, 20), server("b", true, 2, 20)];
    assert_eq!(choose(&servers, "b", 2, true), adopt("b", 2));
}
