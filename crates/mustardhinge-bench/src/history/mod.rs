//! What callers asked and were told, and what targets did, during one run.

mod configuration_record;
mod customer_limit;
mod fault_mark;
mod key_withdrawal;
mod leaving_work;
mod operation_kind;
mod operation_record;
mod operation_result;
mod planned_stop;
mod promotion_record;
mod run_history;
mod target_bytes;
mod target_commit;
mod time_micros;

pub use configuration_record::{AcceptedUpdate, VersionSighting};
pub use customer_limit::CustomerLimit;
pub use fault_mark::FaultMark;
pub use key_withdrawal::KeyWithdrawal;
pub use leaving_work::LeavingWork;
pub use operation_kind::OperationKind;
pub use operation_record::OperationRecord;
pub use operation_result::OperationResult;
pub use planned_stop::PlannedStop;
pub use promotion_record::PromotionRecord;
pub use run_history::RunHistory;
pub use target_bytes::TargetBytes;
pub use target_commit::TargetCommit;
pub use time_micros::TimeMicros;
