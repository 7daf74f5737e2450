use super::count_unit::count_unit;

count_unit! {
    /// The version that the platform gave to an object; only grows.
    DocumentVersion, "a version number"
}
