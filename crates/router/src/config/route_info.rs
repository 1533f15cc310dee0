use {
    super::{team_info::TeamInfo, work_info::WorkInfo},
    mango_config::{Selector, SelectorError},
    mango_wire::{PoolKey, config::Route, pool_key},
};

/// Compiled route: the selectors of team and work, and the pool that matching work may use.
#[derive(Clone, Debug)]
pub(crate) struct RouteInfo {
    pub(crate) id: String,
    pub(crate) work: Selector,
    pub(crate) team: Selector,
    pub(crate) pool: PoolKey,
    /// Service in the request path; `None` for model work.
    pub(crate) service: Option<String>,
    pub(crate) version: u64,
    route: Route,
}

impl RouteInfo {
    pub(crate) fn new(route: Route, version: u64) -> Result<Self, SelectorError> {
        Ok(Self {
            id: route.id.clone(),
            work: route.work.parse()?,
            team: route.team.parse()?,
            pool: pool_key(&route.pool),
            service: route.service.clone(),
            version,
            route,
        })
    }

    /// Id of the target pool.
    pub(crate) fn pool_id(&self) -> &str {
        &self.route.pool
    }

    /// Whether the route admits work of this team, kind and service. `service`
    /// is `None` for model work.
    pub(crate) fn admits(&self, team: &TeamInfo, work: &WorkInfo, service: Option<&str>) -> bool {
        self.service.as_deref() == service
            && self.team.matches(|key| team.label(key))
            && self.work.matches(|key| work.label(key))
    }

    /// Converts back to the configuration object.
    pub(crate) fn to_route(&self) -> Route {
        self.route.clone()
    }
}
