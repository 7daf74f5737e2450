//! Fixtures of the ledger and entry tests.

use mustardhinge_core::budget::{
    BudgetLimit, ClientId, LedgerRequest, LedgerResponse, RequestAmount, ShareLedger,
};
use mustardhinge_core::prelude::*;

pub(crate) fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

pub(crate) fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

pub(crate) const fn req(requests: u64) -> RequestAmount {
    RequestAmount::from_requests(requests)
}

pub(crate) fn limit(per_second: u64, burst: u64) -> BudgetLimit {
    let rate = RequestRate::from_millis(per_second * 1_000);
    BudgetLimit::new(rate, RequestBurst::from_millis(burst * 1_000))
}

pub(crate) fn client(incarnation: u64) -> ClientId {
    ClientId {
        instance: "i-1".parse().unwrap(),
        incarnation,
    }
}

pub(crate) fn full_ledger() -> ShareLedger {
    ShareLedger::empty(1, limit(10, 10), at(0))
}

/// Handles a request at a time in milliseconds.
pub(crate) fn respond(
    ledger: &mut ShareLedger,
    request: &LedgerRequest,
    millis: u64,
) -> LedgerResponse {
    ledger.handle_request(request, at(millis)).unwrap()
}
