//! Adoption of service documents and the settlement of operators' updates.

mod adoption_outcome;
mod adoption_table;
mod known_document;
mod settlement_step;
mod update_settlement;

pub use adoption_outcome::AdoptionOutcome;
pub use adoption_table::AdoptionTable;
pub use known_document::KnownDocument;
pub use settlement_step::SettlementStep;
pub use update_settlement::UpdateSettlement;
