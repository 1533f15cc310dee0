use {
    crate::support::{TEAM, WORK, engines, fleet, set_order_settings, wait_until},
    mango_testkit::{Caller, ChatReply, ChatTurn, LocalFleet, fetch_state},
    mango_wire::settings::Settings,
    std::{thread, time::Duration},
};

const CHATS: usize = 48;
const PROMPT_TOKENS: usize = 1_000;

/// Reuse of cached tokens by the chats of an engine that left.
#[derive(Debug)]
struct Reuse {
    chats: usize,
    prompt_tokens: u32,
    cached_tokens: u32,
    /// Mean time to the first token of an answer.
    first_token: Duration,
}

/// Warms up chats, lets `engine-0` leave, and continues the chats that it served. With
/// `expects_moves`, first waits until they are warm on other engines.
fn reuse_after_leave(adjust: fn(&mut Settings), expects_moves: bool) -> Reuse {
    let mut options = engines(4);
    for engine in &mut options {
        engine.prefill_us_per_token = 50.0;
        engine.kv_us_per_token = 5.0;
    }
    let fleet = fleet(2, options, adjust);
    let first: Vec<ChatReply> = (0..CHATS).map(|chat| send_turn(&fleet, chat, None)).collect();
    assert!(first.iter().all(|reply| reply.complete));
    let left: Vec<usize> = (0..CHATS).filter(|chat| first[*chat].endpoint == "engine-0").collect();
    assert!(left.len() >= 4, "{} chats on the engine that leaves", left.len());
    // the owners learn from the engines' cache events which chats are warm
    wait_until("the warm chats", Duration::from_secs(10), || warm_chats(&fleet) >= CHATS);
    fleet.engines[0].set_leaving();
    if expects_moves {
        let expected = CHATS + left.len();
        wait_until("the moved chats", Duration::from_secs(10), || warm_chats(&fleet) >= expected);
    } else {
        thread::sleep(Duration::from_secs(3));
    }
    let mut reuse = Reuse {
        chats: left.len(),
        prompt_tokens: 0,
        cached_tokens: 0,
        first_token: Duration::ZERO,
    };
    for chat in left {
        let reply = send_turn(&fleet, chat, Some(&first[chat].text));
        assert!(reply.complete && reply.endpoint != "engine-0", "{reply:?}");
        reuse.prompt_tokens += reply.prompt_tokens;
        reuse.cached_tokens += reply.cached_tokens;
        reuse.first_token += reply.first_token.unwrap();
    }
    reuse.first_token /= reuse.chats as u32;
    reuse
}

/// Sends the first turn of a chat or, given the answer to it, the second turn.
fn send_turn(fleet: &LocalFleet, chat: usize, answer: Option<&str>) -> ChatReply {
    let address = fleet.caller_addresses()[chat % 2];
    let mut turn = ChatTurn::new(TEAM, WORK, &"word".repeat(PROMPT_TOKENS), 4);
    if let Some(answer) = answer {
        turn.messages.extend([answer.to_owned(), "and then".to_owned()]);
    }
    Caller::default().chat(address, &turn.chat(&format!("chat-{chat}")))
}

/// Number of warm chats over all engines, as their owners report it.
fn warm_chats(fleet: &LocalFleet) -> usize {
    let states = fleet.routers.iter().filter_map(|r| fetch_state(r.operator_address()).ok());
    let engines = states.flat_map(|s| s["owned_engines"].as_array().cloned().unwrap_or_default());
    engines.map(|e| e["warm_chats"].as_u64().unwrap_or(0) as usize).sum()
}

/// Guards against a planned leave after which returning chats are prefilled again, and
/// against owners that do not learn which caches were moved. Prints the reuse with and
/// without the moves.
#[test]
fn a_planned_leave_moves_warm_chats() {
    let with = reuse_after_leave(|s| set_order_settings(s, 4, 256), true);
    let without = reuse_after_leave(|s| set_order_settings(s, 4, 0), false);
    println!("with moves: {with:?}\nwithout moves: {without:?}");
    assert!(with.cached_tokens * 10 >= with.prompt_tokens * 9, "{with:?}");
    assert_eq!(without.cached_tokens, 0, "{without:?}");
}
