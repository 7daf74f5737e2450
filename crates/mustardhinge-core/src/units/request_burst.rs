use super::milli_unit::milli_unit;

milli_unit! {
    /// A customer's burst, in requests.
    ///
    /// Counted in thousandths, so that a share of it is exact. The text form is
    /// such as `20req`.
    RequestBurst, "req", "20req"
}
