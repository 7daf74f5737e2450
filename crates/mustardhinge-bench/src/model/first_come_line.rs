use std::collections::VecDeque;
use std::time::Duration;

use mustardhinge_core::prelude::MonotonicTime;

use super::model_run::{CONNECTIONS, OBJECTIVE};
use super::{LinePolicy, NextWork, WaitingStatement};

/// Statements at a server at once, as a multiple of its slots.
const IN_FLIGHT_PER_SLOT: usize = 4;

#[derive(Default)]
struct ServerLine {
    waiting: VecDeque<WaitingStatement>,
    running: usize,
    open: VecDeque<usize>,
}

/// A baseline: servers in turn, first come, first served, refused once the objective has passed,
/// and the connection that was used last is kept.
pub struct FirstComeLine {
    lines: Vec<ServerLine>,
    most: usize,
    turn: usize,
}

impl LinePolicy for FirstComeLine {
    const NAME: &'static str = "first-come";

    fn new(_: usize, servers: usize, slots: usize) -> Self {
        Self {
            lines: (0..servers).map(|_| ServerLine::default()).collect(),
            most: slots * IN_FLIGHT_PER_SLOT,
            turn: 0,
        }
    }

    fn choose(&mut self, _: usize, tried: &[usize], _: MonotonicTime) -> Option<usize> {
        self.turn = (self.turn + 1) % self.lines.len();
        let servers = (self.turn..self.lines.len()).chain(0..self.turn);
        servers.into_iter().find(|server| !tried.contains(server))
    }

    fn offer(&mut self, server: usize, statement: WaitingStatement, _: MonotonicTime) -> bool {
        self.lines[server].waiting.push_back(statement);
        true
    }

    fn next(&mut self, server: usize, now: MonotonicTime) -> NextWork {
        let line = &mut self.lines[server];
        let Some(first) = line.waiting.front().copied() else {
            return NextWork::Wait;
        };
        if now >= MonotonicTime::from_millis(first.came) + OBJECTIVE {
            line.waiting.pop_front();
            return NextWork::Refuse(first);
        }
        if line.running >= self.most {
            return NextWork::Wait;
        }
        line.waiting.pop_front();
        line.running += 1;
        NextWork::Send(first)
    }

    fn answered(&mut self, server: usize, _: Duration, _: MonotonicTime) {
        self.lines[server].running -= 1;
    }

    fn turned_away(&mut self, server: usize, _: MonotonicTime) {
        self.lines[server].running -= 1;
    }

    fn behind(&mut self, server: usize, _: MonotonicTime) {
        self.lines[server].running -= 1;
    }

    fn opens(&mut self, server: usize, customer: usize, _: MonotonicTime) -> bool {
        let open = &mut self.lines[server].open;
        let known = open.iter().position(|other| *other == customer);
        if let Some(place) = known {
            open.remove(place);
        } else if open.len() >= CONNECTIONS {
            open.pop_front();
        }
        open.push_back(customer);
        known.is_none()
    }
}
