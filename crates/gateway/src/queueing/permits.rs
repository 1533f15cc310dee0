use {
    super::{
        concurrency_limit::ServiceLoad,
        fair_queue::Position,
        service_queue::{Arrival, Decision, ServiceQueue},
    },
    crate::{config::Evacuations, endpoints::Directory, peers::PeerState, telemetry::event},
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::oneshot,
        task::spawn_local,
        time::{sleep, timeout_at},
    },
};

/// Interval at which waiting requests are started when the load of other hosts decreases.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// A request that needs a permit, and its service.
pub(crate) struct PermitRequest {
    pub(crate) id: Box<str>,
    pub(crate) service: Rc<str>,
    pub(crate) arrival: Arrival,
}

/// The request cannot finish before its deadline. The requests before it will have started
/// after `backlog`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoPermit {
    pub(crate) backlog: Duration,
}

/// Issues the permits with which requests are sent to the endpoints of a service.
pub(crate) struct Permits {
    directory: Rc<Directory>,
    peers: Rc<PeerState>,
    evacuations: Rc<Evacuations>,
    queues: RefCell<HashMap<Rc<str>, Rc<PermitQueue>>>,
}

/// The permits of one service.
struct PermitQueue {
    service: Rc<str>,
    directory: Rc<Directory>,
    peers: Rc<PeerState>,
    evacuations: Rc<Evacuations>,
    state: RefCell<ServiceQueue<oneshot::Sender<Permit>>>,
    /// Whether a task starts waiting requests at intervals.
    has_start_task: Cell<bool>,
}

impl Permits {
    pub(crate) fn new(
        directory: Rc<Directory>,
        peers: Rc<PeerState>,
        evacuations: Rc<Evacuations>,
    ) -> Permits {
        Permits { directory, peers, evacuations, queues: RefCell::default() }
    }

    /// Waits until the request may be sent. Fails at once if it could not finish in time, and
    /// after its wait if capacity did not become free soon enough.
    pub(crate) async fn acquire(&self, request: PermitRequest) -> Result<Permit, NoPermit> {
        let queue = self.queue(&request.service);
        let (sender, receiver) = oneshot::channel();
        let now = Instant::now();
        let load = queue.load();
        let decision = queue.state.borrow_mut().arrive(&request.arrival, &load, now, sender);
        if decision != Decision::Start {
            queue.log_decision(&request, &load, decision, now);
        }
        match decision {
            Decision::Start => Ok(Permit::new(queue)),
            Decision::Refuse { backlog } => Err(NoPermit { backlog }),
            Decision::Wait { position, latest_start } => {
                let _waiting = WaitGuard { queue: queue.clone(), position };
                queue.start_periodically();
                match timeout_at(latest_start.into(), receiver).await {
                    Ok(Ok(permit)) => Ok(permit),
                    Ok(Err(_)) | Err(_) => Err(NoPermit { backlog: now.elapsed() }),
                }
            }
        }
    }

    /// The longest time that a request of the route took lately; `None` if none was complete.
    pub(crate) fn slowest_run(&self, service: &str, route: &str) -> Option<Duration> {
        self.queues.borrow().get(service)?.state.borrow().slowest_run(route)
    }

    /// The queue of a service, as JSON for the state dump.
    pub(crate) fn service_state(&self, service: &str) -> Value {
        let queues = self.queues.borrow();
        let Some(queue) = queues.get(service) else { return Value::Null };
        let state = queue.state.borrow();
        json!({
            "in_progress": state.in_progress(),
            "waiting": state.waiting(),
            "requests_per_slot": state.requests_per_slot(),
        })
    }

    fn queue(&self, service: &Rc<str>) -> Rc<PermitQueue> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(service.clone()).or_insert_with(|| {
            Rc::new(PermitQueue {
                service: service.clone(),
                directory: self.directory.clone(),
                peers: self.peers.clone(),
                evacuations: self.evacuations.clone(),
                state: RefCell::default(),
                has_start_task: Cell::new(false),
            })
        });
        queue.clone()
    }
}

