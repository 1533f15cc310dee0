use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of a candidate for a key in weighted rendezvous hashing. The candidate
/// with the highest score is the choice; a candidate's share of the keys is
/// proportional to its weight. A weight of 0 or less scores below all others.
pub(crate) fn rendezvous_score(key_hash: u64, candidate: &str, weight: f64) -> f64 {
    if weight <= 0.0 {
        return f64::NEG_INFINITY;
    }
    let hash = xxh3_64_with_seed(candidate.as_bytes(), key_hash);
    // the upper 53 bits as a number strictly between 0 and 1
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight / -uniform.ln()
}

/// Ranks candidates of equal weight for a key, best first. Equal scores are
/// ordered by name, so that all hosts agree.
pub(crate) fn rendezvous_rank<'a>(
    key_hash: u64,
    candidates: impl Iterator<Item = &'a str>,
) -> Vec<&'a str> {
    let mut scored: Vec<(f64, &str)> =
        candidates.map(|name| (rendezvous_score(key_hash, name, 1.0), name)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, name)| name).collect()
}
