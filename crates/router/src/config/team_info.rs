use {
    super::key_map::Keyed,
    mango_wire::{TeamKey, config::Team, team_key},
    std::collections::HashMap,
};

/// Compiled configuration of a team.
#[derive(Clone, Debug)]
pub(crate) struct TeamInfo {
    pub(crate) key: TeamKey,
    pub(crate) id: String,
    pub(crate) labels: HashMap<String, String>,
    /// Share of an engine's capacity relative to other teams with waiting requests.
    pub(crate) weight: f64,
    /// Greatest number of the team's requests in progress on one host.
    pub(crate) max_in_flight: u32,
    pub(crate) version: u64,
}

impl TeamInfo {
    pub(crate) fn new(team: Team, version: u64) -> Self {
        Self {
            key: team_key(&team.id),
            id: team.id,
            labels: team.labels,
            weight: team.weight,
            max_in_flight: team.max_in_flight,
            version,
        }
    }

    /// Value of a selector key: `team.id` or the name of a label.
    pub(crate) fn label(&self, key: &str) -> Option<&str> {
        match key {
            "team.id" => Some(&self.id),
            _ => self.labels.get(key).map(String::as_str),
        }
    }

    /// Converts back to the configuration object.
    pub(crate) fn to_team(&self) -> Team {
        Team {
            id: self.id.clone(),
            labels: self.labels.clone(),
            max_in_flight: self.max_in_flight,
            weight: self.weight,
        }
    }
}

impl Keyed for TeamInfo {
    fn key(&self) -> u32 {
        self.key
    }

    fn id(&self) -> &str {
        &self.id
    }

    fn version(&self) -> u64 {
        self.version
    }
}
