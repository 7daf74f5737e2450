/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// No planned stop is in progress.
    #[default]
    Serving,
    /// The instance reports itself as not ready; open sessions continue.
    Announced,
    /// Sessions are closed between two requests.
    Closing,
    /// Open transactions are ended as well.
    Ending,
    /// New connections and requests are refused; running requests are still answered.
    Refusing,
    /// The process is about to end: requests without a response get their final answer.
    Finishing,
}
