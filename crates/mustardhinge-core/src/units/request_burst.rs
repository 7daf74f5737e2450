use super::milli_unit::milli_unit;

milli_unit! {
    /// A customer's burst, in requests.
    ///
    /// Stored in thousandths, so that shares of it are exact. The text form is, for example,
    /// `20req`.
    RequestBurst, "req", "20req"
}
