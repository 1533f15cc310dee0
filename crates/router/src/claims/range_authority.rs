use mango_wire::Epoch;

/// This host's ownership of key ranges and the outages of the log, as range writers
/// need them.
pub(crate) trait RangeAuthority: Send + Sync + 'static {
    /// Epoch of this host's ownership of the resource `keys/<range>`; `None` while this
    /// host may not act as its owner.
    fn acting_epoch(&self, range: u32) -> Option<Epoch>;
    /// Whether a majority of the registered hosts confirms that no host can read the log.
    fn in_verified_outage(&self) -> bool;
    /// Begin and end of each known log outage, in wall-clock milliseconds since 1970.
    /// Must list every outage that ended before `acting_epoch` became `Some`.
    fn outages(&self) -> Vec<(u64, u64)>;
}
