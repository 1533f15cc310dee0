use crate::{
    config::Config,
    placement::{EngineSpec, PoolSpec, TeamSpec, Topology, WorkSpec},
};

/// Extracts from a configuration what admission and placement need.
pub(crate) fn topology(config: &Config) -> Topology {
    let engines = config.endpoints().map(|e| EngineSpec {
        key: e.key,
        id: e.id.clone(),
        slots: e.slots,
        weight: e.weight,
    });
    let pools = config.pools().map(|p| PoolSpec {
        key: p.key,
        cap_multiple: p.cap_multiple,
        engines: p.endpoints.iter().map(|e| e.key).collect(),
    });
    let teams = config.teams().map(|t| TeamSpec { key: t.key, weight: t.weight });
    let works = config.works().map(|w| WorkSpec {
        key: w.key,
        class: w.class,
        expected_tokens: w.expected_tokens,
    });
    Topology {
        engines: engines.collect(),
        pools: pools.collect(),
        teams: teams.collect(),
        works: works.collect(),
    }
}