impl PermitQueue {
    /// The load of the service now, from the endpoints that accept requests.
    fn load(&self) -> ServiceLoad {
        let now = Instant::now();
        let mut load = ServiceLoad {
            slots: 0,
            other_requests: Some(0),
            fleet_hosts: self.peers.fleet_hosts(),
        };
        for endpoint in self.directory.of_service(&self.service) {
            let record = endpoint.record.borrow();
            if endpoint.is_leaving()
                || self.directory.closed_time(&record, now).is_some()
                || endpoint.health.get().is_paused(now)
                || self.evacuations.is_evacuated(&record.zone)
            {
                continue;
            }
            load.slots = load.slots.saturating_add(record.slots);
            let others = self.peers.requests_by_other_hosts(endpoint.hash);
            load.other_requests =
                load.other_requests.zip(others).map(|(sum, more)| sum.saturating_add(more));
        }
        load
    }

    /// Logs why a request does not start at once.
    fn log_decision(
        &self,
        request: &PermitRequest,
        load: &ServiceLoad,
        decision: Decision,
        now: Instant,
    ) {
        let (decision, limit) = match decision {
            Decision::Start => ("start", Duration::ZERO),
            Decision::Wait { latest_start, .. } => {
                ("wait", latest_start.saturating_duration_since(now))
            }
            Decision::Refuse { backlog } => ("refuse", backlog),
        };
        let state = self.state.borrow();
        event!(
            "request_queued",
            "id={} decision={decision} limit_ms={} priority={} in_progress={} waiting={} \
             requests_of_others={} slots={} requests_per_slot={:.2} hosts={} time_left_ms={}",
            request.id,
            limit.as_millis(),
            request.arrival.priority,
            state.in_progress(),
            state.waiting(),
            load.other_requests.map_or(-1, i64::from),
            load.slots,
            state.requests_per_slot(),
            load.fleet_hosts,
            request.arrival.deadline.saturating_duration_since(now).as_millis()
        );
    }

    /// Starts waiting requests as far as there is capacity.
    fn start_waiting(self: &Rc<Self>) {
        loop {
            if self.state.borrow().waiting() == 0 {
                return;
            }
            let load = self.load();
            let Some(waker) = self.state.borrow_mut().start_next(&load) else { return };
            // if the request no longer waits, the permit is dropped and starts the next one
            drop(waker.send(Permit::new(self.clone())));
        }
    }

    /// Starts waiting requests at intervals until none is left. Does nothing if a task already
    /// does that.
    fn start_periodically(self: &Rc<Self>) {
        if self.has_start_task.replace(true) {
            return;
        }
        let queue = self.clone();
        spawn_local(async move {
            while queue.state.borrow().waiting() > 0 {
                sleep(START_INTERVAL).await;
                queue.start_waiting();
            }
            queue.has_start_task.set(false);
        });
    }
}

/// Removes a waiting request from the queue when its caller leaves or its wait ends.
struct WaitGuard {
    queue: Rc<PermitQueue>,
    position: Position,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().stop_waiting(self.position);
    }
}

/// Counts a request as in progress until it is dropped.
pub(crate) struct Permit {
    queue: Rc<PermitQueue>,
    started_at: Instant,
}

impl Permit {
    fn new(queue: Rc<PermitQueue>) -> Permit {
        Permit { queue, started_at: Instant::now() }
    }

    /// Records that the response began, which is to happen within the target latency.
    pub(crate) fn record_start(&self, target_latency: Duration) {
        let is_late = self.started_at.elapsed() > target_latency;
        self.queue.state.borrow_mut().record_start(is_late);
    }

    /// Records that the response of the request was complete.
    pub(crate) fn record_completion(&self, route: &Rc<str>) {
        let duration = self.started_at.elapsed();
        self.queue.state.borrow_mut().record_duration(route, duration, Instant::now());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().end(self.started_at.elapsed());
        self.queue.start_waiting();
    }
}
