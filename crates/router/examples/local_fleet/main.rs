//! Runs a whole fleet in one process, on loopback: stand-ins for the platform, engines
//! and plain services, and routers. Sends multi-turn chats and bookings, and checks that
//! every request got one complete and correct answer, or a refusal with the verdict
//! `not_run`. Each booking must have run exactly once if it was answered, and at most once
//! otherwise.

use {
    anyhow::Result,
    clap::Parser,
    mango_standins::{EngineOptions, ServiceOptions, expected_answer},
    mango_testkit::{Caller, ChatTurn, FleetOptions, LatencySummary, LocalFleet},
    mango_wire::config::WorkClass,
    std::{
        collections::HashMap,
        process::ExitCode,
        sync::{
            Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const ENGINES: usize = 6;
const SERVICES: usize = 2;
const CALLERS: u32 = 24;
const TURNS_PER_CHAT: u32 = 4;
const TOKENS_PER_ANSWER: u32 = 12;
const TEAM: &str = "statistika";

/// Runs a fleet of routers on loopback and checks its answers.
#[derive(Parser)]
struct Args {
    /// Requests to send.
    #[arg(long, default_value_t = 2000)]
    requests: u32,
    /// Leave the fleet up and print commands to try.
    #[arg(long)]
    keep: bool,
}

/// Results of all requests.
#[derive(Default)]
struct Tally {
    answered: u32,
    /// Numbers of requests with the verdict `not_run`, by reason.
    refused: HashMap<String, u32>,
    /// Requests that got neither a correct answer nor a refusal.
    failures: Vec<String>,
    /// Idempotency keys of the answered bookings.
    booking_keys: Vec<String>,
    cached_tokens: u64,
    prompt_tokens: u64,
    first_token_times: LatencySummary,
    total_times: LatencySummary,
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<bool> {
    let fleet = start_fleet()?;
    let started = Instant::now();
    let tally = send_requests(&fleet, args.requests);
    let is_correct = report(&fleet, args.requests, tally, started.elapsed());
    if args.keep {
        print_commands(&fleet);
        loop {
            thread::park();
        }
    }
    Ok(is_correct)
}

fn start_fleet() -> Result<LocalFleet> {
    let engines = (0..ENGINES)
        .map(|index| EngineOptions {
            name: format!("engine-{index}"),
            step_ms: 2.0,
            prefill_us_per_token: 20.0,
            ..EngineOptions::default()
        })
        .collect();
    let services = vec![ServiceOptions { service_ms: 2, ..ServiceOptions::default() }; SERVICES];
    let options = FleetOptions { routers: 3, zones: 2, engines, services, ..Default::default() };
    let fleet = LocalFleet::spawn(options)?;
    let objects = fleet
        .objects(1.25)
        .team(TEAM, 1.0, 256)
        .work("pay-band-lookup", true, WorkClass::Normal, TOKENS_PER_ANSWER, 10_000)
        .work("booking", false, WorkClass::Urgent, 1, 10_000)
        .route("pay-band-lookup", mango_testkit::ENGINE_POOL, None)
        .route("booking", mango_testkit::SERVICE_POOL, Some("bookings"))
        .build();
    fleet.apply(&objects)?;
    fleet.await_ready(Duration::from_secs(15))?;
    println!(
        "fleet: {} routers in 2 availability zones, {ENGINES} engines, {SERVICES} services",
        fleet.routers.len()
    );
    Ok(fleet)
}

fn send_requests(fleet: &LocalFleet, requests: u32) -> Tally {
    let addresses = fleet.caller_addresses();
    let next = AtomicU32::new(0);
    let tally = Mutex::new(Tally::default());
    thread::scope(|scope| {
        for caller_number in 0..CALLERS {
            let (addresses, next, tally) = (&addresses, &next, &tally);
            scope.spawn(move || {
                let caller = Caller::default();
                let mut messages: Vec<String> = Vec::new();
                let mut chat = 0;
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= requests {
                        return;
                    }
                    // the routers take turns, so a chat usually reaches another one each time
                    let address = addresses[number as usize % addresses.len()];
                    if number % 5 == 0 {
                        send_booking(&caller, address, number, tally);
                        continue;
                    }
                    if messages.len() as u32 >= 2 * TURNS_PER_CHAT {
                        messages.clear();
                        chat += 1;
                    }
                    messages.push(format!("question {number} of caller {caller_number}"));
                    let turn = ChatTurn {
                        messages: messages.clone(),
                        stream: number % 3 != 0,
                        ..ChatTurn::new(TEAM, "pay-band-lookup", "", TOKENS_PER_ANSWER)
                    }
                    .chat(&format!("chat-{caller_number}-{chat}"));
                    messages.push(send_chat(&caller, address, &turn, tally));
                }
            });
        }
    });
    tally.into_inner().unwrap_or_else(|e| e.into_inner())
}

/// Sends one turn of a chat. Returns the expected answer, to be part of the next turn.
fn send_chat(
    caller: &Caller,
    address: std::net::SocketAddr,
    turn: &ChatTurn,
    tally: &Mutex<Tally>,
) -> String {
    let reply = caller.chat(address, turn);
    let expected =
        expected_answer(turn.messages.last().map_or("", String::as_str), TOKENS_PER_ANSWER);
    let mut tally = tally.lock().unwrap_or_else(|e| e.into_inner());
    tally.total_times.add(reply.total);
    if reply.complete && reply.text == expected {
        tally.answered += 1;
        tally.cached_tokens += u64::from(reply.cached_tokens);
        tally.prompt_tokens += u64::from(reply.prompt_tokens);
        if let Some(first) = reply.first_token {
            tally.first_token_times.add(first);
        }
    } else if reply.verdict.as_deref() == Some("not_run") && reply.text.is_empty() {
        *tally.refused.entry(reply.reason.unwrap_or_default()).or_default() += 1;
    } else {
        tally.failures.push(format!("{reply:?}"));
    }
    expected
}

fn send_booking(caller: &Caller, address: std::net::SocketAddr, number: u32, tally: &Mutex<Tally>) {
    let key = Uuid::now_v7().to_string();
    let body = format!("{{\"visit\":{number}}}");
    let path = format!("/services/bookings/visits/{number}");
    let work = (TEAM, "booking");
    let first = caller.service(address, work, &path, Some(&key), &body);
    // a repeat with the same key must get the answer of the first request
    let repeat = caller.service(address, work, &path, Some(&key), &body);
    let mut tally = tally.lock().unwrap_or_else(|e| e.into_inner());
    tally.total_times.add(first.total);
    let is_right_path =
        first.body["path"].as_str().is_some_and(|p| p.ends_with(&format!("/{number}")));
    if first.status == 200 && is_right_path && repeat.status == 200 && repeat.body == first.body {
        tally.answered += 1;
        tally.booking_keys.push(key);
    } else if first.verdict.as_deref() == Some("not_run") {
        *tally.refused.entry(first.reason.unwrap_or_default()).or_default() += 1;
    } else {
        tally.failures.push(format!("booking {number}: {first:?} then {repeat:?}"));
    }
}

/// Prints the results and returns whether all of them are correct.
fn report(fleet: &LocalFleet, requests: u32, mut tally: Tally, elapsed: Duration) -> bool {
    let mut executions_by_key: HashMap<String, u32> = HashMap::new();
    for execution in fleet.services.iter().flat_map(|service| service.executions()) {
        *executions_by_key.entry(execution.idempotency_key.unwrap_or_default()).or_default() += 1;
    }
    let doubled = executions_by_key.values().filter(|count| **count > 1).count();
    let lost =
        tally.booking_keys.iter().filter(|key| !executions_by_key.contains_key(*key)).count();
    let refused: u32 = tally.refused.values().sum();
    println!("requests:  {requests} in {:.2} s", elapsed.as_secs_f64());
    println!("answered:  {}", tally.answered);
    println!("refused:   {refused} {:?}", tally.refused);
    println!("bookings:  {} answered, {doubled} doubled, {lost} lost", tally.booking_keys.len());
    let reused_share = tally.cached_tokens as f64 / tally.prompt_tokens.max(1) as f64;
    println!("cache:     {:.1}% of prompt tokens reused", reused_share * 100.0);
    println!("first token: {}", tally.first_token_times);
    println!("total:       {}", tally.total_times);
    tally.failures.truncate(10);
    for failure in &tally.failures {
        println!("FAULT: {failure}");
    }
    let is_complete = tally.answered + refused == requests;
    let is_correct = is_complete && tally.failures.is_empty() && doubled == 0 && lost == 0;
    println!("result:    {}", if is_correct { "correct" } else { "WRONG" });
    is_correct
}

fn print_commands(fleet: &LocalFleet) {
    let router = &fleet.routers[0];
    let (callers, operators) = (router.caller_address(), router.operator_address());
    println!("\nThe fleet stays up. Try:\n");
    println!(
        "curl -N http://{callers}/v1/chat/completions -H 'Mango-Team: {TEAM}' \
         -H 'Mango-Work: pay-band-lookup' -H 'Mango-Chat: chat-1' \
         -d '{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!(
        "curl http://{callers}/services/bookings/visits/1 -H 'Mango-Team: {TEAM}' \
         -H 'Mango-Work: booking' -H 'Idempotency-Key: {}' -d '{{}}'",
        Uuid::now_v7()
    );
    let token = fleet.token_path().display();
    println!("export MANGOCTL_ROUTER=http://{operators} MANGOCTL_TOKEN=$(cat {token})");
    println!("cargo run -q -p mangoctl -- get");
    println!("cargo run -q -p mangoctl -- explain --team {TEAM} --work pay-band-lookup");
    println!("cargo run -q -p mangoctl -- state");
}
