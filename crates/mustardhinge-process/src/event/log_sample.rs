/// One request in this many has a line though it went as usual: at the full load of an
/// instance, some thousand a second, its lines stay well below those of a second.
const SAMPLE_INTERVAL: u64 = 64;

/// Which requests that went as usual have a log line.
///
/// The request's id alone decides, so that each process that a request passes takes the same
/// ones, and a repeated request is found again.
#[derive(Clone, Copy, Debug)]
pub struct LogSample;

impl LogSample {
    /// Returns whether the request with this id has a line.
    #[must_use]
    pub fn includes(id: &[u8]) -> bool {
        hash_id(id).is_multiple_of(SAMPLE_INTERVAL)
    }
}

/// Spreads ids evenly (FNV-1a, then folded): processes of all builds have to agree.
fn hash_id(id: &[u8]) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325_u64;
    let hash = id.iter().fold(offset_basis, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash ^ (hash >> 32)
}
