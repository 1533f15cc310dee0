use {
    super::{load::Load, load_cell::LoadCell, pool_view::PoolView},
    mango_wire::{EndpointKey, peer::LoadEntry},
    parking_lot::RwLock,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, Instant},
    },
};

/// Loads of the region's engines by gossip, and speeds seen by this host.
#[derive(Debug)]
pub(crate) struct LoadTable {
    ttl: Duration,
    smoothing: f64,
    cells: RwLock<HashMap<EndpointKey, Arc<LoadCell>>>,
    /// Requests started on engines of this host. `PoolView::load_for` reads the counts one after
    /// the other, so it subtracts the starts made meanwhile.
    local_starts: Arc<AtomicU64>,
}

impl LoadTable {
    /// Creates an empty table. `ttl` is the age after which a count is not used;
    /// `smoothing` is the weight of a new sample of latency.
    pub(crate) fn new(ttl: Duration, smoothing: f64) -> Self {
        Self { ttl, smoothing, cells: RwLock::default(), local_starts: Arc::default() }
    }

    pub(crate) fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Number of engines.
    pub(crate) fn len(&self) -> usize {
        self.cells.read().len()
    }

    pub(crate) fn local_starts(&self) -> Arc<AtomicU64> {
        self.local_starts.clone()
    }

    /// Cell of an engine; created when missing.
    pub(crate) fn cell(&self, endpoint: EndpointKey) -> Arc<LoadCell> {
        if let Some(cell) = self.cells.read().get(&endpoint) {
            return cell.clone();
        }
        let mut cells = self.cells.write();
        cells.entry(endpoint).or_insert_with(|| Arc::new(LoadCell::new(endpoint))).clone()
    }

    /// Forgets engines that are not configured any more.
    pub(crate) fn retain(&self, endpoints: &HashSet<EndpointKey>) {
        self.cells.write().retain(|key, _| endpoints.contains(key));
    }

    /// Takes the reports that are newer than the present ones and returns them for
    /// forwarding. Reports of engines that are not configured here are dropped.
    pub(crate) fn merge(&self, entries: &[LoadEntry]) -> Vec<LoadEntry> {
        self.merge_at(entries, Instant::now())
    }

    pub(crate) fn merge_at(&self, entries: &[LoadEntry], now: Instant) -> Vec<LoadEntry> {
        let cells = self.cells.read();
        let is_news = |entry: &&LoadEntry| {
            let load = Load::from_entry(entry, self.ttl, now);
            cells.get(&entry.endpoint).is_some_and(|cell| cell.merge(load))
        };
        entries.iter().filter(is_news).cloned().collect()
    }

    /// Load of an engine, unless it is unknown or too old.
    pub(crate) fn load(&self, endpoint: EndpointKey) -> Option<Load> {
        self.cells.read().get(&endpoint).and_then(|cell| cell.fresh(Instant::now()))
    }

    /// Requests in flight on a pool's engines; unknown and too old counts are 0.
    pub(crate) fn pool_total(&self, pool: &PoolView) -> u32 {
        pool.total(Instant::now())
    }

    /// All loads with their present ages, for a host that has just joined.
    pub(crate) fn entries(&self) -> Vec<LoadEntry> {
        let now = Instant::now();
        let cells = self.cells.read();
        cells.values().filter_map(|c| Some(c.fresh(now)?.to_entry(c.key, now))).collect()
    }

    /// Adds the answer times of a request that this host sent. They give the pool's
    /// median; for engines that this host owns, the owner's own measurements count.
    pub(crate) fn observe(&self, endpoint: EndpointKey, first_token_ms: u32, gap_us: u32) {
        let Some(cell) = self.cells.read().get(&endpoint).cloned() else { return };
        if cell.last().is_some_and(|load| load.is_local) {
            return;
        }
        let now = Instant::now();
        cell.observe(f64::from(first_token_ms), f64::from(gap_us), self.smoothing, now);
    }
}
