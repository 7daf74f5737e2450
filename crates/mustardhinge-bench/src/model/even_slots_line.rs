use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;

use super::{FirstComeLine, LinePolicy, NextWork, WaitingStatement};

/// A baseline: as [`FirstComeLine`], but each instance uses an even part of a server's slots, one
/// at least.
pub struct EvenSlotsLine {
    line: FirstComeLine,
    running: Vec<usize>,
    part: usize,
}

impl LinePolicy for EvenSlotsLine {
    const NAME: &'static str = "even-slots";

    fn new(instances: usize, servers: usize, slots: usize) -> Self {
        Self {
            line: FirstComeLine::new(instances, servers, slots),
            running: vec![0; servers],
            part: (slots / instances).max(1),
        }
    }

    fn choose(&mut self, customer: usize, tried: &[usize], now: MonotonicTime) -> Option<usize> {
        self.line.choose(customer, tried, now)
    }

    fn offer(&mut self, server: usize, statement: WaitingStatement, now: MonotonicTime) -> bool {
        self.line.offer(server, statement, now)
    }

    fn next(&mut self, server: usize, now: MonotonicTime) -> NextWork {
        if self.running[server] >= self.part {
            return NextWork::Wait;
        }
        let next = self.line.next(server, now);
        if matches!(next, NextWork::Send(_)) {
            self.running[server] += 1;
        }
        next
    }

    fn answered(&mut self, server: usize, took: Duration, now: MonotonicTime) {
        self.running[server] -= 1;
        self.line.answered(server, took, now);
    }

    fn turned_away(&mut self, server: usize, now: MonotonicTime) {
        self.running[server] -= 1;
        self.line.turned_away(server, now);
    }

    fn behind(&mut self, server: usize, now: MonotonicTime) {
        self.running[server] -= 1;
        self.line.behind(server, now);
    }

    fn opens(&mut self, server: usize, customer: usize, now: MonotonicTime) -> bool {
        self.line.opens(server, customer, now)
    }
}
