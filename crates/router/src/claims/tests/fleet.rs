use {
    super::test_log::{HostLog, TestLog},
    crate::{
        claims::{ClaimOptions, ClaimService, RangeAuthority, WallClock},
        metrics::Metrics,
    },
    crossbeam::channel::{Receiver, unbounded},
    mango_wire::{
        Epoch,
        peer::{ClaimReply, ClaimRequest, ClaimResult},
    },
    parking_lot::Mutex,
    serde_json::json,
    std::{
        collections::{BTreeSet, HashMap},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

/// Wall-clock time at the start of a test, in milliseconds since 1970.
pub(super) const START_MS: u64 = 1_800_000_000_000;
pub(super) const SKEW_MS: u64 = 2_000;
pub(super) const LEASE_MS: u64 = 1_000;
pub(super) const RETENTION_MS: u64 = 86_400_000;
/// Time that a claim may wait if its answer is expected before its deadline.
pub(super) const LONG_WAIT_MS: u32 = 5_000;
/// Time that a claim may wait if it is expected to get no grant until its deadline.
pub(super) const SHORT_WAIT_MS: u32 = 200;

#[derive(Default)]
pub(super) struct TestClock {
    now_ms: AtomicU64,
}

impl WallClock for TestClock {
    fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst)
    }
}

#[derive(Default)]
pub(super) struct TestAuthority {
    /// Acting epoch, and whether the host is in a verified outage.
    state: Mutex<(Option<Epoch>, bool)>,
    outages: Arc<Mutex<Vec<(u64, u64)>>>,
}

impl TestAuthority {
    pub(super) fn set(&self, epoch: Option<Epoch>, in_outage: bool) {
        *self.state.lock() = (epoch, in_outage);
    }
}

impl RangeAuthority for TestAuthority {
    fn acting_epoch(&self, _range: u32) -> Option<Epoch> {
        self.state.lock().0
    }

    fn in_verified_outage(&self) -> bool {
        self.state.lock().1
    }

    fn outages(&self) -> Vec<(u64, u64)> {
        self.outages.lock().clone()
    }
}

pub(super) struct TestHost {
    pub(super) claims: Arc<ClaimService>,
    pub(super) log: Arc<HostLog>,
    pub(super) authority: Arc<TestAuthority>,
    grants: Arc<Mutex<Grants>>,
}

/// Ids of the requests that were granted, by key.
pub(super) type Grants = HashMap<String, BTreeSet<String>>;

/// Environment that the hosts of a test share: log, clock and list of known outages.
#[derive(Default)]
pub(super) struct TestFleet {
    pub(super) log: Arc<TestLog>,
    clock: Arc<TestClock>,
    outages: Arc<Mutex<Vec<(u64, u64)>>>,
    pub(super) grants: Arc<Mutex<Grants>>,
}

impl TestFleet {
    pub(super) fn new() -> Self {
        let fleet = Self::default();
        fleet.advance_clock(START_MS);
        fleet
    }

    pub(super) fn host(&self, name: &str, epoch: Option<Epoch>) -> TestHost {
        let options = ClaimOptions {
            host_id: name.to_owned(),
            range_count: 1,
            batch_interval: Duration::from_millis(2),
            request_timeout: Duration::from_millis(100),
            clock_skew_ms: SKEW_MS,
            lease_ms: LEASE_MS,
            retention_ms: RETENTION_MS,
            max_outcome_bytes: 64,
            max_record_bytes: 4096,
        };
        let log = Arc::new(HostLog::new(self.log.clone()));
        let authority =
            Arc::new(TestAuthority { outages: self.outages.clone(), ..Default::default() });
        authority.set(epoch, false);
        let metrics = Metrics::new();
        let clock = self.clock.clone();
        let claims = ClaimService::spawn(options, log.clone(), authority.clone(), clock, &metrics);
        let grants = self.grants.clone();
        TestHost { claims: claims.unwrap(), log, authority, grants }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Moves the wall clock that all hosts share.
    pub(super) fn advance_clock(&self, ms: u64) {
        self.clock.now_ms.fetch_add(ms, Ordering::SeqCst);
    }

    /// Makes the log unavailable; returns the time.
    pub(super) fn begin_outage(&self) -> u64 {
        self.log.set_faults(|faults| faults.down = true);
        self.now_ms()
    }

    /// Makes the log available and lists the outage as known.
    pub(super) fn end_outage(&self, began_ms: u64) {
        self.log.set_faults(|faults| faults.down = false);
        self.outages.lock().push((began_ms, self.now_ms()));
    }

    /// A key issued now.
    pub(super) fn key(&self) -> String {
        key_at(self.now_ms())
    }
}

impl TestHost {
    /// Sends a claim that may wait for `wait_ms`, and returns the receiver of its answer.
    pub(super) fn start_claim(
        &self,
        key: &str,
        request_id: &str,
        wait_ms: u32,
    ) -> Receiver<ClaimReply> {
        self.start_claim_with_body(key, request_id, wait_ms, 1)
    }

