use mustardhinge_core::prelude::RoutePriority;
use mustardhinge_core::queue::QueueTicket;

/// Identifies a waiting session, with the queue that it waits in.
#[derive(Debug)]
pub(super) enum WaitTicket {
    /// In the fair queue, without overload control.
    Fair(QueueTicket),
    /// In the queue with priorities.
    Priority(RoutePriority, QueueTicket),
}
