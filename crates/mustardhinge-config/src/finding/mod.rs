//! What is wrong with a text, where, and what would be right.

mod finding_place;
mod findings;
mod text_finding;

pub use finding_place::FindingPlace;
pub use findings::Findings;
pub use text_finding::Finding;
