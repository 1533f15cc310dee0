use {
    super::owner::{Owner, TestAuthority, acquire, topology},
    mango_wire::{
        peer::{AcquireMode, Grant, LoadEntry},
        settings::AdmissionSettings,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const ENGINES: u32 = 12;
const STEP_MS: u64 = 5;

/// Simulation of owners of one engine each, which exchange loads with a delay.
pub(super) struct Fleet {
    owners: Vec<Owner>,
    authority: TestAuthority,
    rng: SmallRng,
    now_ms: u64,
    /// Messages in transit: delivery time, receiver and reports.
    in_transit: VecDeque<(u64, usize, Vec<LoadEntry>)>,
    /// Grants by the time at which they are released.
    running: BTreeMap<u64, Vec<Grant>>,
    in_flight: Vec<u32>,
    /// Times and total requests in flight of the last second.
    totals: VecDeque<(u64, u32)>,
    pub(super) grants: u64,
    /// Number of grants that put an engine above its cap.
    pub(super) over_cap: u64,
}

impl Fleet {
    pub(super) fn new(seed: u64) -> Self {
        let authority = TestAuthority::new();
        let topology = topology(ENGINES, 16);
        let owner = |engine| {
            let settings = AdmissionSettings::default();
            let authority = TestAuthority { owned_engine: Some(engine), ..authority.clone() };
            Owner::with_authority(&topology, settings, authority)
        };
        Self {
            owners: (1..=ENGINES).map(owner).collect(),
            authority,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            in_transit: VecDeque::new(),
            running: BTreeMap::new(),
            in_flight: vec![0; ENGINES as usize],
            totals: VecDeque::new(),
            grants: 0,
            over_cap: 0,
        }
    }

    /// Simulates `ms` milliseconds with `arrivals_per_s` requests per second that
    /// hold their permits for `hold_ms` on average. A `skew` above 1 sends more of
    /// them to the first engines.
    pub(super) fn run(&mut self, ms: u64, arrivals_per_s: f64, hold_ms: f64, skew: f64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            *self.authority.clock.lock() += Duration::from_millis(STEP_MS);
            self.release_finished();
            self.exchange_loads();
            let mut due = arrivals_per_s * STEP_MS as f64 / 1000.0;
            while due >= 1.0 || self.rng.random::<f64>() < due {
                self.start_request(hold_ms, skew);
                due -= 1.0;
            }
        }
    }

    fn release_finished(&mut self) {
        while let Some(entry) = self.running.first_entry().filter(|e| *e.key() <= self.now_ms) {
            for grant in entry.remove() {
                self.owners[grant.endpoint as usize - 1].release(&grant);
                self.in_flight[grant.endpoint as usize - 1] -= 1;
            }
        }
        self.record_total();
    }

    fn record_total(&mut self) {
        self.totals.push_back((self.now_ms, self.in_flight.iter().sum()));
        while self.totals.front().is_some_and(|(at, _)| *at + 1000 < self.now_ms) {
            self.totals.pop_front();
        }
    }

    fn exchange_loads(&mut self) {
        for (from, owner) in self.owners.iter().enumerate() {
            // owners report at different times of each 200 ms
            if (self.now_ms + from as u64 * 15) % 200 >= STEP_MS {
                continue;
            }
            let loads = owner.admission.load_reports();
            for to in (0..self.owners.len()).filter(|to| *to != from) {
                let at = self.now_ms + self.rng.random_range(5..100);
                self.in_transit.push_back((at, to, loads.clone()));
            }
        }
        let now_ms = self.now_ms;
        let now = self.owners[0].now();
        self.in_transit.retain_mut(|(at, to, loads)| {
            if *at > now_ms {
                return true;
            }
            // the reports keep the age 0 that they had at the sender
            self.owners[*to].load_table.merge_at(loads, now);
            false
        });
    }

    fn start_request(&mut self, hold_ms: f64, skew: f64) {
        let first = (self.rng.random::<f64>().powf(skew) * f64::from(ENGINES)) as u32;
        for at in [first, self.rng.random_range(0..ENGINES), self.rng.random_range(0..ENGINES)] {
            let owner = &self.owners[at as usize];
            if let Ok(grant) = owner.call(acquire(at + 1, AcquireMode::IfRoom)) {
                owner.admission.progress(&super::owner::progress(&grant, 0, 0, 0));
                self.record_start(grant, hold_ms);
                return;
            }
        }
    }

    fn record_start(&mut self, grant: Grant, hold_ms: f64) {
        self.grants += 1;
        let engine = grant.endpoint as usize - 1;
        self.in_flight[engine] += 1;
        self.record_total();
        // the peak includes this start, and the formula for the cap adds 1 to it
        let peak = self.totals.iter().map(|(_, total)| *total).max().unwrap_or(0);
        let cap = (1.25 / f64::from(ENGINES) * f64::from(peak + 1) - 1e-9).ceil().max(1.0);
        self.over_cap += u64::from(f64::from(self.in_flight[engine]) > cap);
        let hold = -hold_ms * (1.0 - self.rng.random::<f64>()).ln();
        self.running.entry(self.now_ms + hold as u64).or_default().push(grant);
    }
}
