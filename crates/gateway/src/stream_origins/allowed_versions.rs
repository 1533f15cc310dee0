use super::version_hash::{VersionHash, version_hash};

/// The software versions of endpoints at which a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AllowedVersions {
    Any,
    AnyOf(Vec<VersionHash>),
    Only(VersionHash),
}

impl AllowedVersions {
    pub(crate) fn contains(&self, software_version: &str) -> bool {
        match self {
            AllowedVersions::Any => true,
            AllowedVersions::AnyOf(versions) => versions.contains(&version_hash(software_version)),
            AllowedVersions::Only(version) => version_hash(software_version) == *version,
        }
    }
}
