use super::milli_unit::milli_unit;

milli_unit! {
    /// A customer's rate, in requests a second.
    ///
    /// Counted in thousandths, so that a share of it is exact. The text form is
    /// such as `40/s` or `2.5/s`.
    RequestRate, "/s", "40/s or 2.5/s"
}
