//! The software version at which each stream began.
//!
//! What two software versions of an endpoint write does not fit together, so a stream goes on only
//! at the version that brought its first event: its origin. Callers take streams up through any
//! host, also after all hosts were killed. While a service has several software versions, each host
//! therefore appends the origins of its streams to a log in the store, and reads it when a caller
//! takes up a stream that it does not know.

mod allowed_versions;
mod origin_reader;
mod origin_store;
mod origin_table;
#[cfg(test)]
mod origin_table_tests;
mod origin_writer;
mod refresh_rounds;
mod shared_origins;
mod stream_key;
mod version_hash;

pub use origin_store::{OriginBatch, OriginChanges, OriginStore, StreamOrigin};
pub(crate) use {
    allowed_versions::AllowedVersions,
    origin_reader::OriginReader,
    origin_writer::write_origins,
    shared_origins::{OriginUnknown, SharedOrigins, TakeUp},
    stream_key::{StreamKey, stream_key},
    version_hash::{VersionHash, version_hash},
};
