//! The software version at which each stream began.
//!
//! What two software versions of an endpoint write does not fit together, so a stream goes on only
//! at the version that brought its first event: its origin. Callers take streams up through any
//! host, also after all hosts were killed. While a service has several software versions, each host
//! therefore appends the origins of its streams to a log in the store, and reads it when a caller
//! takes up a stream that it does not know.
//!
//! Which versions a service may have is not left to the directory of one host, which can be out of
//! date or, after a restart, lack a version that has just left. A record in the store names them: a
//! stream that may be taken up begins only at a version that the record names, and a version is
//! removed from it only after no endpoint of it was in service for the longest time for which a
//! stream goes on. A host that reads the record after a take-up has arrived therefore knows every
//! version at which its stream can have begun.

mod allowed_versions;
mod open_stream;
mod origin_reader;
mod origin_store;
mod origin_table;
#[cfg(test)]
mod origin_table_tests;
mod origin_writer;
#[cfg(test)]
mod origin_writer_tests;
mod refresh_rounds;
#[cfg(test)]
mod replay_plan;
#[cfg(test)]
mod replay_tests;
mod service_versions;
#[cfg(test)]
mod service_versions_tests;
mod shared_origins;
#[cfg(test)]
mod stale_directory_tests;
mod stream_key;
#[cfg(test)]
mod test_peers;
mod version_hash;
mod version_ledger;
mod version_publisher;
mod version_record;

pub(crate) use {
    allowed_versions::AllowedVersions,
    open_stream::OpenStream,
    origin_reader::OriginReader,
    origin_writer::write_origins,
    shared_origins::{OriginUnknown, SharedOrigins, TakeUp},
    stream_key::{StreamKey, stream_key},
    version_hash::{VersionHash, version_hash},
    version_publisher::VersionPublisher,
};
pub use {
    origin_store::{OriginBatch, OriginChanges, OriginStore, StreamOrigin},
    version_record::{
        ConditionalAppend, NamedVersion, SoftwareVersion, VersionListing, VersionRecord,
    },
};
