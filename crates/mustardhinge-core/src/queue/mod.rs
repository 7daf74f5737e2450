//! Queueing in front of a target: fair between customers, with refusal on arrival
//! of work that cannot meet its deadline.

mod customer_queue;
mod fair_queue;
mod queue_limits;
mod queue_outcome;
mod queue_ticket;
mod service_time_estimate;
mod slot_limiter;
mod slot_window;
mod waiting_item;

pub use fair_queue::FairQueue;
pub use queue_limits::QueueLimits;
pub use queue_outcome::{PopOutcome, PushOutcome, QueueRefusal, QueuedItem};
pub use queue_ticket::QueueTicket;
pub use service_time_estimate::ServiceTimeEstimate;
pub use slot_limiter::SlotLimiter;
pub use slot_window::SlotWindow;
pub use waiting_item::WaitingItem;
