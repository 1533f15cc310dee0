//! Messages, settings and ids that the processes of mangobridge share.
//!
//! The modules below `generated` come from `schema/*.json` by `schema/generate`.

mod codec;
#[allow(dead_code, reason = "typify emits default helpers that not every file uses")]
mod generated;
mod ids;
mod reason;

pub use {
    codec::{
        CodecError, MAX_MESSAGE_BYTES, decode_bounded, decode_message, encode_bounded,
        encode_message,
    },
    generated::{config, gossip, peer, platform, problem, records, settings},
    ids::{
        ChatKey, EndpointKey, Epoch, HostId, Offset, PoolKey, TeamKey, WorkKey, chat_key, digest,
        endpoint_key, key_range, pool_key, team_key, work_key,
    },
    reason::Reason,
};
