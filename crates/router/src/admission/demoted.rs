/// A running request that turned out long and is to run with a lower priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Demoted {
    pub(crate) permit: u64,
    /// New engine priority; lower runs first.
    pub(crate) priority: u16,
}
