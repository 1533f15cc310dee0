//! Access to private parts of the router for the benchmark `capacity`, which measures
//! them without starting a router.

use {
    crate::{
        admission::WarmChats,
        config::Config,
        placement::{LoadTable, Planner},
        router::topology,
    },
    anyhow::{Context, Result, anyhow},
    mango_wire::{
        chat_key,
        config::{Change, ConfigObject, VersionedObject},
        settings::Policy,
    },
    std::{sync::Arc, time::Duration},
};

/// A compiled configuration and a planner that uses its pools and endpoints.
pub struct ConfigSample {
    config: Config,
    planner: Planner,
}

impl ConfigSample {
    /// Compiles a configuration from the objects of a snapshot. Fails if the keys of
    /// two teams collide.
    pub fn compile(objects: Vec<ConfigObject>) -> Result<Self> {
        let objects =
            objects.into_iter().map(|object| VersionedObject { object, version: 1 }).collect();
        let config = Config::from_objects(1, objects, Vec::new(), 0).map_err(|e| anyhow!("{e}"))?;
        let loads = Arc::new(LoadTable::new(Duration::from_secs(1), 0.2));
        let planner = Planner::new(Policy::Owner, 0.3, loads, 1);
        planner.set_topology(&topology(&config));
        Ok(Self { config, planner })
    }

    /// Decides whether the configuration accepts a change, and drops the result.
    pub fn decide(&self, change: &Change) -> Result<()> {
        self.config.decide(change, 2).map(|_| ()).map_err(|e| anyhow!("{e}"))
    }

    /// Finds the pools of a request and the first candidate endpoint, and returns
    /// the number of pools.
    pub fn place(&self, team: &str, work: &str, chat: &str) -> Result<usize> {
        let team = self.config.team(team).context("the configuration has no such team")?;
        let work = self.config.work(work).context("the configuration has no such work")?;
        let pools = self.config.pools_for(team, work, None);
        let pool = pools.first().context("no route admits the work")?;
        let plan = self.planner.plan(pool.key, chat_key(&team.id, chat), true);
        plan.and_then(|mut plan| plan.next()).context("the pool has no candidate endpoint")?;
        Ok(pools.len())
    }
}

/// Warm chats of one engine, which are the chats that its KV cache is assumed to hold.
pub struct WarmChatSample(WarmChats);

impl WarmChatSample {
    /// Creates the list that an engine's owner keeps, with this many chats.
    pub fn filled(chats: usize) -> Self {
        let mut warm = WarmChats::new(chats);
        (0..chats).for_each(|n| warm.insert(chat_key("team", &n.to_string())));
        Self(warm)
    }

    pub fn chats(&self) -> usize {
        self.0.len()
    }
}
