/// Counts of log requests since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogCounters {
    /// Appends over HTTP that took effect, also those without a response.
    pub appends: u64,
    /// Reads that were served with status 200.
    pub reads: u64,
    /// Appends over HTTP that took effect, but whose response was lost.
    pub lost_responses: u64,
    /// Requests refused with status 503.
    pub refused: u64,
}
