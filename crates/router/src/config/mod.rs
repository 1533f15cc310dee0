mod compiled;
mod config_metrics;
mod config_state;
mod config_store;
mod endpoint_info;
mod explain;
mod follower;
mod key_map;

mod peer_snapshot;
mod pool_info;
mod publish_error;
mod route_info;
mod route_table;
mod snapshot_parts;
mod snapshot_source;
mod snapshot_writer;
mod team_info;
#[cfg(test)]
pub(crate) mod tests;
mod tombstones;
mod work_info;

pub(crate) use {
    compiled::Config,
    config_state::{ConfigEvent, ConfigState},
    config_store::{ConfigStatus, ConfigStore},
    endpoint_info::EndpointInfo,
    key_map::{KeyMap, Keyed},
    pool_info::PoolInfo,
    publish_error::PublishError,
    route_info::RouteInfo,
    snapshot_source::SnapshotSource,
    team_info::TeamInfo,
    work_info::WorkInfo,
};
