//! Seeded replays of a fleet whose engines crash under a deadly part, and for other reasons. Counts
//! the requests with the part that were still sent, and the sound requests that were refused.

use {
    super::{
        crash::Crash,
        part_blocklist::PartBlocklist,
        part_key::{PartKey, TeamHash},
        part_record::PartRecord,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        env,
        time::{Duration, Instant},
    },
};

/// Number of replays; `REPLAY_SEEDS` sets another one.
const DEFAULT_SEEDS: u64 = 40;
const TICK_MS: u64 = 10;
const LENGTH_MS: u64 = 25_000;
/// When requests with the deadly part begin to come.
const DEADLY_FROM_MS: u64 = 3_000;
const GOSSIP_INTERVAL_MS: u64 = 200;
/// Time after the fifth crash in which requests with the part may still be sent.
const ALLOWED_MS: u64 = 3_000;
const DEADLY_PART: PartKey = 1;
/// Key of the first of the parts that come first in prompts, and of those that come second.
const FIRST_PARTS: PartKey = 100;
const SECOND_PARTS: PartKey = 10_000;

/// What a replay draws from its seed.
struct Scenario {
    hosts: usize,
    engines: usize,
    first_parts: u64,
    second_parts: u64,
    teams: u32,
    requests_per_s: f64,
    /// Share of the requests that have the deadly part; 0 for none.
    deadly_share: f64,
    /// Whether the deadly part is the last shared one or the one before it.
    is_deadly_last: bool,
    /// Engines that are lost at once for another reason, and how often.
    lost_engines: usize,
    losses: u64,
    /// Time between the losses of two engines.
    stagger_ms: u64,
    /// Whether every host but two loses its memory after the sixth second.
    restarts: bool,
}

#[derive(Clone)]
struct Request {
    parts: Vec<PartKey>,
    team: TeamHash,
    host: usize,
    begins_at_ms: u64,
    repeats_left: u32,
}

#[derive(Default)]
struct Outcome {
    crashes: u64,
    /// Requests with the deadly part that were sent after the allowed time.
    late_sends: u64,
    sound_requests: u64,
    sound_refusals: u64,
    /// Refusals because of a part that many sound requests have.
    refusals_of_first_parts: u64,
}

struct Fleet {
    scenario: Scenario,
    random: StdRng,
    start: Instant,
    hosts: Vec<PartBlocklist>,
    /// Requests that have not begun, by engine.
    engines: Vec<Vec<Request>>,
    down_until_ms: Vec<u64>,
    /// Knowledge on its way to all hosts.
    messages: Vec<(u64, Vec<(PartKey, PartRecord)>)>,
    deadly_crashes_ms: Vec<u64>,
    outcome: Outcome,
}

