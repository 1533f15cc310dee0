/// Counts of log requests since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogCounters {
    /// Appends over HTTP that took effect, lost answers included.
    pub appends: u64,
    /// Reads answered with 200.
    pub reads: u64,
    /// Appends that took effect without an answer.
    pub lost_responses: u64,
    /// Requests refused with 503.
    pub refused: u64,
}
