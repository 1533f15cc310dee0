use mango_wire::Epoch;

/// What the ownership of resources tells the writers of key ranges.
pub(crate) trait RangeAuthority: Send + Sync + 'static {
    /// Epoch of this host's ownership of `keys/<range>`, while it may act on it.
    fn acting_epoch(&self, range: u32) -> Option<Epoch>;
    /// Whether a majority confirms that nobody reads the log.
    fn in_verified_outage(&self) -> bool;
    /// Known log outages as begin and end in wall-clock milliseconds. Every outage
    /// that ended before `acting_epoch` became `Some` is expected to be listed.
    fn outages(&self) -> Vec<(u64, u64)>;
}
