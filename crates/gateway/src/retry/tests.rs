use super::{AttemptHistory, NextStep, RetryPolicy, SendOutcome, next_step};

/// Policy of a request that must not run twice, whatever its maximum number of attempts.
const ONCE: RetryPolicy = RetryPolicy { may_rerun: false, max_attempts: 2 };
/// Policy of a request that may run twice.
const TWICE: RetryPolicy = RetryPolicy { may_rerun: true, max_attempts: 2 };

/// Records the outcomes in order; returns the step after the last one.
fn after(policy: &RetryPolicy, outcomes: &[SendOutcome]) -> (NextStep, AttemptHistory) {
    let mut history = AttemptHistory::default();
    let mut step = NextStep::GiveUp;
    for outcome in outcomes {
        history.record(*outcome);
        step = next_step(policy, &history, *outcome);
    }
    (step, history)
}

/// Guards against running a non-idempotent request, such as a booking, twice.
#[test]
fn a_request_that_may_have_run_is_sent_again_only_if_it_may_rerun() {
    assert_eq!(after(&ONCE, &[SendOutcome::MayHaveRun]).0, NextStep::GiveUp);
    assert_eq!(after(&ONCE, &[SendOutcome::Failed]).0, NextStep::GiveUp);
    let refused_later = [SendOutcome::MayHaveRun, SendOutcome::NotRun];
    assert_eq!(after(&ONCE, &refused_later).0, NextStep::GiveUp);
    assert_eq!(after(&TWICE, &[SendOutcome::MayHaveRun]).0, NextStep::Repeat);
}

/// Guards against more runs than the route allows.
#[test]
fn runs_are_bounded_by_the_route() {
    let runs = [SendOutcome::MayHaveRun, SendOutcome::Failed];
    assert_eq!(after(&TWICE, &runs).0, NextStep::GiveUp);
}

/// Guards against reporting "not run" for a request that may have run, and against giving up
/// a request that has not run.
#[test]
fn refused_and_unsent_requests_may_go_to_another_endpoint() {
    let (step, history) = after(&ONCE, &[SendOutcome::NotRun]);
    assert_eq!((step, history.has_not_run()), (NextStep::Repeat, true));
    let (step, history) = after(&ONCE, &[SendOutcome::NotSent, SendOutcome::NotSent]);
    assert_eq!((step, history.has_not_run()), (NextStep::Reconnect, true));
    let (_, history) = after(&ONCE, &[SendOutcome::NotSent, SendOutcome::MayHaveRun]);
    assert!(!history.has_not_run());
}

/// Guards against endless retries while every endpoint refuses or is unreachable.
#[test]
fn refusals_and_failed_connections_are_bounded() {
    assert_eq!(after(&ONCE, &[SendOutcome::NotRun; 4]).0, NextStep::GiveUp);
    assert_eq!(after(&ONCE, &[SendOutcome::NotSent; 5]).0, NextStep::GiveUp);
}
