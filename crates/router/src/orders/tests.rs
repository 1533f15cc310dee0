use {
    super::{
        EngineAuthority, KvMoveCostModel, LoadPacer, LoadRefusal, LoadTicket, OrderError,
        OrderSender, OrderTarget,
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

const LIFETIME: Duration = Duration::from_millis(1_000);

struct TestAuthority(Mutex<Option<Epoch>>);

impl EngineAuthority for TestAuthority {
    fn acting_epoch(&self, _engine: &str) -> Option<Epoch> {
        *self.0.lock()
    }
}

/// Starts an engine that answers every request with one text and keeps the requests.
fn engine(status: &'static str, answer: &'static str) -> (OrderTarget, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    let requests = Arc::new(Mutex::new(Vec::new()));
    let kept = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let (mut request, mut buffer) = (String::new(), [0; 4096]);
            // every body is one JSON object without nested ones
            while !request.ends_with('}') {
                let read = stream.read(&mut buffer).unwrap();
                request.push_str(std::str::from_utf8(&buffer[..read]).unwrap());
            }
            kept.lock().push(request);
            let head = format!("Connection: close\r\nContent-Length: {}", answer.len());
            write!(stream, "HTTP/1.1 {status}\r\n{head}\r\n\r\n{answer}").unwrap();
        }
    });
    (OrderTarget { engine: "e1".to_owned(), base_url, checks_fencing: true }, requests)
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

const ACCEPTED: &str = r#"{"accepted":true,"highest_fencing":7,"loaded":["m"]}"#;
const FENCED: &str = r#"{"accepted":false,"highest_fencing":9,"loaded":[]}"#;