impl Scenario {
    fn draw(random: &mut StdRng) -> Scenario {
        let hosts = random.random_range(2..25);
        let engines = random.random_range(6..60);
        Scenario {
            hosts,
            engines,
            first_parts: random.random_range(1..5),
            second_parts: random.random_range(5..100),
            teams: random.random_range(1..12),
            requests_per_s: random.random_range(20.0..120.0),
            deadly_share: if random.random_bool(0.85) {
                random.random_range(0.01..0.3)
            } else {
                0.0
            },
            is_deadly_last: random.random_bool(0.8),
            lost_engines: if random.random_bool(0.4) {
                random.random_range(1..=engines)
            } else {
                0
            },
            losses: random.random_range(1..5),
            stagger_ms: if random.random_bool(0.5) { 0 } else { 10 * random.random_range(1..30) },
            restarts: random.random_bool(0.25),
        }
    }
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut random = StdRng::seed_from_u64(seed);
        let scenario = Scenario::draw(&mut random);
        Fleet {
            random,
            start: Instant::now(),
            hosts: (0..scenario.hosts).map(|_| PartBlocklist::default()).collect(),
            engines: vec![Vec::new(); scenario.engines],
            down_until_ms: vec![0; scenario.engines],
            messages: Vec::new(),
            deadly_crashes_ms: Vec::new(),
            outcome: Outcome::default(),
            scenario,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn run(mut self) -> Outcome {
        for now_ms in (0..LENGTH_MS).step_by(TICK_MS as usize) {
            let arrivals = self.scenario.requests_per_s * TICK_MS as f64 / 1_000.0;
            if self.random.random_bool(arrivals.min(1.0)) {
                let request = self.draw_request(now_ms);
                self.arrive(request, now_ms);
            }
            self.begin_responses(now_ms);
            self.lose_engines(now_ms);
            self.deliver_messages(now_ms);
            if now_ms.is_multiple_of(GOSSIP_INTERVAL_MS) {
                self.gossip(now_ms);
            }
            if self.scenario.restarts && now_ms == 6_000 {
                for host in self.hosts.iter_mut().skip(2) {
                    *host = PartBlocklist::default();
                }
            }
        }
        self.outcome
    }

    fn draw_request(&mut self, now_ms: u64) -> Request {
        let Scenario { first_parts, second_parts, teams, hosts, deadly_share, .. } = self.scenario;
        let second = SECOND_PARTS + self.random.random_range(0..second_parts);
        let mut parts = vec![FIRST_PARTS + self.random.random_range(0..first_parts), second];
        if now_ms >= DEADLY_FROM_MS && self.random.random_bool(deadly_share) {
            match self.scenario.is_deadly_last {
                true => parts.push(DEADLY_PART),
                false => parts[1] = DEADLY_PART,
            }
        }
        Request {
            parts,
            team: self.random.random_range(0..teams),
            host: self.random.random_range(0..hosts),
            begins_at_ms: 0,
            repeats_left: 1,
        }
    }

    /// A request arrives at its host, which refuses it or sends it.
    fn arrive(&mut self, request: Request, now_ms: u64) {
        let now = self.at(now_ms);
        let fleet_hosts = self.scenario.hosts as u32;
        let host = request.host;
        let admitted =
            self.hosts[host].admit(&request.parts, request.team, host as u64, fleet_hosts, now);
        let is_deadly = request.parts.contains(&DEADLY_PART);
        self.outcome.sound_requests += u64::from(!is_deadly);
        match admitted {
            Ok(_) => self.send(request, now_ms),
            Err(blocked) if !is_deadly => {
                self.outcome.sound_refusals += 1;
                let is_first = (FIRST_PARTS..SECOND_PARTS).contains(&blocked.part);
                self.outcome.refusals_of_first_parts += u64::from(is_first);
            }
            Err(_) => {}
        }
    }

    fn send(&mut self, mut request: Request, now_ms: u64) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.down_until_ms[*engine] <= now_ms)
            .collect();
        if up.is_empty() {
            return;
        }
        if request.parts.contains(&DEADLY_PART)
            && self.deadly_crashes_ms.get(4).is_some_and(|fifth| now_ms > fifth + ALLOWED_MS)
        {
            self.outcome.late_sends += 1;
        }
        request.begins_at_ms = now_ms + self.random.random_range(30..700);
        let engine = up[self.random.random_range(0..up.len())];
        self.engines[engine].push(request);
    }

    fn begin_responses(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        for engine in 0..self.engines.len() {
            let begun: Vec<Request> = self.engines[engine]
                .extract_if(.., |request| request.begins_at_ms <= now_ms)
                .collect();
            let mut survivors = begun.into_iter();
            for request in survivors.by_ref() {
                if !request.parts.contains(&DEADLY_PART) {
                    self.hosts[request.host].record_response(&request.parts, now);
                    continue;
                }
                self.deadly_crashes_ms.push(now_ms);
                self.engines[engine].push(request);
                break;
            }
            let rest: Vec<Request> = survivors.collect();
            let has_crashed = self.deadly_crashes_ms.last() == Some(&now_ms)
                && self.engines[engine].iter().any(|request| request.begins_at_ms <= now_ms);
            self.engines[engine].extend(rest);
            if has_crashed {
                self.crash(engine, now_ms);
            }
        }
    }

    /// An engine ends with all that it holds; the hosts repeat their requests.
    fn crash(&mut self, engine: usize, now_ms: u64) {
        self.outcome.crashes += 1;
        self.down_until_ms[engine] = now_ms + self.random.random_range(1_500..4_000);
        let now = self.at(now_ms);
        for mut request in std::mem::take(&mut self.engines[engine]) {
            let crash = Crash { endpoint: engine as u32, team: request.team, at: now };
            let host = &mut self.hosts[request.host];
            let may_repeat =
                request.repeats_left > 0 && host.recheck(&request.parts, request.team, now).is_ok();
            host.record_crash(&request.parts, crash, now);
            if may_repeat {
                request.repeats_left -= 1;
                self.send(request, now_ms);
            }
        }
    }

    /// Engines are lost for a reason that no request has.
    fn lose_engines(&mut self, now_ms: u64) {
        let Scenario { lost_engines, losses, engines, stagger_ms, .. } = self.scenario;
        let interval_ms = LENGTH_MS / (losses + 1) / TICK_MS * TICK_MS;
        let (loss, since_ms) = (now_ms / interval_ms, now_ms % interval_ms);
        for number in 0..lost_engines {
            let engine = (loss as usize * 7 + number) % engines;
            let is_lost_now = loss > 0 && since_ms == number as u64 * stagger_ms;
            if is_lost_now && self.down_until_ms[engine] <= now_ms {
                self.crash(engine, now_ms);
            }
        }
    }

    /// Each host decides, and sends what it knows to all others; a tenth of the messages is lost.
    fn gossip(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        for host in &mut self.hosts {
            host.decide(now);
            let records: Vec<(PartKey, PartRecord)> =
                host.records().iter().map(|(part, record)| (part, record.clone())).collect();
            if !records.is_empty() && !self.random.random_bool(0.1) {
                let delay_ms = self.random.random_range(50..600);
                self.messages.push((now_ms + delay_ms, records));
            }
        }
    }

    fn deliver_messages(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let due: Vec<_> = self.messages.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
        for (_, records) in due {
            for host in &mut self.hosts {
                for (part, record) in &records {
                    host.merge(*part, record, now);
                }
            }
        }
    }
}

/// Guards against parts that go on crashing engines, and against sound parts that are refused:
/// counts both over many drawn crashes.
#[test]
fn deadly_parts_are_blocked_and_sound_ones_are_not() {
    let seeds =
        env::var("REPLAY_SEEDS").map_or(DEFAULT_SEEDS, |text| text.parse().expect("a number"));
    let mut total = Outcome::default();
    for seed in 0..seeds {
        let outcome = Fleet::new(seed).run();
        assert!(outcome.late_sends <= 3, "seed {seed}: {} late sends", outcome.late_sends);
        total.crashes += outcome.crashes;
        total.late_sends += outcome.late_sends;
        total.sound_requests += outcome.sound_requests;
        total.sound_refusals += outcome.sound_refusals;
        total.refusals_of_first_parts += outcome.refusals_of_first_parts;
    }
    println!(
        "seeds={seeds} crashes={} late_sends={} sound_requests={} sound_refusals={} of_first_parts={}",
        total.crashes,
        total.late_sends,
        total.sound_requests,
        total.sound_refusals,
        total.refusals_of_first_parts
    );
    assert!(total.crashes > 10 * seeds, "{} crashes", total.crashes);
    assert!(
        total.sound_refusals * 1_000 <= total.sound_requests,
        "{} refused",
        total.sound_refusals
    );
}
