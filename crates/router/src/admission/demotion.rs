/// New, lower priority of a running request that turned out to be long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Demotion {
    pub(crate) permit: u64,
    /// Engine priority; lower values run first.
    pub(crate) priority: u16,
}
