use {
    crate::{
        checks::{Violation, check},
        history::{
            Answer, Call, ConfigChange, ConfigSample, Execution, FinalConfig, History,
            LeftEndpoint, PlannedStop, Work,
        },
    },
    std::time::{Duration, Instant},
    uuid::Uuid,
};

/// Unit of the times in `valid_history`.
const STEP: Duration = Duration::from_millis(10);

fn booking(start: Instant, request: &str) -> Call {
    Call {
        host: 0,
        work: Work::Booking { key: "key".to_owned(), body_digest: "digest".to_owned() },
        started: start,
        ended: start + STEP * 2,
        answer: Answer {
            status: 200,
            request_id: request.to_owned(),
            complete: true,
            executed_digest: "digest".to_owned(),
            executed_attempt_id: format!("{request}-0"),
            ..Answer::default()
        },
    }
}

fn chat(start: Instant, text: &str) -> Call {
    Call {
        work: Work::Chat { expected: "abc def ".to_owned() },
        answer: Answer {
            status: 200,
            request_id: "chat".to_owned(),
            complete: true,
            text: text.to_owned(),
            ..Answer::default()
        },
        ..booking(start, "chat")
    }
}

fn execution(start: Instant, attempt: &str, key: Option<&str>) -> Execution {
    let key = key.map(str::to_owned);
    Execution { attempt_id: attempt.to_owned(), key, started: start + STEP }
}

fn sample(version: u64, content: &str) -> ConfigSample {
    ConfigSample { process: 0, version, content: content.to_owned() }
}

/// A history without a violation; each test changes one part of it.
fn valid_history() -> History {
    let start = Instant::now();
    let team = "team shared".to_owned();
    History {
        calls: vec![booking(start, "first"), chat(start, "abc def ")],
        executions: vec![
            execution(start, "first-0", Some("key")),
            execution(start, "chat-0", None),
        ],
        config_samples: vec![sample(1, "one"), sample(2, "two")],
        config_changes: vec![
            ConfigChange { version: 1, object: team.clone(), content: "one".to_owned() },
            ConfigChange { version: 2, object: team.clone(), content: "two".to_owned() },
        ],
        accepted_versions: vec![2],
        final_configs: vec![FinalConfig {
            process: 0,
            version: 2,
            objects: vec![(team, "two".to_owned())],
        }],
        left_endpoints: vec![LeftEndpoint {
            left_at: start,
            grace: STEP,
            new_request_times: vec![start + STEP / 2],
        }],
        planned_stops: vec![PlannedStop { host: 0, requested_at: start + STEP }],
        uncertain_before_ms: 0,
        records: Vec::new(),
    }
}

fn violations(history: &History) -> Vec<Violation> {
    let mut found: Vec<_> = check(history).into_iter().map(|(violation, _)| violation).collect();
    found.sort();
    found.dedup();
    found
}

// Guards against a checker that reports violations where there are none.
#[test]
fn valid_history_is_accepted() {
    assert_eq!(check(&valid_history()), []);
}

// Guards against a checker that misses work that ran twice under one key.
#[test]
fn second_execution_of_a_key_is_doubled() {
    let mut history = valid_history();
    history.executions.push(execution(Instant::now(), "second-0", Some("key")));
    assert_eq!(violations(&history), [Violation::Doubled]);
}

// Guards against a checker that misses an answer to work that never ran.
#[test]
fn answer_without_execution_is_lost() {
    let mut history = valid_history();
    history.executions.retain(|execution| execution.key.is_none());
    assert_eq!(violations(&history), [Violation::Lost]);
    let mut history = valid_history();
    history.executions.retain(|execution| execution.key.is_some());
    assert_eq!(violations(&history), [Violation::Lost]);
}

// Guards against a checker that accepts the answer of an execution from a call that
// ended before the execution.
#[test]
fn answer_before_the_execution_is_lost() {
    let mut history = valid_history();
    let mut early = booking(history.calls[0].started, "early");
    early.answer.executed_attempt_id = "first-0".to_owned();
    early.ended = early.started + STEP / 2;
    history.calls.push(early);
    // the call ended before the planned stop, so the stop did not cut it off
    assert_eq!(violations(&history), [Violation::Lost]);
}

