use {
    parking_lot::Mutex,
    serde::Serialize,
    std::{collections::VecDeque, time::SystemTime},
};

/// Maximum number of decisions that the log keeps.
const MAX_DECISIONS: usize = 256;

/// Where one request was placed, or why it was refused.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Decision {
    pub(crate) at_ms: u64,
    pub(crate) request_id: String,
    pub(crate) team: String,
    pub(crate) work: String,
    /// Endpoint that granted a permit last.
    pub(crate) endpoint: Option<String>,
    /// `answered`, or the reason and the verdict of the refusal.
    pub(crate) outcome: String,
    /// Endpoints tried, each with its owner's answer or its failure.
    pub(crate) tries: Vec<String>,
}

/// Log of the newest placement decisions, for the state dump.
#[derive(Default)]
pub(crate) struct DecisionLog {
    newest: Mutex<VecDeque<Decision>>,
}

impl DecisionLog {
    pub(crate) fn push(&self, decision: Decision) {
        let mut newest = self.newest.lock();
        if newest.len() == MAX_DECISIONS {
            newest.pop_front();
        }
        newest.push_back(decision);
    }

    /// Returns the decisions, newest first.
    pub(crate) fn list(&self) -> Vec<Decision> {
        self.newest.lock().iter().rev().cloned().collect()
    }
}

/// Wall-clock time in milliseconds since 1970.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
