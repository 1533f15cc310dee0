//! Weighted rendezvous hashing: all hosts assign a subject, such as a chat, to the same
//! member. A member that joins or leaves moves only the subjects that it gains or loses.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of a member for a subject. A subject is assigned to the member with the highest
/// score, so each member's share of the subjects is proportional to its weight.
pub(crate) fn score(subject: u64, member: u64, weight: f64) -> f64 {
    weighted_score(xxh3_64_with_seed(&subject.to_le_bytes(), member), weight)
}

/// Sorts members by score for a subject, highest first; equal scores by key.
pub(crate) fn rank<K: Copy + Ord + Into<u64>>(
    subject: u64,
    members: impl IntoIterator<Item = (K, f64)>,
) -> Vec<K> {
    let mut scored: Vec<(f64, K)> = members
        .into_iter()
        .map(|(key, weight)| (score(subject, key.into(), weight), key))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, key)| key).collect()
}

/// Score of a named member of weight 1 for a subject.
pub(crate) fn name_score(subject: u64, name: &str) -> f64 {
    weighted_score(xxh3_64_with_seed(name.as_bytes(), subject), 1.0)
}

/// Sorts names of equal weight by score for a subject, highest first. Equal scores are
/// sorted by name, so that all hosts get the same order.
pub(crate) fn rank_names<'a>(subject: u64, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(f64, &str)> =
        names.map(|name| (name_score(subject, name), name)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// Score of a hash: the inverse of an exponentially distributed sample whose rate is the
/// weight. The probability that a member has the smallest sample, and so the highest score,
/// is its share of the weights.
fn weighted_score(hash: u64, weight: f64) -> f64 {
    // 53 bits fill the mantissa of an f64; adding 0.5 keeps the value inside (0, 1)
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight.max(0.0) / -uniform.ln()
}
