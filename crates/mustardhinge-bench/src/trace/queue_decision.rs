use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_core::queue::{
    FairQueue, PopOutcome, PushOutcome, QueueLimits, QueueRefusal, WaitingItem,
};
use serde::{Deserialize, Serialize};

use super::TraceDecision;

/// The limits of a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSetup {
    /// The greatest number of waiting items.
    pub capacity: usize,
    /// What a customer may spend in its turn.
    pub quantum: u32,
    /// Items that run at once.
    pub slots: u32,
    /// The service time assumed at first, in milliseconds.
    pub first_service_ms: u64,
}

/// What happens to a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum QueueInput {
    /// A statement arrived.
    Push {
        /// Whose it is.
        customer: CustomerId,
        /// When its answer must be there, in microseconds.
        deadline_us: u64,
        /// Its name in the outcomes.
        statement: String,
    },
    /// A slot is free.
    Pop,
}

/// Replays into [`FairQueue`]: whose statement comes next, and which are refused.
#[derive(Debug)]
pub struct QueueDecision {
    queue: FairQueue<String>,
}

impl TraceDecision for QueueDecision {
    const NAME: &'static str = "fair_queue";
    type Setup = QueueSetup;
    type Input = QueueInput;

    fn start(setup: QueueSetup) -> anyhow::Result<Self> {
        let limits = QueueLimits::new()
            .capacity(setup.capacity)
            .quantum(setup.quantum)
            .slots(setup.slots)
            .initial_service_time(Duration::from_millis(setup.first_service_ms));
        Ok(Self {
            queue: FairQueue::new(limits),
        })
    }

    fn apply(&mut self, input: QueueInput, now: MonotonicTime) -> anyhow::Result<Vec<String>> {
        Ok(match input {
            QueueInput::Push {
                customer,
                deadline_us,
                statement,
            } => {
                let arrival = WaitingItem {
                    customer,
                    deadline: MonotonicTime::from_micros(deadline_us),
                    cost: 1,
                    item: statement,
                };
                match self.queue.push(arrival, now) {
                    PushOutcome::Queued { displaced, .. } => {
                        displaced.iter().map(describe).collect()
                    }
                    PushOutcome::Refused(refusal) => vec![describe(&refusal)],
                }
            }
            QueueInput::Pop => vec![match self.queue.pop(now) {
                Some(PopOutcome::Ready(ready)) => {
                    format!("{} of {} runs", ready.item, ready.customer)
                }
                Some(PopOutcome::Expired(refusal)) => describe(&refusal),
                None => "nothing waits".to_owned(),
            }],
        })
    }
}

fn describe(refusal: &QueueRefusal<String>) -> String {
    format!(
        "{} of {} is refused: {}",
        refusal.refused.item, refusal.refused.customer, refusal.reason
    )
}
