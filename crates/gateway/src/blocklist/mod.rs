//! Refuses requests with prompt parts that crash endpoints.
//!
//! A crash ends all requests that an endpoint holds, nearly all of them sound, and each host sees
//! only its own. Hosts collect, for each part of a prompt, the crashes of endpoints that held a
//! request with it whose response had not begun. A response that begins on a part shows that it
//! is sound. Hosts exchange this by gossip and merge it; each decides by itself.

mod block;
mod crash;
#[cfg(test)]
mod merge_tests;
mod part_blocklist;
mod part_key;
mod part_record;
mod part_records;
mod recent_responses;
#[cfg(test)]
mod replay_tests;
mod shared_blocklist;
#[cfg(test)]
mod tests;

pub(crate) use {
    crash::Crash,
    part_blocklist::BlockedPart,
    part_key::{PartKey, TeamHash, part_keys, team_hash},
    shared_blocklist::SharedBlocklist,
};
