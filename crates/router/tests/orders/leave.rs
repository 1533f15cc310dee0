use {
    crate::support::{TEAM, WORK, engines, fleet, with_orders},
    mango_testkit::{Caller, ChatTurn},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Longest time after a planned leave in which new work may still be sent (I5).
const LIMIT: Duration = Duration::from_secs(3);

/// Guards against new work for a leaving engine that the configuration still lists, and
/// against a request in progress that is cut off by the leave. Until the owner reads that
/// the engine leaves, retries beyond the budget end in refusals, which must be true ones.
#[test]
fn a_leaving_engine_gets_no_new_work_after_3_s() {
    let fleet = fleet(2, engines(2), |s| with_orders(s, 4, 256));
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
    let used = fleet.engines[0].executions().len();
    fleet.engines[0].set_leaving();
    let leaving_at = Instant::now();
    let (mut turns, mut failed) = (0, Vec::new());
    for caller in callers {
        let (made, broken) = caller.join().unwrap();
        turns += made;
        failed.extend(broken);
    }
    assert!(used > 0 && turns > 100, "{turns} turns, {used} before the leave");
    let last = failed.iter().map(|(at, _)| *at - leaving_at).max();
    println!("{} of {turns} requests refused, the last after {last:?}", failed.len());
    for (_, reply) in &failed {
        assert_eq!(reply.verdict.as_deref(), Some("not_run"), "{reply:?}");
        assert_eq!(reply.reason.as_deref(), Some("endpoint_refused"), "{reply:?}");
    }
    let refused = fleet.engines[0].refused_leaving();
    let late = refused.iter().filter(|at| **at > leaving_at + LIMIT).count();
    assert_eq!(late, 0, "of {} requests sent after the leave", refused.len());
}
