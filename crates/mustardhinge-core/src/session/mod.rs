//! What a session has to see: read tokens and floors.

mod read_requirement;
mod read_token;
mod session_floor;

pub use read_requirement::ReadRequirement;
pub use read_token::ReadToken;
pub use session_floor::SessionFloor;
