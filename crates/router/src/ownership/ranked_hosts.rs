use {
    super::resource_id::ResourceId,
    crate::{membership::HostInfo, placement::rank_names},
    mango_wire::{HostId, digest},
};

/// Returns the first `count` hosts of a region in the order in which they should own a
/// resource, by rendezvous hashing. An empty region means all regions.
pub(super) fn ranked_hosts(
    resource: &ResourceId,
    region: &str,
    hosts: &[HostInfo],
    count: usize,
) -> Vec<HostId> {
    let in_region = |info: &&HostInfo| region.is_empty() || info.region == region;
    let names = hosts.iter().filter(in_region).map(|info| info.host_id.as_str());
    rank_names(digest(resource.as_str().as_bytes()), names)
        .into_iter()
        .take(count)
        .map(str::to_owned)
        .collect()
}
