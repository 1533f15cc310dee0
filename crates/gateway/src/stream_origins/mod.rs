//! The software version at which each stream began.
//!
//! What two software versions of an endpoint write does not fit together, so a stream goes on only
//! at the version that brought its first event: its origin.

mod allowed_versions;
mod version_hash;

pub(crate) use {
    allowed_versions::AllowedVersions,
    version_hash::{VersionHash, version_hash},
};
