use {
    super::decision::Decision,
    std::{collections::VecDeque, time::Instant},
};

const MAX_DECISIONS: usize = 32;

/// Newest decisions of one engine: time, request, decision, requests in flight and
/// cap.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    decisions: VecDeque<(Instant, u64, Decision, u32, u32)>,
}

impl DecisionLog {
    pub(crate) fn add(
        &mut self,
        now: Instant,
        request: u64,
        decision: Decision,
        in_flight: u32,
        cap: u32,
    ) {
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back((now, request, decision, in_flight, cap));
    }

    /// One line for each decision, oldest first.
    pub(crate) fn lines(&self, now: Instant) -> Vec<String> {
        let line = |(at, request, decision, in_flight, cap): &(
            Instant,
            u64,
            Decision,
            u32,
            u32,
        )| {
            let age_ms = now.saturating_duration_since(*at).as_millis();
            format!(
                "age_ms={age_ms} request={request} decision={decision:?} in_flight={in_flight} cap={cap}"
            )
        };
        self.decisions.iter().map(line).collect()
    }
}
