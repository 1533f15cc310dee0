use {
    super::endpoint_record::EndpointId,
    std::collections::{HashMap, VecDeque},
};

/// Most departures that are remembered.
const MAX_DEPARTURES: usize = 4_096;

/// The starts of endpoints that have said that they are about to stop.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Start of the process that leaves, in Unix milliseconds.
    started_at_unix_ms: HashMap<EndpointId, u64>,
    /// In the order in which they were recorded.
    ids: VecDeque<EndpointId>,
}

impl Departures {
    /// Records a departure. Returns whether it was not known.
    pub(super) fn record(&mut self, id: &EndpointId, started_at_unix_ms: u64) -> bool {
        match self.started_at_unix_ms.get_mut(id) {
            Some(known) => {
                let is_new = *known < started_at_unix_ms;
                *known = (*known).max(started_at_unix_ms);
                is_new
            }
            None => {
                self.started_at_unix_ms.insert(id.clone(), started_at_unix_ms);
                self.ids.push_back(id.clone());
                if self.ids.len() > MAX_DEPARTURES
                    && let Some(oldest) = self.ids.pop_front()
                {
                    self.started_at_unix_ms.remove(&oldest);
                }
                true
            }
        }
    }

    /// Whether the process of an endpoint that started then has said that it leaves.
    pub(super) fn contains(&self, id: &str, started_at_unix_ms: u64) -> bool {
        self.started_at_unix_ms.get(id).is_some_and(|known| started_at_unix_ms <= *known)
    }
}
