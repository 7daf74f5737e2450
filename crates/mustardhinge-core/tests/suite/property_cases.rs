use proptest::prelude::ProptestConfig;

/// Number of cases of a property test without a setting of its own, unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u64 = 256;

/// Returns the settings of a slow property test, which runs `usual` cases by default and more or
/// fewer in proportion to `PROPTEST_CASES`.
///
/// `ProptestConfig::with_cases` ignores that variable, so that `.ci/explore` would run such a test
/// with its usual number of cases only.
pub(crate) fn scaled_cases(usual: u32) -> ProptestConfig {
    let config = ProptestConfig::default();
    let cases = u64::from(usual) * u64::from(config.cases) / DEFAULT_CASES;
    ProptestConfig {
        cases: u32::try_from(cases.max(1)).unwrap_or(u32::MAX),
        ..config
    }
}
