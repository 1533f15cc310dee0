use {
    crate::{
        blocklist::{Crash, PartKey, SharedBlocklist, TeamHash},
        endpoints::{Endpoint, IdleConnection},
        http1::{Connection, connect},
        telemetry::event,
    },
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_local, time::sleep},
};

/// Time in which the other connections to an endpoint break too if it crashed.
const SETTLING_TIME: Duration = Duration::from_millis(20);
/// Time limit for opening a connection to find out whether an endpoint runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the connection of a check is kept for a request.
const KEEP_TIME: Duration = Duration::from_millis(2_000);

/// A request whose connection broke before the endpoint began the response.
pub(super) struct BrokenRequest {
    pub(super) parts: Vec<PartKey>,
    pub(super) team: TeamHash,
}

/// Finds out whether endpoints crashed after connections to them broke: a single connection may
/// break for another reason.
#[derive(Default)]
pub(crate) struct CrashChecks {
    /// Requests whose connection broke, by the endpoint that is being checked.
    broken: RefCell<HashMap<u32, Vec<BrokenRequest>>>,
}

impl CrashChecks {
    /// Records a broken request, and checks its endpoint unless that is being done.
    pub(super) fn add(
        checks: &Rc<CrashChecks>,
        request: BrokenRequest,
        endpoint: &Rc<Endpoint>,
        blocklist: &Rc<SharedBlocklist>,
    ) {
        let mut broken = checks.broken.borrow_mut();
        let requests = broken.entry(endpoint.hash).or_default();
        requests.push(request);
        if requests.len() > 1 {
            return;
        }
        let (checks, endpoint, blocklist) = (checks.clone(), endpoint.clone(), blocklist.clone());
        spawn_local(async move { checks.check(&endpoint, &blocklist, Instant::now()).await });
    }

    /// Checks an endpoint and reports the requests that it held if it crashed.
    async fn check(&self, endpoint: &Endpoint, blocklist: &SharedBlocklist, broken_at: Instant) {
        let has_crashed = !is_running(endpoint).await;
        let requests = self.broken.borrow_mut().remove(&endpoint.hash).unwrap_or_default();
        event!(
            "endpoint_checked",
            "endpoint={} crashed={has_crashed} requests={}",
            endpoint.record.borrow().id,
            requests.len()
        );
        if !has_crashed {
            return;
        }
        for BrokenRequest { parts, team } in requests {
            let crash = Crash { endpoint: endpoint.hash, team, at: broken_at };
            blocklist.record_crash(&parts, crash);
        }
    }
}

/// Whether an endpoint runs, to which a connection broke a moment ago: it keeps another connection
/// open, or accepts a new one.
async fn is_running(endpoint: &Endpoint) -> bool {
    sleep(SETTLING_TIME).await;
    if endpoint.has_open_idle_connection() {
        return true;
    }
    let address = endpoint.record.borrow().address;
    let Ok(stream) = connect(address, CONNECT_TIMEOUT).await else { return false };
    keep(endpoint, stream);
    true
}

fn keep(endpoint: &Endpoint, connection: Connection) {
    let idle_since = Instant::now();
    let usable_until = idle_since + KEEP_TIME;
    endpoint.put_idle_connection(IdleConnection { connection, idle_since, usable_until });
}