/// Guards against an order without the fencing number of its owner.
#[test]
fn an_order_carries_the_epoch() {
    let (target, requests) = engine("200 OK", ACCEPTED);
    assert_eq!(load(&target).unwrap().loaded, ["m"]);
    let requests = requests.lock();
    assert!(requests[0].starts_with("POST /v1/orders HTTP/1.1"));
    assert!(requests[0].contains(r#""fencing":7"#) && requests[0].contains("load_model"));
}

/// Guards against an order sent by a host that lost the engine, or after its deadline.
#[test]
fn nothing_is_sent_without_authority_or_time() {
    let (target, requests) = engine("200 OK", ACCEPTED);
    let later = Instant::now() + LIFETIME;
    for acting in [None, Some(8)] {
        let result = sender(acting).set_role(&target, 7, "prefill", later);
        assert_eq!(result.unwrap_err(), OrderError::NotOwner);
    }
    let result = sender(Some(7)).set_role(&target, 7, "prefill", Instant::now());
    assert_eq!(result.unwrap_err(), OrderError::DeadlinePassed);
    assert!(requests.lock().is_empty());
}

/// Guards against an old owner that takes a refusal for a fault and tries again.
#[test]
fn a_refusal_by_fencing_is_told_apart() {
    for status in ["200 OK", "409 Conflict"] {
        assert_eq!(load(&engine(status, FENCED).0).unwrap_err(), OrderError::Fenced(9));
    }
}

/// Guards against an order to an engine without fencing that can't be corrected.
#[test]
fn only_convergent_orders_go_to_engines_without_fencing() {
    let (mut target, requests) = engine("200 OK", ACCEPTED);
    target.checks_fencing = false;
    let blob = KvBlob { fencing: 1, chat: "c".to_owned(), tokens: 1, data: String::new() };
    let (sender, later) = (sender(Some(7)), Instant::now() + LIFETIME);
    let result = sender.import_kv(&target, 7, blob, later);
    assert_eq!(result.unwrap_err(), OrderError::NeedsFencing);
    assert!(requests.lock().is_empty());
    sender.set_role(&target, 7, "decode", later).unwrap();
    assert!(sender.takeover_wait() > LIFETIME);
}

/// Guards against an engine that carries out an order of a host which still believes
/// that it is the owner.
#[test]
fn a_stale_owner_is_refused_by_a_fencing_engine() {
    let engine = EngineStandin::spawn(EngineOptions::default());
    let base_url = format!("http://{}", engine.address());
    let target = OrderTarget { engine: "e1".to_owned(), base_url, checks_fencing: true };
    let later = Instant::now() + LIFETIME;
    sender(Some(9)).set_role(&target, 9, "decode", later).unwrap();
    let refused = sender(Some(7)).set_role(&target, 7, "prefill", later).unwrap_err();
    assert_eq!(refused, OrderError::Fenced(9));
    let export = sender(Some(7)).export_kv(&target, 7, "c", later).unwrap_err();
    assert_eq!(export, OrderError::Fenced(9));
    let accepted: Vec<bool> = engine.orders().iter().map(|order| order.accepted).collect();
    assert_eq!(accepted, [true, false]);
}

/// Guards against moves that cost more than the prefill they save, and against moves
/// on a guess.
#[test]
fn only_cheaper_moves_are_made() {
    let cost = KvMoveCostModel::default();
    assert!(!cost.is_move_cheaper(10_000));
    cost.observe_prefill(Duration::from_millis(110), Duration::from_millis(10), 1_000);
    assert!(cost.is_move_cheaper(10_000));
    // 100 µs a token of prefill against 40 ms for a move of up to 1,000 tokens
    cost.observe_transfer(Duration::from_millis(40), 1_000);
    assert!(cost.is_move_cheaper(1_000) && cost.is_move_cheaper(500));
    assert!(!cost.is_move_cheaper(300));
    let slow = KvMoveCostModel::default();
    slow.observe_prefill(Duration::from_millis(110), Duration::from_millis(10), 1_000);
    slow.observe_transfer(Duration::from_millis(400), 1_000);
    assert!(!slow.is_move_cheaper(100_000));
}

/// Guards against an answer that came after the effect and is taken for a refusal.
#[test]
fn a_failure_after_sending_is_unknown() {
    let (target, _) = engine("500 Internal Server Error", "{}");
    assert!(matches!(load(&target), Err(OrderError::Unknown(_))));
}

fn owner(weight_loads: u32, now: Instant) -> LoadPacer {
    let pacer = LoadPacer::new(&settings(weight_loads), now);
    assert!(pacer.acquire(5, now).is_err());
    pacer
}

/// Guards against more loads at once than the weight store allows, and against slots
/// lost with hosts that died.
#[test]
fn tickets_are_limited_and_expire() {
    let now = Instant::now() + LIFETIME * 2;
    let pacer = owner(2, now - LIFETIME * 2);
    let first = pacer.acquire(5, now).unwrap();
    pacer.acquire(5, now + LIFETIME / 2).unwrap();
    let refusal = pacer.acquire(5, now + LIFETIME / 2).unwrap_err();
    assert_eq!(refusal, LoadRefusal { retry_after: LIFETIME / 2 });
    pacer.release(first.epoch, first.number);
    pacer.acquire(5, now + LIFETIME / 2).unwrap();
    assert!(pacer.acquire(5, now + LIFETIME).is_err());
    pacer.acquire(5, now + LIFETIME * 3 / 2).unwrap();
}

/// Guards against a new owner whose tickets add to those of its predecessor, and
/// against an old owner or an old ticket that has an effect later.
#[test]
fn a_new_owner_waits_for_its_predecessors_tickets() {
    let now = Instant::now() + LIFETIME * 2;
    let pacer = owner(1, now - LIFETIME * 2);
    let old = pacer.acquire(5, now).unwrap();
    assert!(pacer.acquire(6, now).is_err());
    assert!(pacer.acquire(6, now + LIFETIME).is_err());
    let new = pacer.acquire(6, now + LIFETIME * 2).unwrap();
    assert!(old.deadline < now + LIFETIME * 2);
    pacer.release(old.epoch, old.number);
    assert!(pacer.acquire(6, now + LIFETIME * 2).is_err());
    assert!(pacer.acquire(5, now + LIFETIME * 9).is_err());
    pacer.release(new.epoch, new.number);
    assert!(pacer.acquire(6, now + LIFETIME * 2).is_ok());
}
