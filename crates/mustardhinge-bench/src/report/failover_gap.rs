use std::time::Duration;

use mustardhinge_core::prelude::*;

use crate::history::{OperationRecord, RunHistory};

/// The span after a fault in which the longest gap is looked for.
const GAP_SPAN: Duration = Duration::from_secs(10);

/// Returns the longest time without a confirmed write of any service after
/// `begin`; none if the history has no services.
///
/// The span ends when the last operation was due, not at its answer: nobody
/// asked for anything after that.
#[must_use]
pub fn find_failover_gap(history: &RunHistory, begin: MonotonicTime) -> Option<Duration> {
    let last_due = history
        .operations
        .iter()
        .map(|operation| operation.due)
        .max()?;
    let end = last_due.min(begin + GAP_SPAN);
    let mut services: Vec<&ServiceId> = history.limits.iter().map(|limit| &limit.service).collect();
    services.dedup();
    services
        .into_iter()
        .filter_map(|service| find_service_gap(history, service, begin, end))
        .max()
}

fn find_service_gap(
    history: &RunHistory,
    service: &ServiceId,
    begin: MonotonicTime,
    end: MonotonicTime,
) -> Option<Duration> {
    let is_confirmed_write = |operation: &&OperationRecord| {
        operation.service == *service
            && operation.kind.written_value().is_some()
            && operation.result.is_completed()
    };
    let writes = history.operations.iter().filter(is_confirmed_write);
    let mut moments: Vec<MonotonicTime> = writes
        .map(|operation| operation.ended)
        .filter(|ended| *ended >= begin && *ended <= end)
        .collect();
    moments.extend([begin, end]);
    moments.sort_unstable();
    let pairs = moments.windows(2);
    pairs.map(|pair| pair[1].saturating_since(pair[0])).max()
}
