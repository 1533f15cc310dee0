use {
    super::{route_info::RouteInfo, team_info::TeamInfo, work_info::WorkInfo},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// All routes, indexed by the team ids or work ids that their selectors require.
/// Routes that require neither are checked for every request.
#[derive(Clone, Default)]
pub(crate) struct RouteTable {
    by_id: BTreeMap<String, Arc<RouteInfo>>,
    by_team: HashMap<String, Vec<Arc<RouteInfo>>>,
    by_work: HashMap<String, Vec<Arc<RouteInfo>>>,
    unindexed: Vec<Arc<RouteInfo>>,
}

impl RouteTable {
    pub(crate) fn new(by_id: BTreeMap<String, Arc<RouteInfo>>) -> Self {
        let mut table = Self::default();
        for route in by_id.values() {
            if let Some(teams) = route.team.required_values("team.id") {
                add_to_index(&mut table.by_team, teams, route);
            } else if let Some(works) = route.work.required_values("work.id") {
                add_to_index(&mut table.by_work, works, route);
            } else {
                table.unindexed.push(route.clone());
            }
        }
        table.by_id = by_id;
        table
    }

    /// All routes by id.
    pub(crate) fn by_id(&self) -> &BTreeMap<String, Arc<RouteInfo>> {
        &self.by_id
    }

    /// Routes that admit the work, ordered by route id.
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
            .chain(&self.unindexed)
            .filter(|route| route.admits(team, work, service))
            .collect();
        routes.sort_by(|a, b| a.id.cmp(&b.id));
        routes
    }
}

fn add_to_index(
    index: &mut HashMap<String, Vec<Arc<RouteInfo>>>,
    values: &[String],
    route: &Arc<RouteInfo>,
) {
    for (position, value) in values.iter().enumerate() {
        // a selector may list the same value twice
        if !values[..position].contains(value) {
            index.entry(value.clone()).or_default().push(route.clone());
        }
    }
}
