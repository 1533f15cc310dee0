use {
    super::{
        caller_limits::CallerLimits, interactive::has_interactive_route, route::Route,
        service::Service, team::Team,
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
};

/// One version of the configuration, which operators publish in the store.
#[derive(Debug, Default)]
pub struct RoutingConfig {
    pub version: u64,
    pub limits: CallerLimits,
    /// Routes by host name, sorted by the length of their path prefix, longest first.
    routes: HashMap<Rc<str>, Vec<Rc<Route>>>,
    services: HashMap<Rc<str>, Service>,
    /// Teams by API key.
    teams: HashMap<Box<str>, Rc<Team>>,
    requires_api_key: bool,
    has_interactive_route: bool,
}

impl RoutingConfig {
    /// Builds a configuration. API keys are required if `teams` is given, even if it is empty.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<Team>>,
    ) -> RoutingConfig {
        let has_interactive_route = has_interactive_route(&routes);
        let mut by_host: HashMap<Rc<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host_name.clone()).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let requires_api_key = teams.is_some();
        let mut by_key = HashMap::new();
        for team in teams.unwrap_or_default().into_iter().map(Rc::new) {
            for key in &team.api_keys {
                by_key.insert(key.clone(), team.clone());
            }
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        RoutingConfig {
            version,
            limits,
            routes: by_host,
            services,
            teams: by_key,
            requires_api_key,
            has_interactive_route,
        }
    }

    /// The route of the host name with the longest path prefix that matches the path.
    pub fn find_route(&self, host_name: &str, path: &str) -> Option<&Rc<Route>> {
        // the first match is the longest, since the routes are sorted by prefix length
        self.routes.get(host_name)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    pub fn find_team_by_key(&self, api_key: &str) -> Option<&Rc<Team>> {
        self.teams.get(api_key)
    }

    /// Whether callers need an API key on routes that do not allow anonymous requests.
    pub fn requires_api_key(&self) -> bool {
        self.requires_api_key
    }

    /// Whether the routes' targets ask for answers in time before all others.
    pub(crate) fn has_interactive_route(&self) -> bool {
        self.has_interactive_route
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The longest time limit of a route whose streams callers may take up.
    pub(crate) fn longest_stream(&self) -> Duration {
        let routes = self.routes.values().flatten().filter(|route| route.is_resumable);
        Duration::from_millis(routes.map(|route| route.timeout_ms).max().unwrap_or(0))
    }

    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
