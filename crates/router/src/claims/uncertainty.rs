/// Issue time before which a key without a claim in the log may have been used, for the
/// owner of a range that started to act at `acting_since_ms`; 0 if no such key was used.
///
/// A new owner appends a `Fence`, which makes all later records of older epochs void, and
/// reads the stream up to it. It therefore knows all valid claims of its predecessors that
/// are in the log. It lacks the claims that a predecessor granted from memory in a verified
/// outage and did not append before that `Fence`. This happens if the predecessor died in
/// the outage, if it died or was superseded before it had appended these claims, or if it
/// appended them after the `Fence`. After these claims a predecessor appends a `Flush`; if
/// that is missing, further claims may be missing too.
///
/// - Such a claim was granted before the end of the outage plus `lease_ms`, because the
///   predecessor may rely on its verification that long after the log is available again,
///   and before the new owner started to act. Its key was issued at most `clock_skew_ms`
///   later than that by the caller's clock. Keys issued later are served normally.
/// - `flushed_until_ms` is the time of the latest `Flush` in the stream: all claims made
///   from memory up to that time are in the log. It covers an outage if it is at least
///   `clock_skew_ms` later than the outage's end, since the two times come from the
///   clocks of two hosts. An owner therefore appends a second `Flush` once that time has
///   passed; if it dies before, the outage counts as not flushed.
/// - An outage concerns a predecessor if it began before the new owner started to act, or
///   ended before that by a clock that may be one skew ahead. In later outages the new
///   owner itself granted the claims.
/// - An outage counts even if no predecessor is known, because a stream without records
///   may have had an owner that granted claims only from memory.
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
        .filter(|(_, ended_ms)| !flush_covers_outage(flushed_until_ms, *ended_ms, clock_skew_ms))
        .map(|(_, ended_ms)| ended_ms.saturating_add(lease_ms).min(acting_since_ms))
        .max()
        .map_or(0, |last_grant_ms| last_grant_ms.saturating_add(clock_skew_ms))
}

/// Whether a `Flush` at `flushed_until_ms` proves that all claims made from memory in an
/// outage that ended at `ended_ms` are in the log.
pub(crate) fn flush_covers_outage(
    flushed_until_ms: u64,
    ended_ms: u64,
    clock_skew_ms: u64,
) -> bool {
    flushed_until_ms >= ended_ms.saturating_add(clock_skew_ms)
}
