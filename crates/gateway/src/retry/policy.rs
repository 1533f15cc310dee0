//! Decides whether a request is sent again after a send that did not succeed. A send is one
//! attempt to pass the request to one endpoint, whether or not a connection can be opened.
//!
//! Load pattern: endpoints reset connections, fail a part of their requests, or refuse
//! requests while they are full. A request that may have run is sent again only if its route
//! allows a second run. The caller receives "not run" only if no endpoint may have run the
//! request.

/// Failed connections that are tolerated for one request; the next one ends it.
const MAX_FAILED_CONNECTS: u32 = 3;
/// Refused sends that are tolerated for one request, apart from the route's attempts; the
/// next one ends it.
const MAX_REFUSED_SENDS: u32 = 2;

/// Result of a send that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SendOutcome {
    /// No byte of the request left this host.
    NotSent,
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// No valid response arrived, so the request may have run.
    MayHaveRun,
    /// The endpoint responded with a 5xx status.
    Failed,
}

/// What a route allows for its requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether a request may run again after it may have run.
    pub may_rerun: bool,
    /// Maximum number of sends after which the request may have run; failed connections and
    /// refused sends do not count.
    pub max_attempts: u32,
}

/// Counts of the sends of one request so far, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    pub failed_connects: u32,
    pub refused_sends: u32,
    /// Sends after which the request may have run.
    pub possible_runs: u32,
}

/// What to do after a send that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another endpoint without using the retry budget, since nothing was sent.
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
            SendOutcome::MayHaveRun | SendOutcome::Failed => self.possible_runs += 1,
        }
    }

    /// Whether no endpoint can have run the request so far.
    pub fn has_not_run(&self) -> bool {
        self.possible_runs == 0
    }
}

/// Chooses the step after a send with the given outcome, which `history` already includes.
pub fn next_step(policy: &RetryPolicy, history: &AttemptHistory, outcome: SendOutcome) -> NextStep {
    let may_run_again = history.possible_runs == 0
        || (policy.may_rerun && history.possible_runs < policy.max_attempts);
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
