/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a key together with a member's name.
///
/// The hash must be the same on every machine and in every release.
pub(crate) fn member_hash(key: &[u8], member: &[u8]) -> u64 {
    let separator = [0xff];
    let bytes = key.iter().chain(&separator).chain(member);
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    mix_bits(hash)
}

/// Mixes the bits with the finalizer of SplitMix64.
const fn mix_bits(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
