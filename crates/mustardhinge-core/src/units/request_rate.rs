use super::milli_unit::milli_unit;

milli_unit! {
    /// A customer's rate, in requests per second.
    ///
    /// Stored in thousandths, so that shares of it are exact. The text form is, for example,
    /// `40/s` or `2.5/s`.
    RequestRate, "/s", "40/s or 2.5/s"
}
