//! Queueing in front of a target: fair between customers, with refusal on arrival
//! of work that cannot meet its deadline.

mod cost_estimates;
mod customer_queue;
mod customer_weight;
mod fair_queue;
mod priority_band;
mod priority_item;
mod priority_queue;
mod priority_waits;
mod queue_limits;
mod queue_outcome;
mod queue_ticket;
mod recent_demand;
mod report_gate;
mod retry_jitter;
mod service_time_estimate;
mod slot_cost;
mod slot_limiter;
mod slot_window;
mod timed_item;
mod wait_bias;
mod wait_limits;
mod waiting_item;
mod weighted_customer;
mod work_kind;

pub use cost_estimates::CostEstimates;
pub use customer_weight::CustomerWeight;
pub use fair_queue::FairQueue;
pub use priority_item::PriorityItem;
pub use priority_queue::PriorityQueue;
pub use priority_waits::PriorityWaits;
pub use queue_limits::QueueLimits;
pub use queue_outcome::{PopOutcome, PushOutcome, QueueRefusal, QueuedItem};
pub use queue_ticket::QueueTicket;
pub use report_gate::ReportGate;
pub use retry_jitter::RetryJitter;
pub use service_time_estimate::ServiceTimeEstimate;
pub use slot_cost::SlotCost;
pub use slot_limiter::SlotLimiter;
pub use slot_window::SlotWindow;
pub use wait_limits::WaitLimits;
pub use waiting_item::WaitingItem;
pub use work_kind::WorkKind;
