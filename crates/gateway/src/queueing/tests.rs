//! Replays of overload with the real decisions in a small model, in virtual time: engines that
//! share their speed among their requests, many hosts whose views of each other are old, and
//! callers that leave at their deadline.

use {
    super::{
        concurrency_limit::ServiceLoad,
        fair_queue::FairQueue,
        service_queue::{Arrival, Decision, ServiceQueue},
    },
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
};

const HOSTS: usize = 12;
const SLOTS: u32 = 24;
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Age that the hosts' views of each other reach.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a request takes on a slot of its own.
const WORK: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(4);
const TARGET_LATENCY: Duration = Duration::from_millis(1_000);

/// How hosts treat new requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Every request is sent at once.
    PassThrough,
    Queue,
}

/// A request in progress.
struct Run {
    id: usize,
    host: usize,
    started_at: Instant,
    work_left: Duration,
}

/// What a caller experienced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Caller {
    team: usize,
    sent_at: Duration,
    completed_at: Option<Duration>,
    refused_after: Option<Duration>,
}

struct Model {
    policy: Policy,
    start: Instant,
    now: Instant,
    queues: Vec<ServiceQueue<usize>>,
    /// Requests in progress by host, as the other hosts know them.
    reported: Vec<u32>,
    runs: Vec<Run>,
    waiting: HashMap<usize, (usize, super::fair_queue::Position, Instant)>,
    callers: Vec<Caller>,
}

impl Model {
    /// Runs callers whose requests arrive at these times, each from a team, and returns what
    /// they experienced.
    fn run(policy: Policy, arrivals: &[(Duration, usize)], length: Duration) -> Vec<Caller> {
        let start = Instant::now();
        let mut model = Model {
            policy,
            start,
            now: start,
            queues: (0..HOSTS).map(|_| ServiceQueue::default()).collect(),
            reported: vec![0; HOSTS],
            runs: Vec::new(),
            waiting: HashMap::new(),
            callers: Vec::new(),
        };
        let mut arrivals = arrivals.iter().peekable();
        while model.now < start + length {
            while let Some(&&(at, team)) = arrivals.peek()
                && start + at <= model.now
            {
                model.arrive(team);
                arrivals.next();
            }
            model.step();
        }
        model.callers
    }

    fn load(&self, host: usize) -> ServiceLoad {
        let others = self.reported.iter().sum::<u32>() - self.reported[host];
        let fleet_hosts = HOSTS as u32;
        ServiceLoad { slots: SLOTS, other_requests: Some(others), fleet_hosts }
    }

    fn arrive(&mut self, team: usize) {
        let id = self.callers.len();
        let host = id * 7 % HOSTS;
        let sent_at = self.now - self.start;
        self.callers.push(Caller { team, sent_at, ..Caller::default() });
        if self.policy == Policy::PassThrough {
            return self.begin(id, host);
        }
        let arrival = Arrival {
            priority: 1,
            team: Some(format!("team-{team}").into()),
            route: "route".into(),
            deadline: self.now + DEADLINE,
        };
        let load = self.load(host);
        match self.queues[host].arrive(&arrival, &load, self.now, id) {
            Decision::Start => self.begin(id, host),
            Decision::Wait { position, latest_start } => {
                self.waiting.insert(id, (host, position, latest_start));
            }
            Decision::Refuse { .. } => self.callers[id].refused_after = Some(Duration::ZERO),
        }
    }

    fn begin(&mut self, id: usize, host: usize) {
        self.runs.push(Run { id, host, started_at: self.now, work_left: WORK });
    }

    fn step(&mut self) {
        self.now += STEP;
        let speed = (f64::from(SLOTS) / self.runs.len().max(1) as f64).min(1.0);
        for run in &mut self.runs {
            run.work_left = run.work_left.saturating_sub(STEP.mul_f64(speed));
        }
        self.end_runs();
        self.end_waits();
        for host in 0..HOSTS {
            let load = self.load(host);
            while let Some(id) = self.queues[host].start_next(&load) {
                self.waiting.remove(&id);
                self.begin(id, host);
            }
        }
        let elapsed = self.now - self.start;
        if elapsed.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            self.reported = self.queues.iter().map(ServiceQueue::in_progress).collect();
        }
    }

    /// Ends the runs that are complete and those whose caller has left.
    fn end_runs(&mut self) {
        let (now, start) = (self.now, self.start);
        let is_over = |run: &Run, callers: &[Caller]| {
            run.work_left.is_zero() || now - start > callers[run.id].sent_at + DEADLINE
        };
        let mut index = 0;
        while index < self.runs.len() {
            if !is_over(&self.runs[index], &self.callers) {
                index += 1;
                continue;
            }
            let run = self.runs.swap_remove(index);
            let held = now - run.started_at;
            if run.work_left.is_zero() {
                self.callers[run.id].completed_at = Some(now - start);
            }
            if self.policy == Policy::Queue {
                let queue = &mut self.queues[run.host];
                queue.record_start(held > TARGET_LATENCY);
                queue.record_duration(&"route".into(), held, self.now);
                queue.end(held);
            }
        }
    }

    /// Refuses the waiting requests that have no chance any more.
    fn end_waits(&mut self) {
        let now = self.now;
        let ended: Vec<usize> = self
            .waiting
            .iter()
            .filter(|(_, (_, _, latest_start))| now > *latest_start)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            let (host, position, _) = self.waiting.remove(&id).expect("it waits");
            self.queues[host].stop_waiting(position);
            let waited = now - self.start - self.callers[id].sent_at;
            self.callers[id].refused_after = Some(waited);
        }
    }
}

