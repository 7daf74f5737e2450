use mustardhinge_core::budget::lease::LeaseWrite;
use mustardhinge_core::budget::zone::RecordWrite;
use mustardhinge_core::prelude::*;

/// A pending conditional update of the lease or of a service's shares.
#[derive(Clone, Debug)]
pub(super) enum EscrowWrite {
    /// Updates the lease record, which names the holder of the zone's share.
    Lease(LeaseWrite),
    /// Updates the record of a service's shares.
    Shares {
        /// The service.
        service: ServiceId,
        /// The update.
        write: RecordWrite,
    },
}
