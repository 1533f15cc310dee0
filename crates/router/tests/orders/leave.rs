use {
    crate::support::{TEAM, WORK, engines, fleet, set_order_settings},
    mango_testkit::{Caller, ChatTurn},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Longest time after the start of a planned leave in which requests may still be sent to
/// the engine.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// Guards against new requests to a leaving engine that is still in the configuration, and
/// against a leave that breaks off a request in progress. Until the owner reads in the load
/// report that the engine is leaving, the engine refuses requests, and those that exceed
/// the retry budget fail. Callers must then be told that they did not run.
#[test]
fn a_leaving_engine_gets_no_new_work_after_3_s() {
    let fleet = fleet(2, engines(2), |s| set_order_settings(s, 4, 256));
    let started_at = Instant::now();
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let address = fleet.caller_addresses()[caller % 2];
            thread::spawn(move || {
                let (mut turns, mut failed) = (0, Vec::new());
                while started_at.elapsed() < Duration::from_secs(7) {
                    let turn = ChatTurn::new(TEAM, WORK, "hello", 4);
                    let reply =
                        Caller::default().chat(address, &turn.chat(&format!("{caller}-{turns}")));
                    turns += 1;
                    if !reply.complete {
                        failed.push((Instant::now(), reply));
                    }
                }
                (turns, failed)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let executions_before = fleet.engines[0].executions().len();
    fleet.engines[0].set_leaving();
    let leaving_at = Instant::now();
    let (mut turns, mut failed) = (0, Vec::new());
    for caller in callers {
        let (caller_turns, caller_failed) = caller.join().unwrap();
        turns += caller_turns;
        failed.extend(caller_failed);
    }
    assert!(
        executions_before > 0 && turns > 100,
        "{turns} turns, {executions_before} executions on the engine before the leave"
    );
    let last = failed.iter().map(|(at, _)| *at - leaving_at).max();
    println!("{} of {turns} requests refused, the last after {last:?}", failed.len());
    for (_, reply) in &failed {
        assert_eq!(reply.verdict.as_deref(), Some("not_run"), "{reply:?}");
        assert_eq!(reply.reason.as_deref(), Some("endpoint_refused"), "{reply:?}");
    }
    let refused = fleet.engines[0].refused_leaving();
    let late = refused.iter().filter(|at| **at > leaving_at + LEAVE_GRACE).count();
    assert_eq!(late, 0, "of {} requests sent after the leave", refused.len());
}
