use {
    crate::{
        history::{Call, Execution, History, Work},
        key_model::is_linearizable,
    },
    std::collections::{BTreeMap, HashMap, HashSet},
    strum::{Display, EnumIter},
    uuid::Uuid,
};

/// Kinds of violations of the routers' guarantees. The names are printed.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Violation {
    /// Work ran more than once under one idempotency key.
    Doubled,
    /// An answer is incomplete, or no earlier execution accounts for it.
    Lost,
    /// A call got the answer to another request.
    Crossed,
    /// The verdict of a call is `not_run`, although an endpoint ran the request.
    FalseNotRun,
    /// A router went back to an older configuration, two contents have one version, or
    /// an accepted change is not in force at the end.
    RevertedConfig,
    /// An endpoint got new requests after the grace period of its leave.
    WorkAfterLeave,
    /// A planned stop of a router ended a request in progress without an answer.
    CutOffAtStop,
}

/// Returns all violations of a history, each with the recorded facts that show it.
pub(crate) fn check(history: &History) -> Vec<(Violation, String)> {
    let mut found = Vec::new();
    check_keys(history, &mut found);
    check_answers(history, &mut found);
    check_verdicts(history, &mut found);
    check_config(history, &mut found);
    check_leaves(history, &mut found);
    check_stops(history, &mut found);
    found
}

/// Checks that each booking ran at most once and that its answers follow its execution.
fn check_keys(history: &History, found: &mut Vec<(Violation, String)>) {
    let mut calls: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    let mut executions: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for call in &history.calls {
        if let Work::Booking { key, .. } = &call.work {
            calls.entry(key).or_default().push(call);
        }
    }
    for execution in &history.executions {
        if let Some(key) = &execution.key {
            executions.entry(key).or_default().push(execution);
        }
    }
    for (key, calls) in &calls {
        let executions = executions.get(key).map_or(&[][..], |e| &e[..]);
        if executions.len() > 1 {
            found.push((Violation::Doubled, format!("key {key}: {calls:?} {executions:?}")));
        }
        for call in calls.iter().filter(|call| call.answer.status == 200) {
            if !executions
                .iter()
                .any(|execution| execution.attempt_id == call.answer.executed_attempt_id)
            {
                found.push((Violation::Lost, format!("no execution: {call:?}")));
            }
        }
        if executions.len() <= 1 && !is_linearizable(calls, executions) {
            found.push((Violation::Lost, format!("not linearizable: {calls:?} {executions:?}")));
        }
    }
}

/// Checks that each answer belongs to its request, and that a complete chat answer has its
/// whole text and an execution.
fn check_answers(history: &History, found: &mut Vec<(Violation, String)>) {
    let ran: HashSet<&str> =
        history.executions.iter().map(|execution| request_id_of(&execution.attempt_id)).collect();
    for call in history.calls.iter().filter(|call| call.answer.status == 200) {
        match &call.work {
            Work::Booking { body_digest, .. } => {
                if *body_digest != call.answer.executed_digest {
                    found.push((Violation::Crossed, format!("{call:?}")));
                }
            }
            Work::Chat { expected } => {
                let text = &call.answer.text;
                if !expected.starts_with(text.as_str()) {
                    found.push((Violation::Crossed, format!("{call:?}")));
                } else if call.answer.complete && text != expected {
                    found.push((Violation::Lost, format!("incomplete text: {call:?}")));
                } else if call.answer.complete && !ran.contains(call.answer.request_id.as_str()) {
                    found.push((Violation::Lost, format!("no execution: {call:?}")));
                }
            }
        }
    }
}

fn check_verdicts(history: &History, found: &mut Vec<(Violation, String)>) {
    let ran: HashMap<&str, &Execution> = history
        .executions
        .iter()
        .map(|execution| (request_id_of(&execution.attempt_id), execution))
        .collect();
    for call in &history.calls {
        if call.answer.verdict.as_deref() == Some("not_run")
            && let Some(execution) = ran.get(call.answer.request_id.as_str())
        {
            found.push((Violation::FalseNotRun, format!("{call:?} {execution:?}")));
        }
    }
}

