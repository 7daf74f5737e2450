//! Events of a run, in the order of global time.

use mustardhinge_core::budget::lease::LeaseRecord;
use mustardhinge_core::budget::zone::BudgetRecord;
use mustardhinge_core::budget::{LedgerError, LedgerRequest, LedgerResponse};
use mustardhinge_core::prelude::*;

/// One incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessIncarnation {
    pub(super) index: usize,
    pub(super) incarnation: u64,
}

/// A customer's account of an entry with the ledger of a zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccountId {
    pub(super) entry: ProcessIncarnation,
    pub(super) customer: usize,
    pub(super) zone: usize,
}

/// A read or a conditional update.
#[derive(Clone, Debug)]
pub(super) enum StoreCall {
    Read,
    WriteLease(DocumentVersion, LeaseRecord),
    WriteBudget(DocumentVersion, BudgetRecord),
}

/// The stored objects that an agent needs.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreResponse {
    pub(super) lease: Option<(DocumentVersion, LeaseRecord)>,
    pub(super) budget: Option<(DocumentVersion, BudgetRecord)>,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    AgentTick(ProcessIncarnation),
    StoreCall(ProcessIncarnation, StoreCall),
    StoreResponse(ProcessIncarnation, StoreResponse),
    Request {
        entry: usize,
        customer: usize,
    },
    EntryTick {
        entry: ProcessIncarnation,
        customer: usize,
    },
    LedgerRequest {
        account: AccountId,
        agent: usize,
        request: LedgerRequest,
    },
    LedgerResponse {
        account: AccountId,
        sequence: u64,
        result: Result<LedgerResponse, LedgerError>,
    },
    LedgerRequestTimeout {
        account: AccountId,
        sequence: u64,
    },
    Adopt {
        agent: ProcessIncarnation,
        revision: usize,
    },
    Pause,
    Crash,
    KillEntry(usize),
    KillAgent(usize),
    Leave,
    LeaveAgent(usize),
    OutageStart,
    StoreUp(bool),
    PartitionStart,
    PartitionZone(Option<usize>),
    Change,
}
