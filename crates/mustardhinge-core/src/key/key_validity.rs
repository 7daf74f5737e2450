/// Whether the documents that an instance knows are proven current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValidity {
    /// There is proof younger than the bound; the known keys stand.
    Fresh,
    /// There is no such proof; keyed work is refused as not run.
    Unproven,
}
