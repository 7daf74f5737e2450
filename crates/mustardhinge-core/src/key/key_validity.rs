/// Whether an instance has proof that its documents, and so their keys, are current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValidity {
    /// The proof is younger than the bound: the known keys are valid.
    Fresh,
    /// There is no such proof: statements with a key are refused as not run.
    Unproven,
}