/// Arrival times at a rate per second, all from one team.
fn arrivals(from_s: u64, to_s: u64, per_s: u64, team: usize) -> Vec<(Duration, usize)> {
    let interval = Duration::from_secs(1).div_f64(per_s as f64);
    let count = (to_s - from_s) * per_s;
    let at = |index: u64| Duration::from_secs(from_s) + interval.mul_f64(index as f64);
    (0..count).map(|index| (at(index), team)).collect()
}

fn merged(parts: &[Vec<(Duration, usize)>]) -> Vec<(Duration, usize)> {
    let mut all = parts.concat();
    all.sort();
    all
}

fn served<'a>(callers: impl IntoIterator<Item = &'a Caller>) -> usize {
    callers.into_iter().filter(|caller| caller.completed_at.is_some()).count()
}

/// Requests per second that the slots can run.
const CAPACITY_PER_S: u64 = SLOTS as u64 * 1_000 / WORK.as_millis() as u64;

/// Guards against congestion collapse: four times the capacity arrives for 10 s. Sent at once,
/// requests share the slots until few finish before their deadline. A policy with full and
/// fresh knowledge serves as many as the slots can run.
#[test]
fn overload_serves_what_the_capacity_allows() {
    let surge = arrivals(0, 10, 4 * CAPACITY_PER_S, 0);
    let possible = (10 * CAPACITY_PER_S) as f64;
    let length = Duration::from_secs(15);
    let passed_through = served(&Model::run(Policy::PassThrough, &surge, length)) as f64;
    let callers = Model::run(Policy::Queue, &surge, length);
    let queued = served(&callers) as f64;
    assert!(queued >= 0.95 * possible, "{queued} of {possible}");
    assert!(passed_through < 0.75 * queued, "{passed_through} without the queue, {queued} with it");
}

/// Guards against requests that end at their deadline: each unserved one is told at once, or
/// after a wait that leaves it time to come back.
#[test]
fn unserved_requests_are_refused_long_before_their_deadline() {
    let surge = arrivals(0, 10, 4 * CAPACITY_PER_S, 0);
    let callers = Model::run(Policy::Queue, &surge, Duration::from_secs(15));
    let unserved: Vec<_> = callers.iter().filter(|caller| caller.completed_at.is_none()).collect();
    let silent = unserved.iter().filter(|caller| caller.refused_after.is_none()).count();
    assert!(silent * 100 <= callers.len(), "{silent} of {} reached the deadline", callers.len());
    let latest = unserved.iter().filter_map(|caller| caller.refused_after).max();
    assert!(latest <= Some(DEADLINE.mul_f64(0.4)), "{latest:?}");
}

/// Guards against a state of overload that outlasts its cause: 3 s after a surge, requests at
/// half the capacity are served as before it.
#[test]
fn service_is_back_three_seconds_after_a_surge() {
    let calm = arrivals(0, 25, CAPACITY_PER_S / 2, 0);
    let surge = arrivals(5, 13, 5 * CAPACITY_PER_S, 1);
    let callers = Model::run(Policy::Queue, &merged(&[calm, surge]), Duration::from_secs(30));
    let late = Duration::from_secs(16);
    let after: Vec<_> = callers.iter().filter(|caller| caller.sent_at >= late).collect();
    let in_time = after.iter().filter(|caller| {
        caller.completed_at.is_some_and(|at| at - caller.sent_at <= TARGET_LATENCY)
    });
    assert!(in_time.count() * 100 >= after.len() * 95, "of {}", after.len());
}

/// Guards against a team that takes the places of the others: one sends forty times as much as
/// each of nine others, whose requests must be served all the same.
#[test]
fn a_surging_team_takes_only_what_the_others_leave() {
    let mut parts: Vec<_> = (1..10).map(|team| arrivals(0, 10, 2, team)).collect();
    parts.push(arrivals(0, 10, 80, 0));
    let callers = Model::run(Policy::Queue, &merged(&parts), Duration::from_secs(15));
    let others: Vec<_> = callers.iter().filter(|caller| caller.team != 0).collect();
    let served = served(others.iter().copied());
    assert!(served * 100 >= others.len() * 95, "{served} of {}", others.len());
}

/// Guards against a queue that serves a team's backlog before the first request of another team,
/// or a less urgent request before a more urgent one.
#[test]
fn teams_take_turns_within_a_priority() {
    let team = |name: &str| Some(Rc::from(name));
    let mut queue = FairQueue::default();
    for entry in ["a1", "a2", "a3"] {
        queue.push(1, team("a"), entry);
    }
    queue.push(1, team("b"), "b1");
    queue.push(0, team("a"), "urgent");
    let position = queue.next_position(1, &team("c"));
    assert_eq!(queue.count_before(position), 3);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["urgent", "a1", "b1", "a2", "a3"]);
}

/// Guards against hosts that start nothing, or as much as they like, while they do not know the
/// load of the others, the size of the fleet or the slots.
#[test]
fn missing_inputs_have_a_stated_limit() {
    let arrival = Arrival {
        priority: 1,
        team: None,
        route: "route".into(),
        deadline: Instant::now() + DEADLINE,
    };
    let started = |load: ServiceLoad| {
        let mut queue = ServiceQueue::default();
        let now = Instant::now();
        let starts =
            (0..100).filter(|id| queue.arrive(&arrival, &load, now, *id) == Decision::Start);
        starts.count()
    };
    let known = ServiceLoad { slots: 20, other_requests: Some(0), fleet_hosts: 4 };
    assert_eq!(started(ServiceLoad { other_requests: None, ..known }), 30);
    assert_eq!(started(ServiceLoad { fleet_hosts: 0, ..known }), 30);
    assert_eq!(started(ServiceLoad { slots: 0, ..known }), 100);
    assert_eq!(started(ServiceLoad { other_requests: Some(60), ..known }), 8);
}
