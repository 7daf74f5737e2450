/// The kind of a statement, by which its slot time is estimated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkKind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// The begin of a transaction, which stands for all of its statements.
    Begin,
}
