//! Read-your-writes consistency of sessions: read tokens and floors.
//!
//! A floor is the lowest log position that a target must have applied to serve a read.

mod commit_requirement;
mod commit_table;
mod read_requirement;
mod read_token;
mod session_commit;
mod session_floor;

pub use commit_requirement::CommitRequirement;
pub use commit_table::CommitTable;
pub use read_requirement::ReadRequirement;
pub use read_token::ReadToken;
pub use session_commit::SessionCommit;
pub use session_floor::SessionFloor;
