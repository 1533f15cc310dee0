//! Replays of a fleet whose sends all fail, with the retry budgets of its processes. Checks the
//! bound of the whole fleet: in any window, the retries stay within the ratio of the requests
//! plus the allowance.

use {
    super::RetryBudget,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

const RATIO: f64 = 0.2;
const ALLOWANCE: u32 = 116;
const WINDOW_MS: u32 = 10_000;
const LENGTH_MS: u32 = 40_000;
/// Earlier windows whose requests may count in place of those of the window itself.
const SHIFTS_MS: [i64; 3] = [0, 5_000, 10_000];
/// Sends of a request after the first one that a host tries to make.
const RETRIES_PER_REQUEST: u32 = 2;

/// A host that loses its process at set times.
struct Host {
    /// Times at which the process is killed, and at which the next one runs.
    stops_ms: Vec<(u32, u32)>,
    budget: Option<RetryBudget>,
}

/// Times of the requests and of the retries of a replayed fleet.
#[derive(Default)]
struct Replay {
    requests_ms: Vec<u32>,
    retries_ms: Vec<u32>,
}

impl Host {
    fn new(stops_ms: Vec<(u32, u32)>) -> Host {
        Host { stops_ms, budget: None }
    }

    /// Ends the process, or starts a new one, when its time has come.
    fn update(&mut self, now_ms: u32, now: Instant, hosts: usize) {
        let is_down = self.stops_ms.iter().any(|(from, until)| (*from..*until).contains(&now_ms));
        if is_down {
            self.budget = None;
        } else if self.budget.is_none() {
            self.budget = Some(open_budget(now, hosts));
        }
    }
}

/// The budget of a process that starts now, one of a fleet of `hosts`.
fn open_budget(now: Instant, hosts: usize) -> RetryBudget {
    let part = f64::from(ALLOWANCE) / hosts as f64;
    RetryBudget::new(RATIO, part, Duration::from_millis(WINDOW_MS.into()), now)
}

/// Sends a request every `interval_ms` to a random running host, whose sends all fail from
/// `fails_from_ms` on.
fn replay(hosts: &mut [Host], interval_ms: u32, fails_from_ms: u32, random: &mut StdRng) -> Replay {
    let start = Instant::now();
    let mut replay = Replay::default();
    let count = hosts.len();
    for now_ms in (0..LENGTH_MS).step_by(interval_ms as usize) {
        let now = start + Duration::from_millis(now_ms.into());
        for host in hosts.iter_mut() {
            host.update(now_ms, now, count);
        }
        replay.requests_ms.push(now_ms);
        let mut running: Vec<_> =
            hosts.iter_mut().filter_map(|host| host.budget.as_mut()).collect();
        if running.is_empty() {
            continue;
        }
        let chosen = random.random_range(0..running.len());
        let budget = &mut running[chosen];
        budget.count_request(now);
        if now_ms < fails_from_ms {
            continue;
        }
        for _ in 0..RETRIES_PER_REQUEST {
            if budget.take_retry(now) {
                replay.retries_ms.push(now_ms);
            }
        }
    }
    replay
}

impl Replay {
    /// Largest number of retries beyond the bound in a window; negative if the bound holds. The
    /// requests of a window count, or those of a window that begins earlier by one of
    /// `shifts_ms`, whichever are most.
    fn largest_excess(&self, shifts_ms: &[i64]) -> f64 {
        let within = |times: &[u32], from: i64| {
            let window = from..from + i64::from(WINDOW_MS);
            times.iter().filter(|at| window.contains(&i64::from(**at))).count() as f64
        };
        let starts = (0..LENGTH_MS - WINDOW_MS).step_by(100).map(i64::from);
        starts
            .map(|from| {
                let requests = shifts_ms
                    .iter()
                    .map(|shift| within(&self.requests_ms, from - shift))
                    .fold(0.0, f64::max);
                within(&self.retries_ms, from) - requests * RATIO - f64::from(ALLOWANCE)
            })
            .fold(f64::MIN, f64::max)
    }
}

/// Whether killed processes start again.
#[derive(Clone, Copy, PartialEq)]
enum Restarts {
    Soon,
    Later,
    Never,
}

/// Replays fleets of random size in which hosts are killed in `rounds` rounds. Returns the seeds
/// that break the bound, and by how much.
fn excesses(rounds: u32, restarts: Restarts) -> Vec<(u64, f64)> {
    let mut broken = Vec::new();
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(3..40);
        let stop_chance = random.random_range(0.3..1.0);
        let round_ms = random.random_range(1_500..6_000);
        let mut hosts: Vec<Host> = Vec::new();
        for host in 0..count {
            let mut stops_ms = Vec::new();
            for round in 0..rounds {
                let at = 14_000 + round * round_ms;
                if !random.random_bool(stop_chance) {
                    continue;
                }
                let from_ms = at + random.random_range(0..500);
                match restarts {
                    Restarts::Soon => stops_ms.push((from_ms, from_ms + 500)),
                    Restarts::Later => {
                        let down_ms = random.random_range(100..6_000);
                        stops_ms.push((from_ms, (from_ms + down_ms).min(at + round_ms)));
                    }
                    // one host stays for the callers
                    Restarts::Never if host > 0 => stops_ms.push((from_ms, LENGTH_MS)),
                    Restarts::Never => {}
                }
            }
            hosts.push(Host::new(stops_ms));
        }
        let interval_ms = random.random_range(4..20);
        let fails_from_ms = random.random_range(9_000..14_000);
        let replay = replay(&mut hosts, interval_ms, fails_from_ms, &mut random);
        let excess = replay.largest_excess(&SHIFTS_MS);
        if excess > 0.0 {
            broken.push((seed, excess));
        }
    }
    broken
}

/// Guards against a retry storm while no host is lost, and against a budget that is used too
/// little.
#[test]
fn retries_of_a_fleet_stay_within_the_budget() {
    let mut hosts: Vec<Host> = (0..15).map(|_| Host::new(Vec::new())).collect();
    let mut random = StdRng::seed_from_u64(1);
    let replay = replay(&mut hosts, 10, 0, &mut random);
    let excess = replay.largest_excess(&[0]);
    assert!(excess <= 0.0, "{excess} beyond the bound");
    assert!(replay.retries_ms.len() > 500, "{} retries", replay.retries_ms.len());
}

/// Guards against repeats beyond the budget: processes that were killed start again while every
/// send fails.
#[test]
fn retries_stay_within_the_budget_while_hosts_restart() {
    for (rounds, restarts) in [(5, Restarts::Soon), (2, Restarts::Later)] {
        let broken = excesses(rounds, restarts);
        assert!(broken.is_empty(), "{} of 200 seeds: {broken:?}", broken.len());
    }
}

/// Guards against a ratio that is used twice: hosts end after they used theirs, and their callers
/// go to other hosts.
#[test]
fn retries_stay_within_the_budget_while_callers_move_to_other_hosts() {
    let broken = excesses(2, Restarts::Never);
    assert!(broken.is_empty(), "{} of 200 seeds: {broken:?}", broken.len());
}
