use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of a member for a subject. The member with the highest score wins, and
/// each member wins a share of subjects in proportion to its weight.
pub(crate) fn score(subject: u64, member: u64, weight: f64) -> f64 {
    weigh(xxh3_64_with_seed(&subject.to_le_bytes(), member), weight)
}

/// Orders members by score for a subject, best first; ties go to the lower key.
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
    weigh(xxh3_64_with_seed(name.as_bytes(), subject), 1.0)
}

/// Orders names of equal weight by score for a subject, best first. Equal scores
/// are ordered by name, so that all hosts agree.
pub(crate) fn rank_names<'a>(subject: u64, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(f64, &str)> =
        names.map(|name| (name_score(subject, name), name)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// Score of a hash: the first arrival of a random process whose rate is the weight.
fn weigh(hash: u64, weight: f64) -> f64 {
    // 53 bits fill a double's mantissa; the half keeps the value inside (0, 1)
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight.max(0.0) / -uniform.ln()
}
