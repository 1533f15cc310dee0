use {
    super::refusal::Refusal,
    crate::{config::EndpointInfo, endpoint::CallFailure},
    mango_wire::{EndpointKey, problem::Verdict},
};

/// Steps of one placement kept for the state dump.
const MAX_TRIES: usize = 64;

/// One placement: what was tried, and what is left out.
#[derive(Default)]
pub(crate) struct Trace {
    pub(crate) tries: Vec<String>,
    pub(crate) excluded: Vec<EndpointKey>,
    /// The newest failure of an endpoint.
    pub(crate) failed: Option<Refusal>,
    /// Whether any sending may have run.
    may_have_run: bool,
}

impl Trace {
    /// Notes one step.
    pub(crate) fn add(&mut self, line: String) {
        if self.tries.len() < MAX_TRIES {
            self.tries.push(line);
        }
    }

    /// Notes that a sending to an endpoint failed.
    pub(crate) fn add_failure(&mut self, endpoint: &EndpointInfo, failure: &CallFailure) {
        self.add(format!("{}: {failure}", endpoint.id));
        self.excluded.push(endpoint.key);
        self.note(failure.verdict);
        self.failed = Some(failure.clone().into());
    }

    /// Notes the verdict of one sending.
    pub(crate) fn note(&mut self, verdict: Verdict) {
        self.may_have_run |= verdict != Verdict::NotRun;
    }

    /// Refusal of the whole request, whose last attempt ended in `refusal`: an
    /// attempt that was not run does not undo an earlier one that may have run.
    pub(crate) fn conclude(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.verdict == Verdict::NotRun {
            return Refusal { verdict: Verdict::MayHaveRun, ..refusal };
        }
        refusal
    }
}
