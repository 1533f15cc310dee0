use xxhash_rust::xxh3::xxh3_64;

/// Hash of the name of a software version.
pub(crate) type VersionHash = u64;

pub(crate) fn version_hash(software_version: &str) -> VersionHash {
    xxh3_64(software_version.as_bytes())
}
