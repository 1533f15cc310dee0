use {
    super::{
        EngineAuthority, KvMoveCostModel, LoadLimiter, LoadTicket, OrderError, OrderSender,
        OrderTarget, TicketRefusal,
    },
    mango_standins::{EngineOptions, EngineStandin},
    mango_wire::{
        Epoch,
        platform::{KvBlob, OrderKind, OrderReply},
        settings::OrderSettings,
    },
    parking_lot::Mutex,
    std::{
        io::{Read, Write},
        net::TcpListener,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Lifetime of load tickets, and time-out of orders.
const LIFETIME: Duration = Duration::from_millis(1_000);

/// Authority with the same acting epoch for all engines.
struct TestAuthority(Mutex<Option<Epoch>>);

impl EngineAuthority for TestAuthority {
    fn acting_epoch(&self, _engine: &str) -> Option<Epoch> {
        *self.0.lock()
    }
}

/// Starts an engine that sends the same response to every request and records the
/// requests.
fn spawn_engine(
    status: &'static str,
    answer: &'static str,
) -> (OrderTarget, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    let requests = Arc::new(Mutex::new(Vec::new()));
    let recorded = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let (mut request, mut buffer) = (String::new(), [0; 4096]);
            // every body is a JSON object without nested objects, so `}` ends it
            while !request.ends_with('}') {
                let read = stream.read(&mut buffer).unwrap();
                request.push_str(std::str::from_utf8(&buffer[..read]).unwrap());
            }
            recorded.lock().push(request);
            let head = format!("Connection: close\r\nContent-Length: {}", answer.len());
            write!(stream, "HTTP/1.1 {status}\r\n{head}\r\n\r\n{answer}").unwrap();
        }
    });
    (OrderTarget { engine_id: "e1".to_owned(), base_url, checks_fencing: true }, requests)
}

fn settings(weight_loads: u32) -> OrderSettings {
    OrderSettings {
        weight_loads,
        order_ms: LIFETIME.as_millis() as u32,
        ..OrderSettings::default()
    }
}

fn sender(epoch: Option<Epoch>) -> OrderSender<TestAuthority> {
    OrderSender::open(&settings(4), Arc::new(TestAuthority(Mutex::new(epoch))))
}

fn load(target: &OrderTarget) -> Result<OrderReply, OrderError> {
    let ticket = LoadTicket { epoch: 1, number: 0, deadline: Instant::now() + LIFETIME };
    sender(Some(7)).load(target, 7, OrderKind::LoadModel, "m", &ticket)
}

/// Replies of an engine that has accepted an order, and of one that refuses it because it
/// has seen a higher fencing number.
const ACCEPTED: &str = r#"{"accepted":true,"highest_fencing":7,"loaded":["m"]}"#;
const FENCED: &str = r#"{"accepted":false,"highest_fencing":9,"loaded":[]}"#;

