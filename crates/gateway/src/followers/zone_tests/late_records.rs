use {
    super::{store::Store, zone::RECORD_LIFETIME},
    rand::{RngExt, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Share of the records that the store executes late.
const LATE_SHARE: f64 = 0.2;
/// How late it executes them.
const LATE_TIME: std::ops::Range<Duration> =
    Duration::from_millis(1_000)..Duration::from_millis(6_000);

/// Records whose answer was lost, and which the store executes later.
#[derive(Default)]
pub(super) struct LateRecords {
    pending: Vec<LateRecord>,
    /// When late records of endpoints that do not run any more lapse.
    lapse_times: BTreeMap<String, Instant>,
}

struct LateRecord {
    at: Instant,
    id: String,
    value: String,
}

impl LateRecords {
    /// Whether the store executes this record later.
    pub(super) fn delay(&mut self, id: &str, value: &str, now: Instant, rng: &mut StdRng) -> bool {
        let is_late = rng.random_bool(LATE_SHARE);
        if is_late {
            let at = now + rng.random_range(LATE_TIME);
            self.pending.push(LateRecord { at, id: id.to_owned(), value: value.to_owned() });
        }
        is_late
    }

    /// Executes what is due, and removes the records of endpoints that do not run once they have lapsed.
    pub(super) fn execute(
        &mut self,
        store: &mut Store,
        now: Instant,
        is_running: impl Fn(&str) -> bool,
    ) {
        if store.down_since.is_some() {
            // the store does not execute calls from before an outage
            self.pending.clear();
            return;
        }
        for LateRecord { id, value, .. } in self.pending.extract_if(.., |late| late.at <= now) {
            store.write(&id, &value);
            if !is_running(&id) {
                self.lapse_times.insert(id, now + RECORD_LIFETIME);
            }
        }
        for (id, _) in self.lapse_times.extract_if(.., |_, at| *at <= now) {
            if !is_running(&id) && store.newest.contains_key(id.as_str()) {
                store.write(&id, "");
            }
        }
    }

    /// Time after which all records are executed and have lapsed.
    pub(super) fn settling_time() -> Duration {
        LATE_TIME.end + RECORD_LIFETIME
    }
}
