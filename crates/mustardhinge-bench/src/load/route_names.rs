/// The table that all work is done on.
pub const WORK_TABLE: &str = "work";

/// The route of keyed confirmations, which carry a request id.
pub const CONFIRM_ROUTE: &str = "confirm";

/// The route of orders, which may not be repeated.
pub const ORDER_ROUTE: &str = "order";

/// The route of reassignments, which write two rows in one transaction.
pub const REASSIGN_ROUTE: &str = "reassign";

/// The route of reads that need the newest rows.
pub const NEWEST_ROUTE: &str = "status";

/// The route of reads that accept rows of a stated age.
pub const AGED_ROUTE: &str = "catalogue";

/// The route that is open to callers without a key.
pub const OPEN_ROUTE: &str = "public";
