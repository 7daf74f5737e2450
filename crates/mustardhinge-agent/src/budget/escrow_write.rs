use mustardhinge_core::budget::lease::LeaseWrite;
use mustardhinge_core::budget::zone::RecordWrite;
use mustardhinge_core::prelude::*;

/// A conditional update that the keeper of a zone's share wants.
#[derive(Clone, Debug)]
pub(super) enum EscrowWrite {
    /// Of the record that names the holder of the zone's share.
    Lease(LeaseWrite),
    /// Of the record of a service's shares.
    Shares {
        /// The service.
        service: ServiceId,
        /// The update.
        write: RecordWrite,
    },
}