/// Checks that no router process returns to an older version, that each version has one
/// content, that the log contains all accepted changes and that all running routers end
/// with the newest objects.
fn check_config(history: &History, found: &mut Vec<(Violation, String)>) {
    let mut newest: HashMap<usize, u64> = HashMap::new();
    let mut contents: HashMap<u64, &str> = HashMap::new();
    for sample in &history.config_samples {
        let newest = newest.entry(sample.process).or_default();
        if sample.version < *newest {
            let detail =
                format!("process {} had version {newest} before: {sample:?}", sample.process);
            found.push((Violation::RevertedConfig, detail));
        }
        *newest = sample.version.max(*newest);
        let known = contents.entry(sample.version).or_insert(&sample.content);
        if *known != sample.content {
            let detail =
                format!("version {} also has the content {known}: {sample:?}", sample.version);
            found.push((Violation::RevertedConfig, detail));
        }
    }
    for version in &history.accepted_versions {
        if !history.config_changes.iter().any(|change| change.version == *version) {
            let detail =
                format!("version {version} was reported as accepted, but is rejected in log order");
            found.push((Violation::RevertedConfig, detail));
        }
    }
    let mut in_force: HashMap<&str, (u64, &str)> = HashMap::new();
    for change in &history.config_changes {
        let newest = in_force.entry(&change.object).or_default();
        *newest = (*newest).max((change.version, &change.content));
    }
    for config in &history.final_configs {
        for (object, (version, content)) in &in_force {
            let kept = config.objects.iter().any(|(name, kept)| name == object && kept == content);
            if config.version < *version || !kept {
                let detail = format!(
                    "{object} of version {version} is not in force in process {}: {config:?}",
                    config.process
                );
                found.push((Violation::RevertedConfig, detail));
            }
        }
    }
}

fn check_leaves(history: &History, found: &mut Vec<(Violation, String)>) {
    for leave in &history.left_endpoints {
        let late = leave.new_request_times.iter().filter(|at| **at > leave.left_at + leave.grace);
        for at in late {
            let after = at.duration_since(leave.left_at);
            found.push((
                Violation::WorkAfterLeave,
                format!("new request {after:?} after the leave"),
            ));
        }
    }
}

fn check_stops(history: &History, found: &mut Vec<(Violation, String)>) {
    for stop in &history.planned_stops {
        let open = history.calls.iter().filter(|call| {
            call.host == stop.host
                && call.started < stop.requested_at
                && call.ended > stop.requested_at
        });
        for call in open {
            let answer = &call.answer;
            let answered = answer.complete || answer.verdict.as_deref() == Some("not_run");
            if !answered && !is_uncertain(history, call) {
                let related = related_to(history, call);
                found.push((Violation::CutOffAtStop, format!("{call:?} {related:?}")));
            }
        }
    }
}

/// Whether the call was refused without being sent to an endpoint because its key was
/// issued before the recorded end of a log outage. With the short leases of these runs,
/// routers on a busy machine record outages of a few hundred milliseconds although the
/// log is up.
fn is_uncertain(history: &History, call: &Call) -> bool {
    let Work::Booking { key, .. } = &call.work else { return false };
    let issued = Uuid::parse_str(key).ok().and_then(|key| key.get_timestamp());
    let issued_ms =
        issued.map(|at| at.to_unix()).map(|(s, ns)| s * 1000 + u64::from(ns) / 1_000_000);
    let request = call.answer.request_id.as_str();
    call.answer.reason.as_deref() == Some("outcome_unknown")
        && issued_ms.is_some_and(|issued_ms| issued_ms < history.uncertain_before_ms)
        && !history
            .executions
            .iter()
            .any(|execution| request_id_of(&execution.attempt_id) == request)
}

/// Other calls with the same idempotency key, and the log records about the key, fences
/// and outages.
fn related_to<'a>(history: &'a History, call: &Call) -> (Vec<&'a Call>, Vec<&'a str>) {
    let Work::Booking { key, .. } = &call.work else { return Default::default() };
    let is_other = |other: &&Call| {
        matches!(&other.work, Work::Booking { key: other, .. } if other == key)
            && other.answer.request_id != call.answer.request_id
    };
    let is_related =
        |record: &&str| [key.as_str(), "fence", "outage"].iter().any(|part| record.contains(*part));
    let records = history.records.iter().map(String::as_str).filter(is_related).collect();
    (history.calls.iter().filter(is_other).collect(), records)
}

/// Id of the request that an attempt belongs to; attempt ids are `<request id>-<number>`.
fn request_id_of(attempt_id: &str) -> &str {
    attempt_id.split_once('-').map_or(attempt_id, |(request, _)| request)
}
