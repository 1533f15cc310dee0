use {
    super::refusal::Refusal,
    crate::{config::EndpointInfo, endpoint::CallFailure},
    mango_wire::{EndpointKey, problem::Verdict},
};

/// Maximum number of steps of one request that are kept for the state dump.
const MAX_STEPS: usize = 64;

/// What was tried for one request, over all its attempts, and which endpoints are excluded
/// from further attempts.
#[derive(Default)]
pub(crate) struct PlacementTrace {
    /// Answers of the endpoints' owners and failures of endpoints, each as `ENDPOINT: TEXT`.
    /// The step of a granted permit ends in ` granted`, by which `Dispatcher` finds the
    /// endpoint that is logged.
    pub(crate) steps: Vec<String>,
    /// Endpoints that have failed, or that run the first attempt of a hedged request.
    pub(crate) excluded: Vec<EndpointKey>,
    /// The newest failure of an endpoint.
    pub(crate) last_failure: Option<Refusal>,
    /// Whether any attempt may have run.
    may_have_run: bool,
}

impl PlacementTrace {
    /// Adds one step, unless `MAX_STEPS` are stored.
    pub(crate) fn add_step(&mut self, line: String) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(line);
        }
    }

    /// Records that an attempt at an endpoint failed, and excludes the endpoint.
    pub(crate) fn add_failure(&mut self, endpoint: &EndpointInfo, failure: &CallFailure) {
        self.add_step(format!("{}: {failure}", endpoint.id));
        self.excluded.push(endpoint.key);
        self.record_verdict(failure.verdict);
        self.last_failure = Some(failure.clone().into());
    }

    /// Records the verdict of one attempt.
    pub(crate) fn record_verdict(&mut self, verdict: Verdict) {
        self.may_have_run |= verdict != Verdict::NotRun;
    }

    /// Returns the refusal of the whole request, whose last attempt ended in `refusal`. If an
    /// earlier attempt may have run, the verdict becomes `MayHaveRun` even if the last one
    /// did not run.
    pub(crate) fn apply_overall_verdict(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.verdict == Verdict::NotRun {
            return Refusal { verdict: Verdict::MayHaveRun, ..refusal };
        }
        refusal
    }
}
