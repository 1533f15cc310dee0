/// Issue time before which an unknown key may have run, for the owner of a range
/// that started to act at `acting_since_ms`; 0 if every unknown key has not run.
///
/// A claim that is on the log is known to the successor, whoever wrote it: it reads
/// its own `Fence` back after all earlier records, and later ones of older epochs
/// are void. It cannot know the claims that a predecessor granted from memory in a
/// verified outage and did not write before the successor's `Fence`. That happens
/// when the predecessor died in the outage, when it died or was superseded after
/// the outage but before it flushed, and when its flush landed after the `Fence`
/// and is void. Such claims are also unknown when only a part of the flush landed,
/// so the entries before a missing `Flush` prove nothing about the other keys.
///
/// - Such a grant was given before the outage's end plus `lease_ms`, because the
///   predecessor may hold its verification that long after the log is back, and
///   before the successor's authority began. The key was issued at most
///   `clock_skew_ms` later than that on the caller's clock. Keys issued later are
///   served.
/// - `flushed_until_ms` is the latest time for which a `Flush` on the stream says
///   that all claims made from memory are written. It covers an outage if it lies at
///   least `clock_skew_ms` after the outage's end, since the two times come from the
///   clocks of two hosts. An owner therefore writes a second `Flush` once that time
///   has passed; if it dies in between, the outage counts as not flushed.
/// - An outage concerns a predecessor if it began before the successor acted, or ended
///   before that on a clock that may be one skew ahead. Later ones are the successor's.
/// - An outage without a known predecessor counts too: a stream without records may
///   belong to an owner that claimed only from memory.
pub(crate) fn uncertain_before_ms(
    outages: &[(u64, u64)],
    flushed_until_ms: u64,
    acting_since_ms: u64,
    lease_ms: u64,
    clock_skew_ms: u64,
) -> u64 {
    outages
        .iter()
        .filter(|(began_ms, ended_ms)| {
            *began_ms < acting_since_ms
                || *ended_ms <= acting_since_ms.saturating_add(clock_skew_ms)
        })
        .filter(|(_, ended_ms)| !covers(flushed_until_ms, *ended_ms, clock_skew_ms))
        .map(|(_, ended_ms)| ended_ms.saturating_add(lease_ms).min(acting_since_ms))
        .max()
        .map_or(0, |last_grant_ms| last_grant_ms.saturating_add(clock_skew_ms))
}

/// Whether a `Flush` at `flushed_until_ms` proves that all claims made from memory in
/// an outage that ended at `ended_ms` are on the log.
pub(crate) fn covers(flushed_until_ms: u64, ended_ms: u64, clock_skew_ms: u64) -> bool {
    flushed_until_ms >= ended_ms.saturating_add(clock_skew_ms)
}
