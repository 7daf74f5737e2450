/// One in this many requests without incident is logged.
///
/// At the full load of an instance, some thousand requests per second, the sampled lines stay
/// well below [`LINES_PER_SECOND`](super::LINES_PER_SECOND).
const SAMPLE_INTERVAL: u64 = 64;

/// Selects the requests that are logged although nothing unusual happened.
///
/// The selection depends only on the request id, so that every process on the path of a request
/// selects the same requests, and a retried request is selected again.
#[derive(Clone, Copy, Debug)]
pub struct LogSample;

impl LogSample {
    /// Returns whether the request with this id is logged.
    #[must_use]
    pub fn includes(id: &[u8]) -> bool {
        hash_id(id).is_multiple_of(SAMPLE_INTERVAL)
    }
}

/// Returns an evenly distributed hash of an id: FNV-1a, then folded.
///
/// The hash must be the same in all builds, because their processes must select the same
/// requests.
fn hash_id(id: &[u8]) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325_u64;
    let hash = id.iter().fold(offset_basis, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash ^ (hash >> 32)
}
