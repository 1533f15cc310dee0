use {
    super::part_key::PartKey,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long a response is remembered, which speaks for its parts when an endpoint crashes.
const REMEMBERED_TIME: Duration = Duration::from_secs(60);
/// Most parts that are remembered.
const MAX_PARTS: usize = 1_024;

/// When this host last saw a response begin, by the parts of the request.
#[derive(Debug, Default)]
pub(super) struct RecentResponses(HashMap<PartKey, Instant>);

impl RecentResponses {
    pub(super) fn record(&mut self, part: PartKey, at: Instant) {
        let has_room = self.0.len() < MAX_PARTS;
        match self.0.get_mut(&part) {
            Some(last) => *last = at.max(*last),
            None if has_room => drop(self.0.insert(part, at)),
            None => {}
        }
    }

    pub(super) fn last(&self, part: PartKey) -> Option<Instant> {
        self.0.get(&part).copied()
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED_TIME);
    }
}
