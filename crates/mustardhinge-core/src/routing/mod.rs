//! Read routing: the choice of a target for each read.

mod read_candidates;
mod read_query;
mod read_route;
mod read_router;
mod router_settings;
mod target_state;

pub use read_query::ReadQuery;
pub use read_route::ReadRoute;
pub use read_router::ReadRouter;
pub use router_settings::RouterSettings;
pub use target_state::TargetState;
