use {
    super::{
        compiled::Config, endpoint_info::EndpointInfo, pool_info::PoolInfo, route_info::RouteInfo,
        team_info::TeamInfo, work_info::WorkInfo,
    },
    mango_config::{
        EndpointExplanation, Explanation, ObjectName, PoolExplanation, RouteExplanation, Selector,
        TermExplanation,
    },
    mango_wire::config::ObjectKind,
    std::collections::BTreeMap,
};

// Bounds the response: it lists the excluded endpoints of each of up to 22 pools,
// out of 950 endpoints.
const MAX_OUTSIDE_ENDPOINTS: usize = 50;

impl Config {
    /// Reports which routes admit the work, which pools it may use, and the
    /// selector terms that decided each of them.
    pub(crate) fn explain(&self, team: &str, work: &str, service: Option<&str>) -> Explanation {
        let mut explanation = Explanation {
            version: self.version(),
            team: team.to_owned(),
            work: work.to_owned(),
            service: service.map(str::to_owned),
            unknown: None,
            pools: Vec::new(),
            routes: Vec::new(),
            pool_members: Vec::new(),
            placement: Vec::new(),
        };
        let Some(team) = self.team(team) else {
            explanation.unknown = Some(ObjectName::new(ObjectKind::Team, team).to_key());
            return explanation;
        };
        let Some(work) = self.work(work) else {
            explanation.unknown = Some(ObjectName::new(ObjectKind::Work, work).to_key());
            return explanation;
        };
        let mut pools = BTreeMap::new();
        for route in self.routes() {
            explanation.routes.push(explain_route(route, team, work, service));
            if route.service.as_deref() == service
                && let Some(pool) = self.pool(route.pool)
            {
                pools.insert(&pool.id, pool);
            }
        }
        explanation.pools =
            self.pools_for(team, work, service).iter().map(|pool| pool.id.clone()).collect();
        explanation.pool_members = pools.values().map(|pool| self.explain_pool(pool)).collect();
        explanation
    }

    fn explain_pool(&self, pool: &PoolInfo) -> PoolExplanation {
        let explain_endpoint = |endpoint: &EndpointInfo| EndpointExplanation {
            endpoint: endpoint.id.clone(),
            terms: explain_terms("selector", &pool.selector, |key| endpoint.label(key)),
        };
        let mut outside: Vec<_> =
            self.endpoints().filter(|endpoint| !pool.contains(&endpoint.id)).collect();
        outside.sort_by(|a, b| a.id.cmp(&b.id));
        PoolExplanation {
            pool: pool.id.clone(),
            selector: pool.selector.to_string(),
            endpoints: pool.endpoints.iter().map(|endpoint| explain_endpoint(endpoint)).collect(),
            outside_omitted: outside.len().saturating_sub(MAX_OUTSIDE_ENDPOINTS),
            outside: outside
                .into_iter()
                .take(MAX_OUTSIDE_ENDPOINTS)
                .map(|endpoint| EndpointExplanation {
                    endpoint: endpoint.id.clone(),
                    terms: explain_endpoint(endpoint)
                        .terms
                        .into_iter()
                        .filter(|t| !t.holds)
                        .collect(),
                })
                .collect(),
        }
    }
}

fn explain_route(
    route: &RouteInfo,
    team: &TeamInfo,
    work: &WorkInfo,
    service: Option<&str>,
) -> RouteExplanation {
    let mut terms = vec![TermExplanation {
        field: "service".to_owned(),
        term: route.service.clone().unwrap_or_else(|| "(model work)".to_owned()),
        found: service.map(str::to_owned),
        holds: route.service.as_deref() == service,
    }];
    let holds = |terms: &[TermExplanation]| terms.iter().all(|term| term.holds);
    if holds(&terms) {
        terms.extend(explain_terms("team", &route.team, |key| team.label(key)));
    }
    if holds(&terms) {
        terms.extend(explain_terms("work", &route.work, |key| work.label(key)));
    }
    RouteExplanation {
        route: route.id.clone(),
        pool: route.pool_id().to_owned(),
        admits: holds(&terms),
        terms,
    }
}

/// Evaluates the terms of a selector up to and including the first that does
/// not hold.
fn explain_terms<'a>(
    field: &str,
    selector: &Selector,
    lookup: impl Fn(&str) -> Option<&'a str>,
) -> Vec<TermExplanation> {
    let mut terms = Vec::new();
    for term in selector.terms() {
        let found = lookup(&term.key);
        let holds = term.holds(found);
        terms.push(TermExplanation {
            field: field.to_owned(),
            term: term.to_string(),
            found: found.map(str::to_owned),
            holds,
        });
        if !holds {
            break;
        }
    }
    terms
}
