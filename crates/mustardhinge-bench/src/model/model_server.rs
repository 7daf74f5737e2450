use std::collections::VecDeque;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::WaitingStatement;

/// Statements that wait at a server before it turns others away.
const QUEUE: usize = 16;
/// Time of a statement, in milliseconds.
pub(super) const SERVICE: u64 = 14;
/// Time of a slot that opening a connection takes, in milliseconds.
pub(super) const OPENING: u64 = 12;

/// A statement at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentStatement {
    pub(super) statement: WaitingStatement,
    pub(super) sent: u64,
    pub(super) opens: bool,
}

/// A server with a few slots and a short queue.
pub(super) struct ModelServer {
    slots: Vec<Option<(SentStatement, f64)>>,
    waiting: VecDeque<SentStatement>,
}

impl ModelServer {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots: vec![None; slots],
            waiting: VecDeque::new(),
        }
    }

    /// Takes a statement; returns whether there was room.
    pub(super) fn take(&mut self, sent: SentStatement) -> bool {
        let has_room = self.waiting.len() < QUEUE;
        if has_room {
            self.waiting.push_back(sent);
        }
        has_room
    }

    /// Works for a millisecond at a speed; returns what it finished.
    pub(super) fn work(&mut self, speed: f64, random: &mut SmallRng) -> Vec<SentStatement> {
        let mut done = Vec::new();
        for slot in &mut self.slots {
            if let Some((sent, left)) = slot {
                *left -= speed;
                if *left <= 0.0 {
                    done.push(*sent);
                    *slot = None;
                }
            }
            if slot.is_none()
                && let Some(next) = self.waiting.pop_front()
            {
                let service = random.random_range(SERVICE / 2..=SERVICE * 3 / 2);
                let opening = if next.opens { OPENING } else { 0 };
                // Times are small.
                *slot = Some((next, (service + opening) as f64));
            }
        }
        done
    }
}
