use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;

use super::WaitingStatement;

/// What an instance does next about one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextWork {
    /// Nothing now.
    Wait,
    /// It sends a statement.
    Send(WaitingStatement),
    /// It refuses one that waited.
    Refuse(WaitingStatement),
}

/// How one instance places statements and lets them wait.
pub trait LinePolicy {
    /// The name in reports.
    const NAME: &'static str;

    /// Makes the policy of an instance, one of `instances`, in front of `servers` that run
    /// `slots` statements each.
    fn new(instances: usize, servers: usize, slots: usize) -> Self;

    /// Returns the server for a statement, none of `tried`; none if no other can run it.
    fn choose(&mut self, customer: usize, tried: &[usize], now: MonotonicTime) -> Option<usize>;

    /// Lets a statement wait for a server. Returns whether it does; else it is refused.
    fn offer(&mut self, server: usize, statement: WaitingStatement, now: MonotonicTime) -> bool;

    /// Returns what to do next about a server.
    fn next(&mut self, server: usize, now: MonotonicTime) -> NextWork;

    /// Takes an answer that took `took`.
    fn answered(&mut self, server: usize, took: Duration, now: MonotonicTime);

    /// Takes that a server was full.
    fn turned_away(&mut self, server: usize, now: MonotonicTime);

    /// Takes that a server was behind.
    fn behind(&mut self, server: usize, now: MonotonicTime);

    /// Returns whether a connection has to be opened to send a statement of a customer.
    fn opens(&mut self, server: usize, customer: usize, now: MonotonicTime) -> bool;
}
