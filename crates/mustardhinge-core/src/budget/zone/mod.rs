//! The shares of all zones and the ledgers of one zone.

mod budget_record;
mod customer_ledger;
mod demand_table;
mod move_planner;
mod record_error;
mod record_write;
mod share_move;
mod zone_ledger;
mod zone_share;

pub use budget_record::BudgetRecord;
pub use record_error::RecordError;
pub use record_write::RecordWrite;
pub use share_move::ShareMove;
pub use zone_ledger::ZoneLedger;
pub use zone_share::ZoneShare;