/// Guards against an order without the fencing number of the engine's owner.
#[test]
fn an_order_carries_the_epoch() {
    let (target, requests) = spawn_engine("200 OK", ACCEPTED);
    assert_eq!(load(&target).unwrap().loaded, ["m"]);
    let requests = requests.lock();
    assert!(requests[0].starts_with("POST /v1/orders HTTP/1.1"));
    assert!(requests[0].contains(r#""fencing":7"#) && requests[0].contains("load_model"));
}

/// Guards against an order sent by a host that lost the engine, or after its deadline.
#[test]
fn nothing_is_sent_without_authority_or_time() {
    let (target, requests) = spawn_engine("200 OK", ACCEPTED);
    let later = Instant::now() + LIFETIME;
    for acting in [None, Some(8)] {
        let result = sender(acting).set_role(&target, 7, "prefill", later);
        assert_eq!(result.unwrap_err(), OrderError::NotOwner);
    }
    let result = sender(Some(7)).set_role(&target, 7, "prefill", Instant::now());
    assert_eq!(result.unwrap_err(), OrderError::DeadlinePassed);
    assert!(requests.lock().is_empty());
}

/// Guards against a previous owner that treats a refusal by fencing as a fault and sends
/// the order again.
#[test]
fn a_refusal_by_fencing_is_reported_as_fenced() {
    for status in ["200 OK", "409 Conflict"] {
        assert_eq!(load(&spawn_engine(status, FENCED).0).unwrap_err(), OrderError::Fenced(9));
    }
}

/// Guards against an order that a later order cannot correct, sent to an engine that
/// ignores fencing numbers.
#[test]
fn only_convergent_orders_go_to_engines_without_fencing() {
    let (mut target, requests) = spawn_engine("200 OK", ACCEPTED);
    target.checks_fencing = false;
    let blob = KvBlob { fencing: 1, chat: "c".to_owned(), tokens: 1, data: String::new() };
    let (sender, later) = (sender(Some(7)), Instant::now() + LIFETIME);
    let result = sender.import_kv(&target, 7, blob, later);
    assert_eq!(result.unwrap_err(), OrderError::NeedsFencing);
    assert!(requests.lock().is_empty());
    sender.set_role(&target, 7, "decode", later).unwrap();
    assert!(sender.takeover_wait() > LIFETIME);
}

/// Guards against an engine that carries out an order of its previous owner, which has not
/// noticed the takeover yet.
#[test]
fn a_stale_owner_is_refused_by_a_fencing_engine() {
    let engine = EngineStandin::spawn(EngineOptions::default());
    let base_url = format!("http://{}", engine.address());
    let target = OrderTarget { engine_id: "e1".to_owned(), base_url, checks_fencing: true };
    let later = Instant::now() + LIFETIME;
    sender(Some(9)).set_role(&target, 9, "decode", later).unwrap();
    let refused = sender(Some(7)).set_role(&target, 7, "prefill", later).unwrap_err();
    assert_eq!(refused, OrderError::Fenced(9));
    let export = sender(Some(7)).export_kv(&target, 7, "c", later).unwrap_err();
    assert_eq!(export, OrderError::Fenced(9));
    let accepted: Vec<bool> = engine.orders().iter().map(|order| order.accepted).collect();
    assert_eq!(accepted, [true, false]);
}

/// Guards against moves that take longer than the prefill that they save, and against
/// moves before a prefill was measured.
#[test]
fn only_cheaper_moves_are_made() {
    let cost = KvMoveCostModel::default();
    assert!(!cost.is_move_cheaper(10_000));
    cost.observe_prefill(Duration::from_millis(110), Duration::from_millis(10), 1_000);
    assert!(cost.is_move_cheaper(10_000));
    // prefill takes (110 ms - 10 ms) / 1,000 = 100 µs per token, and a move of up to 1,000
    // tokens 40 ms
    cost.observe_transfer(Duration::from_millis(40), 1_000);
    assert!(cost.is_move_cheaper(1_000) && cost.is_move_cheaper(500));
    assert!(!cost.is_move_cheaper(300));
    let slow = KvMoveCostModel::default();
    slow.observe_prefill(Duration::from_millis(110), Duration::from_millis(10), 1_000);
    slow.observe_transfer(Duration::from_millis(400), 1_000);
    assert!(!slow.is_move_cheaper(100_000));
}

/// Guards against a failure that is reported as a refusal although the order may have been
/// carried out.
#[test]
fn a_failure_after_sending_is_unknown() {
    let (target, _) = spawn_engine("500 Internal Server Error", "{}");
    assert!(matches!(load(&target), Err(OrderError::Unknown(_))));
}

/// Limiter whose epoch 5 starts at `now`, so that it waits for the tickets of earlier
/// epochs.
fn limiter_in_epoch_5(weight_loads: u32, now: Instant) -> LoadLimiter {
    let limiter = LoadLimiter::new(&settings(weight_loads), now);
    assert!(limiter.acquire(5, now).is_err());
    limiter
}

/// Guards against more loads at once than the weight store allows, and against tickets
/// that are never released because their host has died.
#[test]
fn tickets_are_limited_and_expire() {
    let now = Instant::now() + LIFETIME * 2;
    let limiter = limiter_in_epoch_5(2, now - LIFETIME * 2);
    let first = limiter.acquire(5, now).unwrap();
    limiter.acquire(5, now + LIFETIME / 2).unwrap();
    let refusal = limiter.acquire(5, now + LIFETIME / 2).unwrap_err();
    assert_eq!(refusal, TicketRefusal { retry_after: LIFETIME / 2 });
    limiter.release(first.epoch, first.number);
    limiter.acquire(5, now + LIFETIME / 2).unwrap();
    assert!(limiter.acquire(5, now + LIFETIME).is_err());
    limiter.acquire(5, now + LIFETIME * 3 / 2).unwrap();
}

/// Guards against a new owner that issues tickets while those of its predecessor are
/// valid, and against effects of an old owner or an old ticket after the takeover.
#[test]
fn a_new_owner_waits_for_its_predecessors_tickets() {
    let now = Instant::now() + LIFETIME * 2;
    let limiter = limiter_in_epoch_5(1, now - LIFETIME * 2);
    let old = limiter.acquire(5, now).unwrap();
    assert!(limiter.acquire(6, now).is_err());
    assert!(limiter.acquire(6, now + LIFETIME).is_err());
    let new = limiter.acquire(6, now + LIFETIME * 2).unwrap();
    assert!(old.deadline < now + LIFETIME * 2);
    limiter.release(old.epoch, old.number);
    assert!(limiter.acquire(6, now + LIFETIME * 2).is_err());
    assert!(limiter.acquire(5, now + LIFETIME * 9).is_err());
    limiter.release(new.epoch, new.number);
    assert!(limiter.acquire(6, now + LIFETIME * 2).is_ok());
}
