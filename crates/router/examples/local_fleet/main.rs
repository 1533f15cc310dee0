//! A whole fleet in one process, on loopback: platform stand-in, engines, plain
//! services and routers. Sends chats that return and bookings, and checks that
//! every request got one complete, right answer or a true refusal.

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
const TOKENS: u32 = 12;
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

#[derive(Default)]
struct Tally {
    answered: u32,
    refused: HashMap<String, u32>,
    faults: Vec<String>,
    bookings: Vec<String>,
    cached_tokens: u64,
    prompt_tokens: u64,
    first_token: LatencySummary,
    total: LatencySummary,
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
    let correct = report(&fleet, args.requests, tally, started.elapsed());
    if args.keep {
        print_commands(&fleet);
        loop {
            thread::park();
        }
    }
    Ok(correct)
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
        .work("pay-band-lookup", true, WorkClass::Normal, TOKENS, 10_000)
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
                let mut history: Vec<String> = Vec::new();
                let mut chat = 0;
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= requests {
                        return;
                    }
                    // a returning chat reaches another router each time
                    let address = addresses[number as usize % addresses.len()];
                    if number % 5 == 0 {
                        book(&caller, address, number, tally);
                        continue;
                    }
                    if history.len() as u32 >= 2 * TURNS_PER_CHAT {
                        history.clear();
                        chat += 1;
                    }
                    history.push(format!("question {number} of caller {caller_number}"));
                    let turn = ChatTurn {
                        messages: history.clone(),
                        stream: number % 3 != 0,
                        ..ChatTurn::new(TEAM, "pay-band-lookup", "", TOKENS)
                    }
                    .chat(&format!("chat-{caller_number}-{chat}"));
                    history.push(ask(&caller, address, &turn, tally));
                }
            });
        }
    });
    tally.into_inner().unwrap_or_else(|e| e.into_inner())
}

fn ask(
    caller: &Caller,
    address: std::net::SocketAddr,
    turn: &ChatTurn,
    tally: &Mutex<Tally>,
) -> String {
    let reply = caller.chat(address, turn);
    let expected = expected_answer(turn.messages.last().map_or("", String::as_str), TOKENS);
    let mut tally = tally.lock().unwrap_or_else(|e| e.into_inner());
    tally.total.add(reply.total);
    if reply.complete && reply.text == expected {
        tally.answered += 1;
        tally.cached_tokens += u64::from(reply.cached_tokens);
        tally.prompt_tokens += u64::from(reply.prompt_tokens);
        if let Some(first) = reply.first_token {
            tally.first_token.add(first);
        }
    } else if reply.verdict.as_deref() == Some("not_run") && reply.text.is_empty() {
        *tally.refused.entry(reply.reason.unwrap_or_default()).or_default() += 1;
    } else {
        tally.faults.push(format!("{reply:?}"));
    }
    expected
}

fn book(caller: &Caller, address: std::net::SocketAddr, number: u32, tally: &Mutex<Tally>) {
    let key = Uuid::now_v7().to_string();
    let body = format!("{{\"visit\":{number}}}");
    let path = format!("/services/bookings/visits/{number}");
    let work = (TEAM, "booking");
    let first = caller.service(address, work, &path, Some(&key), &body);
    // a caller that repeats a booking must get the first answer
    let again = caller.service(address, work, &path, Some(&key), &body);
    let mut tally = tally.lock().unwrap_or_else(|e| e.into_inner());
    tally.total.add(first.total);
    let right_path =
        first.body["path"].as_str().is_some_and(|p| p.ends_with(&format!("/{number}")));
    if first.status == 200 && right_path && again.status == 200 && again.body == first.body {
        tally.answered += 1;
        tally.bookings.push(key);
    } else if first.verdict.as_deref() == Some("not_run") {
        *tally.refused.entry(first.reason.unwrap_or_default()).or_default() += 1;
    } else {
        tally.faults.push(format!("booking {number}: {first:?} then {again:?}"));
    }
}

fn report(fleet: &LocalFleet, requests: u32, mut tally: Tally, elapsed: Duration) -> bool {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for execution in fleet.services.iter().flat_map(|service| service.executions()) {
        *runs.entry(execution.idempotency_key.unwrap_or_default()).or_default() += 1;
    }
    let doubled = runs.values().filter(|count| **count > 1).count();
    let lost = tally.bookings.iter().filter(|key| !runs.contains_key(*key)).count();
    let refused: u32 = tally.refused.values().sum();
    println!("requests:  {requests} in {:.2} s", elapsed.as_secs_f64());
    println!("answered:  {}", tally.answered);
    println!("refused:   {refused} {:?}", tally.refused);
    println!("bookings:  {} answered, {doubled} doubled, {lost} lost", tally.bookings.len());
    let reuse = tally.cached_tokens as f64 / tally.prompt_tokens.max(1) as f64;
    println!("cache:     {:.1}% of prompt tokens reused", reuse * 100.0);
    println!("first token: {}", tally.first_token);
    println!("total:       {}", tally.total);
    tally.faults.truncate(10);
    for fault in &tally.faults {
        println!("FAULT: {fault}");
    }
    let complete = tally.answered + refused == requests;
    let correct = complete && tally.faults.is_empty() && doubled == 0 && lost == 0;
    println!("result:    {}", if correct { "correct" } else { "WRONG" });
    correct
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
