//! Decides what follows a send that did not end in a whole answer.
//!
//! Load pattern: endpoints reset connections, fail a part of their requests or
//! refuse them while full. A request that may have run is sent again only if its
//! route allows a second run; a refusal is told to the caller only while it is true.

/// Connections that may fail for one request before it is given up.
const MAX_FAILED_CONNECTS: u32 = 3;
/// Sends beyond the attempts of the route that endpoints may refuse unrun.
const MAX_REFUSED_SENDS: u32 = 2;

/// How a send ended, without a whole answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SendOutcome {
    /// No byte of the request left this host.
    NotSent,
    /// The endpoint said that it did not run the request.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The endpoint answered with a failure of its own.
    Failed,
}

/// What a route allows.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    pub may_rerun: bool,
    pub max_attempts: u32,
}

/// Sends of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    pub failed_connects: u32,
    pub refused_sends: u32,
    /// Sends after which the request may have run.
    pub runs: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Choose another endpoint; no repeat is counted, since nothing was sent.
    Reconnect,
    /// Send again if the retry budget allows it.
    Repeat,
    GiveUp,
}

impl AttemptHistory {
    pub fn record(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent => self.failed_connects += 1,
            SendOutcome::NotRun => self.refused_sends += 1,
            SendOutcome::MayHaveRun | SendOutcome::Failed => self.runs += 1,
        }
    }

    /// Whether "not run" is still a true answer.
    pub fn has_not_run(&self) -> bool {
        self.runs == 0
    }
}

/// The step after an outcome that is already recorded in the history.
pub fn next_step(rule: &RetryPolicy, history: &AttemptHistory, outcome: SendOutcome) -> NextStep {
    let may_run_again = history.runs == 0 || (rule.may_rerun && history.runs < rule.max_attempts);
    if !may_run_again {
        return NextStep::GiveUp;
    }
    match outcome {
        SendOutcome::NotSent if history.failed_connects <= MAX_FAILED_CONNECTS => {
            NextStep::Reconnect
        }
        SendOutcome::NotRun if history.refused_sends <= MAX_REFUSED_SENDS => NextStep::Repeat,
        SendOutcome::MayHaveRun | SendOutcome::Failed => NextStep::Repeat,
        SendOutcome::NotSent | SendOutcome::NotRun => NextStep::GiveUp,
    }
}
