//! Decides for the requests of one service whether they start, wait or are refused.
//!
//! Load pattern: traffic exceeds the capacity for seconds, or engines are lost during a crest.
//! Requests that are started beyond the capacity slow down all others until few finish in time.
//! A request waits here while it still has a chance to finish before its deadline, and is
//! refused as soon as it has none: at its arrival, by the wait that the queue before it will
//! take.
use {
    super::{
        concurrency_limit::{ConcurrencyLimit, ServiceLoad},
        fair_queue::{FairQueue, Position, Team},
        route_durations::RouteDurations,
    },
    crate::statistics::MovingMean,
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Share of the time that a request has to spare which it may spend waiting. The rest covers
/// runs that take longer than the mean.
const MAX_WAIT_SHARE: f64 = 0.3;

/// A request that asks to start.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) team: Team,
    pub(crate) route: Rc<str>,
    /// Time by which its response must be complete.
    pub(crate) deadline: Instant,
}

/// What happens to an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Start,
    /// It waits at this position, at most until `latest_start`.
    Wait {
        position: Position,
        latest_start: Instant,
    },
    /// It could not finish in time. The requests before it will have started after `backlog`.
    Refuse {
        backlog: Duration,
    },
}

/// Requests of one service that are in progress or wait at this host. `T` wakes a waiting one.
#[derive(Debug)]
pub(crate) struct ServiceQueue<T> {
    limit: ConcurrencyLimit,
    in_progress: u32,
    waiting: FairQueue<T>,
    /// Mean time for which a request is in progress.
    time_in_progress: MovingMean,
    /// Times from the start to the complete response, by route.
    durations: HashMap<Rc<str>, RouteDurations>,
}

impl<T> Default for ServiceQueue<T> {
    fn default() -> ServiceQueue<T> {
        ServiceQueue {
            limit: ConcurrencyLimit::default(),
            in_progress: 0,
            waiting: FairQueue::default(),
            time_in_progress: MovingMean::default(),
            durations: HashMap::new(),
        }
    }
}

impl<T> ServiceQueue<T> {
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides about a new request. `waker` is dropped unless the request waits.
    pub(crate) fn arrive(
        &mut self,
        arrival: &Arrival,
        load: &ServiceLoad,
        now: Instant,
        waker: T,
    ) -> Decision {
        if self.waiting.is_empty() && self.limit.may_start(load, self.in_progress) {
            self.in_progress += 1;
            return Decision::Start;
        }
        let position = self.waiting.next_position(arrival.priority, &arrival.team);
        let backlog = self.expected_wait(self.waiting.count_before(position));
        let duration = self.durations.get(&arrival.route).and_then(RouteDurations::mean);
        let slack = arrival
            .deadline
            .saturating_duration_since(now)
            .saturating_sub(duration.unwrap_or_default());
        let latest_start = now + slack.mul_f64(MAX_WAIT_SHARE);
        if now + backlog > latest_start {
            return Decision::Refuse { backlog };
        }
        let position = self.waiting.push(arrival.priority, arrival.team.clone(), waker);
        Decision::Wait { position, latest_start }
    }

    /// Starts the next waiting request if there is capacity for it, and returns its waker.
    pub(crate) fn start_next(&mut self, load: &ServiceLoad) -> Option<T> {
        if !self.limit.may_start(load, self.in_progress) {
            return None;
        }
        let waker = self.waiting.pop()?;
        self.in_progress += 1;
        Some(waker)
    }

    /// Removes a request that no longer waits. Returns false if it was already started.
    pub(crate) fn stop_waiting(&mut self, position: Position) -> bool {
        self.waiting.remove(position).is_some()
    }

    /// Ends a request that was in progress for this time.
    pub(crate) fn end(&mut self, time_in_progress: Duration) {
        self.in_progress -= 1;
        self.time_in_progress.record(time_in_progress);
    }

    /// Records whether a response began later than its target latency after its request was sent.
    pub(crate) fn record_start(&mut self, is_late: bool) {
        self.limit.record_start(is_late);
    }

    pub(crate) fn requests_per_slot(&self) -> f64 {
        self.limit.requests_per_slot()
    }

    /// Records the time from the start of a request to its complete response.
    pub(crate) fn record_duration(&mut self, route: &Rc<str>, duration: Duration, now: Instant) {
        self.durations.entry(route.clone()).or_default().record(duration, now);
    }

    /// The longest time lately from the start of a request to its complete response; `None` if
    /// no request of the route was complete.
    pub(crate) fn slowest_run(&self, route: &str) -> Option<Duration> {
        self.durations.get(route).map(RouteDurations::slowest)
    }

    /// Time until a request starts that has this many before it; zero until a request has ended.
    fn expected_wait(&self, before: usize) -> Duration {
        let mean = self.time_in_progress.get().unwrap_or_default();
        mean.mul_f64((before + 1) as f64 / f64::from(self.in_progress.max(1)))
    }
}
