use mustardhinge_core::prelude::*;

/// The bytes that one target received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetBytes {
    /// The target.
    pub target: TargetId,
    /// What it received, in order.
    pub bytes: Vec<u8>,
}
