//! Streams whose engine stalls or whose deadline passes.

use {
    mango_standins::EngineOptions,
    mango_testkit::{Caller, ChatTurn, ENGINE_POOL, FleetOptions, LocalFleet},
    mango_wire::{
        config::WorkClass,
        settings::{DispatchSettings, Settings},
    },
    std::{thread, time::Duration},
};

const STALL_MS: u32 = 300;

/// A ready fleet of one router and one engine.
fn fleet() -> LocalFleet {
    let engine = EngineOptions { step_ms: 20.0, ..EngineOptions::default() };
    let options = FleetOptions {
        routers: 1,
        engines: vec![engine],
        adjust: |settings: &mut Settings| {
            let dispatch = DispatchSettings { stall_ms: STALL_MS, ..Default::default() };
            settings.dispatch = Some(dispatch);
        },
        ..FleetOptions::default()
    };
    let fleet = LocalFleet::spawn(options).expect("fleet");
    let objects = fleet
        .objects(1.25)
        .team("team", 1.0, 100)
        .work("chat", true, WorkClass::Normal, 32, 30_000)
        .route("chat", ENGINE_POOL, None)
        .build();
    fleet.apply(&objects).expect("configuration");
    fleet.await_ready(Duration::from_secs(10)).expect("ready");
    fleet
}

/// Guards against a stream that hangs, or loses or repeats tokens, when its engine
/// sends nothing for longer than `stall_ms`.
#[test]
fn stalled_stream_is_resumed() {
    let fleet = fleet();
    let address = fleet.caller_addresses()[0];
    let turn = ChatTurn::new("team", "chat", "stall", 60);
    let reply = thread::scope(|scope| {
        let request = scope.spawn(|| Caller::default().chat(address, &turn));
        thread::sleep(Duration::from_millis(400));
        fleet.engines[0].set_slowdown(1000.0);
        thread::sleep(Duration::from_millis(u64::from(STALL_MS) + 200));
        fleet.engines[0].set_slowdown(1.0);
        request.join().expect("caller")
    });
    assert!(reply.complete, "{reply:?}");
    assert_eq!(reply.tokens, 60);
    let direct = Caller::default().chat(fleet.engines[0].address(), &turn);
    assert_eq!(reply.text, direct.text);
    let resumes = mango_testkit::operator_get(fleet.routers[0].operator_address(), "/metrics")
        .expect("metrics")
        .lines()
        .any(|line| line.contains("resumes_total") && !line.ends_with(" 0"));
    assert!(resumes, "the stream was not resumed");
}

/// Guards against a stream that continues after its deadline, or that ends with a reason
/// other than `deadline`.
#[test]
fn stream_ends_at_its_deadline() {
    let fleet = fleet();
    let turn = ChatTurn::new("team", "chat", "deadline", 500).deadline_ms(800);
    let reply = Caller::default().chat(fleet.caller_addresses()[0], &turn);
    assert!(!reply.complete, "{reply:?}");
    assert!(reply.tokens > 0, "{reply:?}");
    assert_eq!(reply.reason.as_deref(), Some("deadline"));
    assert!(reply.total < Duration::from_millis(1500), "{reply:?}");
}
