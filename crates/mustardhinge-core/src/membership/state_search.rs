use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};

use crate::units::MonotonicTime;

/// Number of queries to the first instance that may return nothing new. A relay that was started
/// together with the requester may still be reading the store.
const MAX_FRUITLESS_QUERIES: u32 = 4;
/// Interval between these queries: the relay's read of the store takes a few round trips.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time after which the leader is queried even if the first instance is still busy.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(8);

/// What a query for newer state returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome<A> {
    /// Newer state, which was adopted.
    Adopted,
    /// No newer state.
    NothingNew,
    /// No connection, or no response in time.
    Unreachable,
    /// The instance is sending its state to others; these instances have received it.
    Busy(Vec<A>),
}

/// The next step of a search for newer state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep<A> {
    /// Query this instance after the given delay.
    Query(A, Duration),
    /// Go on at the leader, see [`StateSearch::continue_at_leader`].
    QueryLeader,
    /// The search has ended.
    Done,
}

/// A search for an instance that can send newer state.
///
/// A busy instance refers the requester to those that have received its state, so that the number
/// of sources grows with the number of requesters that have been served.
#[derive(Clone, Debug)]
pub struct StateSearch<A> {
    first: A,
    is_relay: bool,
    is_at_leader: bool,
    began_at: MonotonicTime,
    fruitless_queries: u32,
    queried: Vec<A>,
}

impl<A: Copy + PartialEq> StateSearch<A> {
    /// Begins a search at the instance `first`, which may be the relay of the requester's zone.
    #[must_use]
    pub const fn new(first: A, is_relay: bool, now: MonotonicTime) -> Self {
        Self {
            first,
            is_relay,
            is_at_leader: false,
            began_at: now,
            fruitless_queries: 0,
            queried: Vec::new(),
        }
    }

    /// Returns the first step.
    #[must_use]
    pub const fn first_step(&self) -> SearchStep<A> {
        SearchStep::Query(self.first, Duration::ZERO)
    }

    /// Goes on at the leader, which is the last one to be queried.
    ///
    /// The time for the search begins again, so that a referral of the leader is followed.
    pub fn continue_at_leader(&mut self, leader: A, now: MonotonicTime) -> SearchStep<A> {
        self.first = leader;
        self.began_at = now;
        self.is_relay = false;
        self.is_at_leader = true;
        self.queried.clear();
        self.first_step()
    }

    /// Returns the step after a query to `address`.
    pub fn next_step(
        &mut self,
        address: A,
        outcome: QueryOutcome<A>,
        random: &mut impl Rng,
        now: MonotonicTime,
    ) -> SearchStep<A> {
        let is_late = now.saturating_since(self.began_at) >= MAX_SEARCH_TIME;
        match outcome {
            QueryOutcome::Adopted => SearchStep::Done,
            _ if is_late => self.end_or_query_leader(),
            QueryOutcome::Busy(sources) => {
                let unqueried = sources
                    .into_iter()
                    .filter(|one| !self.queried.contains(one));
                match unqueried.choose(random) {
                    Some(source) => {
                        self.queried.push(source);
                        SearchStep::Query(source, Duration::ZERO)
                    }
                    None => self.retry_first(random),
                }
            }
            _ if address != self.first => self.retry_first(random),
            QueryOutcome::Unreachable => self.end_or_query_leader(),
            QueryOutcome::NothingNew => {
                self.fruitless_queries += 1;
                if self.is_relay && self.fruitless_queries < MAX_FRUITLESS_QUERIES {
                    SearchStep::Query(self.first, RETRY_DELAY)
                } else {
                    self.end_or_query_leader()
                }
            }
        }
    }

    /// Ends the search at an instance that doesn't help. The leader is the last one.
    const fn end_or_query_leader(&self) -> SearchStep<A> {
        if self.is_at_leader {
            SearchStep::Done
        } else {
            SearchStep::QueryLeader
        }
    }

    /// Returns to the first instance, which may know more sources by then. The delay is random, so
    /// that requesters that were refused together don't return together.
    fn retry_first(&mut self, random: &mut impl Rng) -> SearchStep<A> {
        self.queried.clear();
        let delay = RETRY_DELAY.mul_f64(random.random_range(0.5..1.5));
        SearchStep::Query(self.first, delay)
    }
}
