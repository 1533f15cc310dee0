use super::version_hash::{VersionHash, version_hash};

/// The software versions of endpoints at which a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AllowedVersions {
    Any,
    Only(VersionHash),
}

impl AllowedVersions {
    pub(crate) fn contains(&self, software_version: &str) -> bool {
        match self {
            AllowedVersions::Any => true,
            AllowedVersions::Only(version) => version_hash(software_version) == *version,
        }
    }
}
