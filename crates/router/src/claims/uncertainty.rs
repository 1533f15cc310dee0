/// Time before which keys that are not on the log may have run, by their issue time, for
/// the owner of a range that started to act at `acting_since_ms`. 0 if no such key has run.
///
/// The owner has all claims that are on the log, whoever wrote them: it reads its own
/// `Fence` back after all earlier records, and later records of older epochs are void. It
/// lacks the claims that a predecessor granted from memory in a verified outage and did
/// not append before that `Fence`. This happens if the predecessor died in the outage, if
/// it died or was superseded after the outage and before its flush, or if its flush was
/// appended after the `Fence` and is void. If only a part of the flush was appended, the
/// entries before the missing `Flush` prove nothing about the other keys.
///
/// - Such a claim was granted before the end of the outage plus `lease_ms`, because the
///   predecessor may rely on its verification that long after the log is available again,
///   and before the new owner started to act. Its key was issued at most `clock_skew_ms`
///   later than that by the caller's clock. Keys issued later are served normally.
/// - `flushed_until_ms` is the time of the latest `Flush` in the stream: all claims made
///   from memory up to that time are on the log. It covers an outage if it is at least
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
/// outage that ended at `ended_ms` are on the log.
pub(crate) fn flush_covers_outage(
    flushed_until_ms: u64,
    ended_ms: u64,
    clock_skew_ms: u64,
) -> bool {
    flushed_until_ms >= ended_ms.saturating_add(clock_skew_ms)
}