    pub(super) fn start_claim_with_body(
        &self,
        key: &str,
        request_id: &str,
        wait_ms: u32,
        body_digest: u64,
    ) -> Receiver<ClaimReply> {
        let (sender, receiver) = unbounded();
        let request: ClaimRequest = serde_json::from_value(json!({
            "range": 0, "team": "firma", "key": key, "request_id": request_id,
            "body_digest": body_digest, "remaining_ms": wait_ms,
        }))
        .unwrap();
        let (grants, key, id) = (self.grants.clone(), key.to_owned(), request_id.to_owned());
        self.claims.claim(request, move |reply| {
            if reply.result == ClaimResult::Granted {
                grants.lock().entry(key).or_default().insert(id);
            }
            let _ = sender.send(reply);
        });
        receiver
    }

    /// Claims and waits for the answer. Retries while the host answers `not_owner`.
    pub(super) fn claim(&self, key: &str, request_id: &str, wait_ms: u32) -> ClaimReply {
        let retry_until = Instant::now() + Duration::from_secs(5);
        loop {
            let reply =
                self.start_claim(key, request_id, wait_ms).recv_timeout(Duration::from_secs(10));
            let reply = reply.expect("every claim is answered");
            if reply.result != ClaimResult::NotOwner || Instant::now() > retry_until {
                return reply;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub(super) fn claim_result(&self, key: &str, request_id: &str) -> ClaimResult {
        self.claim(key, request_id, LONG_WAIT_MS).result
    }

    pub(super) fn record_outcome(&self, key: &str, request_id: &str, status: u16, body: &[u8]) {
        let report = json!({
            "range": 0, "team": "firma", "key": key, "request_id": request_id, "status": status,
            "content_type": "text/plain", "body": body, "body_kept": true,
        });
        self.claims.record_outcome(serde_json::from_value(report).unwrap());
    }

    pub(super) fn abandon(&self, key: &str, request_id: &str) {
        let report = json!({ "range": 0, "team": "firma", "key": key, "request_id": request_id });
        self.claims.abandon(serde_json::from_value(report).unwrap());
    }

    pub(super) fn wait_until_recorded(&self) {
        assert!(self.claims.wait_until_recorded(Instant::now() + Duration::from_secs(5)));
    }
}

/// A fleet whose host `h1` serves the range under epoch 1.
pub(super) fn serving_host() -> (TestFleet, TestHost) {
    let fleet = TestFleet::new();
    let host = fleet.host("h1", Some(1));
    assert_eq!(host.claim_result(&fleet.key(), "first"), ClaimResult::Granted);
    host.wait_until_recorded();
    (fleet, host)
}

/// A version 7 UUID issued at `issued_ms`.
pub(super) fn key_at(issued_ms: u64) -> String {
    let random = Uuid::new_v4().into_bytes();
    uuid::Builder::from_unix_timestamp_millis(issued_ms, random[..10].try_into().unwrap())
        .into_uuid()
        .to_string()
}
