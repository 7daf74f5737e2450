use super::count_unit::count_unit;

count_unit! {
    /// The term of a primary; a greater term replaces a smaller one.
    LeaderTerm, "a term number"
}
