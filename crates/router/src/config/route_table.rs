use {
    super::{route_info::RouteInfo, team_info::TeamInfo, work_info::WorkInfo},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// All routes, indexed by the team or kind of work that they demand.
#[derive(Clone, Default)]
pub(crate) struct RouteTable {
    by_id: BTreeMap<String, Arc<RouteInfo>>,
    by_team: HashMap<String, Vec<Arc<RouteInfo>>>,
    by_work: HashMap<String, Vec<Arc<RouteInfo>>>,
    others: Vec<Arc<RouteInfo>>,
}

impl RouteTable {
    pub(crate) fn new(by_id: BTreeMap<String, Arc<RouteInfo>>) -> Self {
        let mut table = Self::default();
        for route in by_id.values() {
            if let Some(teams) = route.team.required_values("team.id") {
                add(&mut table.by_team, teams, route);
            } else if let Some(works) = route.work.required_values("work.id") {
                add(&mut table.by_work, works, route);
            } else {
                table.others.push(route.clone());
            }
        }
        table.by_id = by_id;
        table
    }

    /// All routes by id.
    pub(crate) fn by_id(&self) -> &BTreeMap<String, Arc<RouteInfo>> {
        &self.by_id
    }

    /// Routes that admit the work, ordered by id.
    pub(crate) fn admitting(
        &self,
        team: &TeamInfo,
        work: &WorkInfo,
        service: Option<&str>,
    ) -> Vec<&Arc<RouteInfo>> {
        let by_team = self.by_team.get(&team.id).into_iter().flatten();
        let by_work = self.by_work.get(&work.id).into_iter().flatten();
        let mut routes: Vec<_> = by_team
            .chain(by_work)
            .chain(&self.others)
            .filter(|route| route.admits(team, work, service))
            .collect();
        routes.sort_by(|a, b| a.id.cmp(&b.id));
        routes
    }
}

fn add(
    index: &mut HashMap<String, Vec<Arc<RouteInfo>>>,
    values: &[String],
    route: &Arc<RouteInfo>,
) {
    for (position, value) in values.iter().enumerate() {
        // a value may be named twice in one set
        if !values[..position].contains(value) {
            index.entry(value.clone()).or_default().push(route.clone());
        }
    }
}
