use {
    parking_lot::Mutex,
    serde::Serialize,
    std::{collections::VecDeque, time::SystemTime},
};

const KEPT: usize = 256;

/// What was decided for one request, and why.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Decision {
    pub(crate) at_ms: u64,
    pub(crate) request_id: String,
    pub(crate) team: String,
    pub(crate) work: String,
    pub(crate) endpoint: Option<String>,
    pub(crate) outcome: String,
    /// Engines that were asked, and what their owners answered.
    pub(crate) tries: Vec<String>,
}

/// The newest decisions, for the state dump.
#[derive(Default)]
pub(crate) struct DecisionLog {
    newest: Mutex<VecDeque<Decision>>,
}

impl DecisionLog {
    pub(crate) fn push(&self, decision: Decision) {
        let mut newest = self.newest.lock();
        if newest.len() == KEPT {
            newest.pop_front();
        }
        newest.push_back(decision);
    }

    /// Newest first.
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
