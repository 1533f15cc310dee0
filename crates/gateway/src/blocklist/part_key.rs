use {
    crate::callers::PromptPartId,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Identifies a part of prompts at one service.
pub(crate) type PartKey = u64;
/// Identifies a team; requests without a team share one value.
pub(crate) type TeamHash = u32;

/// Most parts of a prompt that are considered; of longer prompts, the last ones.
const MAX_PARTS_PER_PROMPT: usize = 16;

/// The keys of the shared parts of a prompt, in prompt order.
pub(crate) fn part_keys(service: &str, parts: &[PromptPartId]) -> Vec<PartKey> {
    let skipped = parts.len().saturating_sub(MAX_PARTS_PER_PROMPT);
    parts[skipped..].iter().map(|part| xxh3_64_with_seed(service.as_bytes(), *part)).collect()
}

pub(crate) fn team_hash(team: Option<&str>) -> TeamHash {
    xxh3_64(team.unwrap_or_default().as_bytes()) as TeamHash
}
