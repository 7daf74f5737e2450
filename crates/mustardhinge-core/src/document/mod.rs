//! Adoption of service documents and conditional updates by operators.

mod adoption_outcome;
mod adoption_table;
mod conditional_update;
mod known_document;
mod update_step;

pub use adoption_outcome::AdoptionOutcome;
pub use adoption_table::AdoptionTable;
pub use conditional_update::ConditionalUpdate;
pub use known_document::KnownDocument;
pub use update_step::UpdateStep;
