//! Two ways to bring what the relay knows to the hosts of its zone: after an outage of the store in which
//! all records of endpoints expire, and while endpoints are replaced one after the other.

use {
    super::{
        store::Store,
        zone_host::{Design, ZoneHost},
    },
    crate::{clock::Now, followers::record_sink::RecordSink},
    std::time::Duration,
};

const ENDPOINTS: usize = 130;
const STEP: Duration = Duration::from_millis(50);
const STATUS_STEPS: u32 = 4;
const POLL_STEPS: u32 = 15;
/// The endpoints write their records again over this time.
const RETURN_STEPS: u32 = 24;
const OUTAGE: Duration = Duration::from_secs(6);
/// From then on an endpoint drains every second.
const REPLACEMENT_STEPS: std::ops::Range<u32> = 120..720;
const STEPS_PER_REPLACEMENT: u32 = 20;
const END_STEPS: u32 = 800;

/// What one host reads, and when all hosts agree.
#[derive(Debug, Default)]
struct Cost {
    bytes_after_outage: usize,
    bytes_of_replacements: usize,
    /// Time from the last record after the outage to the agreement of all hosts.
    agreement_ms: Option<u128>,
}

/// A record about as long as those of the users' platform.
fn record(index: usize, sequence: u32, state: &str) -> String {
    format!(
        "{} {sequence} {state} service=dele69a address=10.{}.64.{}:8120 zone=zapad-{} version=v1 slots=64 \
         coldRemainingMs=0 stage=prefill_decode models=m:1:adapters",
        1_791_239_590_584 + 7_919 * index,
        index % 5,
        index % 251,
        index % 5
    )
}

fn play(design: Design, hosts: usize) -> Cost {
    let mut now = Now::read();
    let mut store = Store::default();
    let key = |index: usize| format!("i-{:010x}", 0x9e37_79b9_u64 * index as u64);
    for index in 0..ENDPOINTS {
        store.write(&key(index), &record(index, 1, "ready"));
    }
    let mut zone: Vec<ZoneHost> =
        (0..hosts).map(|name| ZoneHost::start(name, now.instant)).collect();
    let (relay, followers) = zone.split_first_mut().expect("a relay");
    relay.read_store(&store, now);
    for host in followers.iter_mut() {
        host.follow_by(design, relay, now);
    }
    now.instant += OUTAGE;
    now.boot = now.boot + OUTAGE;
    relay.has_failed = true;
    followers.iter_mut().for_each(|host| host.has_failed = true);
    (0..ENDPOINTS).for_each(|index| store.write(&key(index), ""));
    let mut cost = Cost::default();
    for step in 0..END_STEPS {
        now.instant += STEP;
        now.boot = now.boot + STEP;
        let is_due = |index: &usize| index * RETURN_STEPS as usize / ENDPOINTS == step as usize;
        for index in (0..ENDPOINTS).filter(is_due) {
            store.write(&key(index), &record(index, 2, "ready"));
        }
        if REPLACEMENT_STEPS.contains(&step) && step % STEPS_PER_REPLACEMENT == 0 {
            let index = (step / STEPS_PER_REPLACEMENT) as usize;
            store.write(&key(index), &record(index, 3, "draining"));
        }
        if step % POLL_STEPS == 0 {
            relay.read_store(&store, now);
        }
        if step % STATUS_STEPS == 0 {
            let bytes = followers.iter_mut().map(|host| host.follow_by(design, relay, now)).max();
            match step < REPLACEMENT_STEPS.start {
                true => cost.bytes_after_outage += bytes.unwrap_or(0),
                false => cost.bytes_of_replacements += bytes.unwrap_or(0),
            }
        }
        if step % STATUS_STEPS == 0 {
            for host in followers.iter_mut() {
                host.copy.sink.expire(now.instant);
                assert_eq!(host.directory.len(), ENDPOINTS, "no endpoint is lost meanwhile");
            }
        }
        let has_read = |host: &ZoneHost| host.copy.position() == Some(store.end());
        let is_written = step >= RETURN_STEPS;
        if is_written && cost.agreement_ms.is_none() && followers.iter().all(has_read) {
            cost.agreement_ms = Some((STEP * (step - RETURN_STEPS)).as_millis());
        }
    }
    cost
}

/// Guards against a way to pass records on that costs more than to copy all of them.
#[test]
fn records_cost_less_than_copies_and_agree_as_soon() {
    for hosts in [7, 38] {
        let (records, copies) = (play(Design::Records, hosts), play(Design::Copies, hosts));
        println!("hosts={hosts} records: {records:?} copies: {copies:?}");
        assert!(records.bytes_of_replacements * 4 <= copies.bytes_of_replacements);
        assert!(records.agreement_ms <= copies.agreement_ms);
        assert!(records.agreement_ms.is_some_and(|time| time <= 2_000), "{records:?}");
    }
}
