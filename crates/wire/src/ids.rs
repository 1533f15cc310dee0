use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Name of a host.
pub type HostId = String;
/// Truncated hash of an endpoint id.
pub type EndpointKey = u32;
/// Truncated hash of a pool id.
pub type PoolKey = u32;
/// Truncated hash of a team id.
pub type TeamKey = u32;
/// Truncated hash of the id of a kind of work.
pub type WorkKey = u32;
/// Hash of a team id and a chat id; 0 stands for no chat.
pub type ChatKey = u64;
/// Log offset of the record by which a host took ownership of a resource.
pub type Epoch = u64;
/// Position in the log, unique and increasing across all streams.
pub type Offset = u64;

// Each kind of object has a seed of its own, so that equal ids of different kinds
// are hashed differently.
const ENDPOINT_SEED: u64 = 1;
const POOL_SEED: u64 = 2;
const TEAM_SEED: u64 = 3;
const WORK_SEED: u64 = 4;
const CHAT_SEED: u64 = 5;
const RANGE_SEED: u64 = 6;

/// Key of an endpoint id.
pub fn endpoint_key(id: &str) -> EndpointKey {
    short_hash(id, ENDPOINT_SEED)
}

/// Key of a pool id.
pub fn pool_key(id: &str) -> PoolKey {
    short_hash(id, POOL_SEED)
}

/// Key of a team id.
pub fn team_key(id: &str) -> TeamKey {
    short_hash(id, TEAM_SEED)
}

/// Key of the id of a kind of work.
pub fn work_key(id: &str) -> WorkKey {
    short_hash(id, WORK_SEED)
}

/// Key of a team's chat. Chats of different teams never share state, so the
/// team is part of the hash. Never 0.
pub fn chat_key(team: &str, chat: &str) -> ChatKey {
    let seed = xxh3_64_with_seed(team.as_bytes(), CHAT_SEED);
    xxh3_64_with_seed(chat.as_bytes(), seed).max(1)
}

/// Number of the range, below `ranges`, that holds a team's idempotency key.
pub fn key_range(team: &str, key: &str, ranges: u32) -> u32 {
    let seed = xxh3_64_with_seed(team.as_bytes(), RANGE_SEED);
    (xxh3_64_with_seed(key.as_bytes(), seed) % u64::from(ranges.max(1))) as u32
}

/// xxh3 digest of a byte string.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

fn short_hash(id: &str, seed: u64) -> u32 {
    xxh3_64_with_seed(id.as_bytes(), seed) as u32
}
