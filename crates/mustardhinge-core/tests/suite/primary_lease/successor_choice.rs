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

/// The primary of term 2 is behind a cut; the crashed primary of term 1 comes back, still
/// thinks that it leads, and is the only server that answers.
#[test]
fn a_former_primary_that_comes_back_is_not_adopted() {
    let servers = [server("a", true, 1, 362)];
    assert_eq!(choose(&servers, "b", 2, true), SuccessorChoice::Wait);
}

#[test]
fn a_former_primary_is_no_candidate_either() {
    let servers = [server("a", true, 1, 900), server("c", false, 2, 379)];
    assert_eq!(choose(&servers, "b", 2, true), promote("c"));
}

#[test]
fn a_leader_of_a_later_term_is_adopted() {
    let servers = [server("b", true, 2, 10), server("c", true, 3, 9)];
    assert_eq!(choose(&servers, "b", 2, true), adopt("c", 3));
}

#[test]
fn the_primary_goes_on_if_it_answers_again() {
    let servers = [server("b", true, 2, 10), server("c", false, 2, 9)];
    assert_eq!(choose(&servers, "b", 2, true), adopt("b", 2));
}

#[test]
fn a_leaving_primary_hands_over_to_the_replica_that_received_most() {
    let servers = [
        server("b", true, 2, 10),
        server("a", false, 2, 8),
        server("c", false, 2, 9),
    ];
    assert_eq!(choose(&servers, "b", 2, false), promote("c"));
}

#[test]
fn a_leaving_replica_takes_nothing_over() {
    let mut leaving = server("c", false, 2, 9);
    leaving.is_leaving = true;
    let servers = [server("a", false, 2, 8), leaving];
    assert_eq!(choose(&servers, "b", 2, false), promote("a"));
}

/// A holder died after it had recorded the successor and before it promoted it: the recorded
/// one doesn't lead, and may still be promoted.
#[test]
fn a_recorded_successor_that_does_not_lead_is_promoted() {
    let servers = [server("a", true, 1, 20), server("b", false, 1, 20)];
    assert_eq!(choose(&servers, "b", 2, true), promote("b"));
    let servers = [server("a", true, 1, 20), server("b", true, 2, 20)];
    assert_eq!(choose(&servers, "b", 2, true), adopt("b", 2));
}
