use std::time::Duration;

use mustardhinge_core::connection::UseFrequency;
use mustardhinge_core::placement::{LatencyEstimate, PlacementCandidate, ReadPlacement};
use mustardhinge_core::prelude::{CustomerId, MonotonicTime};
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, SlotWindow, WaitingItem,
};

use super::model_run::{CONNECTIONS, CUSTOMERS, OBJECTIVE};
use super::{LinePolicy, NextWork, WaitingStatement};

/// Part of the objective, in quarters, that a statement may be expected to wait, as in the
/// resident process.
const WAIT_QUARTERS: u32 = 3;
/// Part of the objective that an answer may take before the window shrinks.
const PATIENCE_PARTS: u32 = 3;
/// Cost that a customer's turn is worth.
const QUANTUM: u32 = 1;
/// Service time before any was seen.
const FIRST_SERVICE: Duration = Duration::from_millis(20);
/// How long a server that was behind is left out.
const BEHIND_FOR: Duration = Duration::from_millis(300);

struct ServerLine {
    queue: FairQueue<WaitingStatement>,
    /// Statements that made room for those of other customers.
    displaced: Vec<WaitingStatement>,
    window: SlotWindow,
    running: usize,
    meter: LatencyEstimate,
    behind_at: Option<MonotonicTime>,
    open: Vec<usize>,
}

/// What the resident process does: a fair queue and a window in front of each server, refusal on
/// arrival, the server with the least expected time, connections to the customers that come most.
pub struct FairLine {
    lines: Vec<ServerLine>,
    slots: usize,
    uses: [UseFrequency; CUSTOMERS],
    ids: Vec<CustomerId>,
}

impl LinePolicy for FairLine {
    const NAME: &'static str = "fair-line";

    fn new(_: usize, servers: usize, slots: usize) -> Self {
        let limits = QueueLimits::new()
            .quantum(QUANTUM)
            .slots(u32::try_from(slots).unwrap_or(1))
            .initial_service_time(FIRST_SERVICE);
        let line = |_| ServerLine {
            queue: FairQueue::new(limits),
            displaced: Vec::new(),
            window: SlotWindow::new(slots),
            running: 0,
            meter: LatencyEstimate::default(),
            behind_at: None,
            open: Vec::new(),
        };
        let ids = (0..CUSTOMERS).filter_map(|customer| format!("c{customer}").parse().ok());
        Self {
            lines: (0..servers).map(line).collect(),
            slots,
            uses: [UseFrequency::default(); CUSTOMERS],
            ids: ids.collect(),
        }
    }

    fn choose(&mut self, customer: usize, tried: &[usize], now: MonotonicTime) -> Option<usize> {
        let candidate = |(server, line): (usize, &ServerLine)| PlacementCandidate {
            is_primary: server == 0,
            is_same_zone: true,
            is_leaving: false,
            is_failing: false,
            lacks_position: false,
            is_too_stale: line
                .behind_at
                .is_some_and(|at| now.saturating_since(at) < BEHIND_FOR),
            in_flight: line.running + line.queue.len(),
            slots: self.slots,
            typical_latency: line.meter.typical(now),
            has_connection: line.open.contains(&customer),
        };
        let candidates: Vec<_> = self.lines.iter().enumerate().map(candidate).collect();
        ReadPlacement::choose(&candidates, tried)
    }

    fn offer(&mut self, server: usize, statement: WaitingStatement, now: MonotonicTime) -> bool {
        let item = WaitingItem {
            customer: self.ids[statement.customer].clone(),
            deadline: MonotonicTime::from_millis(statement.came) + OBJECTIVE * WAIT_QUARTERS / 4,
            cost: 1,
            item: statement,
        };
        let pushed = self.lines[server].queue.push(item, now);
        matches!(
            pushed,
            PushOutcome::Queued {
                displaced: None,
                ..
            }
        )
    }

    fn next(&mut self, server: usize, now: MonotonicTime) -> NextWork {
        let line = &mut self.lines[server];
        if let Some(displaced) = line.displaced.pop() {
            return NextWork::Refuse(displaced);
        }
        if line.running >= line.window.size() {
            let expired = line.queue.pop_expired(now);
            return expired.map_or(NextWork::Wait, |expired| {
                NextWork::Refuse(expired.refused.item)
            });
        }
        match line.queue.pop(now) {
            None => NextWork::Wait,
            Some(PopOutcome::Expired(expired)) => NextWork::Refuse(expired.refused.item),
            Some(PopOutcome::Ready(ready)) => {
                line.running += 1;
                NextWork::Send(ready.item)
            }
        }
    }

    fn answered(&mut self, server: usize, took: Duration, now: MonotonicTime) {
        let line = &mut self.lines[server];
        let patience = OBJECTIVE / PATIENCE_PARTS;
        line.window
            .record_response((took, patience), line.running, now);
        line.running -= 1;
        line.queue.record_service(1, took);
        let size = u32::try_from(line.window.size()).unwrap_or(1);
        line.queue.set_slots(size);
        line.meter.record(took, now);
    }

    fn turned_away(&mut self, server: usize, now: MonotonicTime) {
        let line = &mut self.lines[server];
        line.running -= 1;
        line.window.record_refusal(line.meter.typical(now), now);
    }

    fn behind(&mut self, server: usize, now: MonotonicTime) {
        let line = &mut self.lines[server];
        line.running -= 1;
        line.behind_at = Some(now);
    }

    fn opens(&mut self, server: usize, customer: usize, now: MonotonicTime) -> bool {
        self.uses[customer].record_use(now);
        let line = &mut self.lines[server];
        if line.open.contains(&customer) {
            return false;
        }
        if line.open.len() >= CONNECTIONS {
            let uses = |place: &usize| self.uses[line.open[*place]].decayed_uses(now);
            let least = (0..line.open.len()).min_by(|one, other| uses(one).total_cmp(&uses(other)));
            if let Some(least) = least {
                line.open.swap_remove(least);
            }
        }
        line.open.push(customer);
        true
    }
}