// Guards against a checker that accepts a complete answer whose text is incomplete.
#[test]
fn complete_answer_with_missing_parts_is_lost() {
    let mut history = valid_history();
    history.calls[1].answer.text = "abc ".to_owned();
    assert_eq!(violations(&history), [Violation::Lost]);
}

// Guards against a checker that misses that a call got another request's answer.
#[test]
fn answer_of_another_request_is_crossed() {
    let mut history = valid_history();
    history.calls[0].answer.executed_digest = "other".to_owned();
    assert_eq!(violations(&history), [Violation::Crossed]);
    let mut history = valid_history();
    history.calls[1].answer.text = "xyz ".to_owned();
    history.calls[1].answer.complete = false;
    history.planned_stops.clear();
    assert_eq!(violations(&history), [Violation::Crossed]);
}

// Guards against a checker that accepts the verdict `not_run` for work that ran.
#[test]
fn not_run_of_work_that_ran_is_false() {
    for index in 0..2 {
        let mut history = valid_history();
        let answer = &mut history.calls[index].answer;
        answer.status = 503;
        answer.complete = false;
        answer.verdict = Some("not_run".to_owned());
        assert_eq!(violations(&history), [Violation::FalseNotRun]);
    }
}

// Guards against a checker that misses a router that returns to an older configuration.
#[test]
fn older_version_is_reverted() {
    let mut history = valid_history();
    history.config_samples.push(sample(1, "one"));
    assert_eq!(violations(&history), [Violation::RevertedConfig]);
}

// Guards against a checker that misses two different contents of one version.
#[test]
fn other_content_of_a_version_is_reverted() {
    let mut history = valid_history();
    history.config_samples.push(sample(2, "other"));
    assert_eq!(violations(&history), [Violation::RevertedConfig]);
}

// Guards against a checker that misses an accepted change that is not in force.
#[test]
fn accepted_change_without_effect_is_reverted() {
    let mut history = valid_history();
    history.final_configs[0].objects[0].1 = "one".to_owned();
    assert_eq!(violations(&history), [Violation::RevertedConfig]);
    let mut history = valid_history();
    history.final_configs[0].version = 1;
    assert_eq!(violations(&history), [Violation::RevertedConfig]);
    let mut history = valid_history();
    history.accepted_versions.push(7);
    assert_eq!(violations(&history), [Violation::RevertedConfig]);
}

// Guards against a checker that misses new requests to an endpoint that left.
#[test]
fn late_new_work_to_a_left_endpoint_is_found() {
    let mut history = valid_history();
    let late = history.left_endpoints[0].left_at + STEP * 2;
    history.left_endpoints[0].new_request_times.push(late);
    assert_eq!(violations(&history), [Violation::WorkAfterLeave]);
}

// Guards against a checker that misses a request cut off by a planned stop.
#[test]
fn open_request_without_an_answer_is_cut_off() {
    for index in 0..2 {
        let mut history = valid_history();
        let answer = &mut history.calls[index].answer;
        answer.status = 0;
        answer.complete = false;
        assert_eq!(violations(&history), [Violation::CutOffAtStop]);
    }
}

// Guards against a checker that attributes every unknown outcome to an outage, and so
// misses requests that a planned stop cut off.
#[test]
fn unknown_outcome_is_excused_only_by_an_outage_after_the_key() {
    let mut history = valid_history();
    let key = Uuid::now_v7();
    let (seconds, _) = key.get_timestamp().expect("key of version 7").to_unix();
    history.executions.retain(|execution| execution.key.is_none());
    history.calls[0].work =
        Work::Booking { key: key.to_string(), body_digest: "digest".to_owned() };
    let answer = &mut history.calls[0].answer;
    answer.status = 409;
    answer.complete = false;
    answer.verdict = Some("may_have_run".to_owned());
    answer.reason = Some("outcome_unknown".to_owned());
    assert_eq!(violations(&history), [Violation::CutOffAtStop]);
    history.uncertain_before_ms = (seconds - 1) * 1000;
    assert_eq!(violations(&history), [Violation::CutOffAtStop]);
    history.uncertain_before_ms = (seconds + 1) * 1000;
    assert_eq!(violations(&history), []);
    let started = history.calls[0].started;
    history.executions.push(execution(started, "first-0", Some(&key.to_string())));
    assert_eq!(violations(&history), [Violation::CutOffAtStop]);
}
