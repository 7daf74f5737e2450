use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::reader::TableReader;

/// The greatest age that a route may allow, in milliseconds: one day.
const MAX_ROUTE_AGE_MS: u32 = 86_400_000;

/// The lowest priority that a route may have.
const LOWEST_PRIORITY: u32 = 7;

/// One route: how statements that name it are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// The name that the statement's tag gives, as in `/*route='catalogue'*/`.
    pub name: RouteName,
    /// The age that the rows may have, in milliseconds; none means the newest.
    #[serde(default)]
    pub max_age_ms: Option<u32>,
    /// Whether callers without a key may use it.
    #[serde(default)]
    pub open: bool,
    /// Whether a statement may be sent again when its first answer is lost.
    #[serde(default)]
    pub repeatable: bool,
    /// The priority of its statements while statements wait for a target; 0, the default, is the
    /// highest. Left out of the serialized form then, so that earlier versions can read it.
    #[serde(default, skip_serializing_if = "is_highest")]
    pub priority: RoutePriority,
}

impl RouteEntry {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let name = reader.text("name", "give the route's name");
        let max_age_ms = reader.optional_number("max_age_ms", 0..=MAX_ROUTE_AGE_MS);
        let open = reader.flag("open");
        let repeatable = reader.flag("repeatable");
        let priority = reader.number("priority", 0..=LOWEST_PRIORITY, 0);
        Some(Self {
            name: name?,
            max_age_ms,
            open,
            repeatable,
            // The range is checked above.
            priority: RoutePriority::new(u8::try_from(priority).unwrap_or(u8::MAX)),
        })
    }
}

fn is_highest(priority: &RoutePriority) -> bool {
    *priority == RoutePriority::HIGHEST
}
