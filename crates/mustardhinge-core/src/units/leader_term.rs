use super::count_unit::count_unit;

count_unit! {
    /// The term of a primary; a higher term supersedes a lower one.
    LeaderTerm, "a term number"
}
