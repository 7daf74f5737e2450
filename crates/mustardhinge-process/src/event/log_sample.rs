/// One request in this many has a line though it went as usual: at the full load of an
/// instance, some thousand a second, its lines stay well below those of a second.
const ONE_IN: u64 = 64;

/// Which requests that went as usual have a log line.
///
/// The request's id alone decides, so that each process that a request passes takes the same
/// ones, and a repeated request is found again.
#[derive(Clone, Copy, Debug)]
pub struct LogSample;

impl LogSample {
    /// Returns whether the request with this id has a line.
    #[must_use]
    pub fn takes(id: &[u8]) -> bool {
        spread(id).is_multiple_of(ONE_IN)
    }
}

/// Spreads ids evenly (FNV-1a, then folded): processes of all builds have to agree.
fn spread(id: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    let hash = id.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash ^ (hash >> 32)
}
