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

/// Loads of the region's engines, received by gossip, and latencies that this host measured.
#[derive(Debug)]
pub(crate) struct LoadTable {
    ttl: Duration,
    smoothing: f64,
    cells: RwLock<HashMap<EndpointKey, Arc<LoadCell>>>,
    /// Number of requests started so far on engines that this host owns.
    /// `PoolView::load_for` reads the counts of the engines one after the other and
    /// subtracts the requests that started in between.
    local_starts: Arc<AtomicU64>,
}

impl LoadTable {
    /// Creates an empty table. Counts older than `ttl` are not used; `smoothing` is the
    /// weight of a new sample in the moving averages of the latencies.
    pub(crate) fn new(ttl: Duration, smoothing: f64) -> Self {
        Self { ttl, smoothing, cells: RwLock::default(), local_starts: Arc::default() }
    }

    pub(crate) fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Number of engines in the table.
    pub(crate) fn len(&self) -> usize {
        self.cells.read().len()
    }

    pub(crate) fn local_starts(&self) -> Arc<AtomicU64> {
        self.local_starts.clone()
    }

    /// Returns the cell of an engine and creates it if it does not exist.
    pub(crate) fn cell(&self, endpoint: EndpointKey) -> Arc<LoadCell> {
        if let Some(cell) = self.cells.read().get(&endpoint) {
            return cell.clone();
        }
        let mut cells = self.cells.write();
        cells.entry(endpoint).or_insert_with(|| Arc::new(LoadCell::new(endpoint))).clone()
    }

    /// Removes the engines that are not in `endpoints`.
    pub(crate) fn retain(&self, endpoints: &HashSet<EndpointKey>) {
        self.cells.write().retain(|key, _| endpoints.contains(key));
    }

    /// Stores the reports that are newer than the stored ones and returns them for
    /// forwarding. Reports of engines that are not in the table are dropped.
    pub(crate) fn merge(&self, entries: &[LoadEntry]) -> Vec<LoadEntry> {
        self.merge_at(entries, Instant::now())
    }

    pub(crate) fn merge_at(&self, entries: &[LoadEntry], now: Instant) -> Vec<LoadEntry> {
        let cells = self.cells.read();
        let is_newer = |entry: &&LoadEntry| {
            let load = Load::from_entry(entry, self.ttl, now);
            cells.get(&entry.endpoint).is_some_and(|cell| cell.merge(load))
        };
        entries.iter().filter(is_newer).cloned().collect()
    }

    /// Latest load of an engine, unless it is unknown or too old.
    pub(crate) fn load(&self, endpoint: EndpointKey) -> Option<Load> {
        self.cells.read().get(&endpoint).and_then(|cell| cell.fresh(Instant::now()))
    }

    /// Requests in flight on a pool's engines. An unknown or too old count is taken as 0.
    pub(crate) fn pool_total(&self, pool: &PoolView) -> u32 {
        pool.total(Instant::now())
    }

    /// All loads that are not too old, with their current ages, for a host that has just
    /// joined.
    pub(crate) fn entries(&self) -> Vec<LoadEntry> {
        let now = Instant::now();
        let cells = self.cells.read();
        cells.values().filter_map(|c| Some(c.fresh(now)?.to_entry(c.key, now))).collect()
    }

    /// Adds the latencies of a request that this host sent, from which the pool's median is
    /// computed. Ignored for engines that this host owns: their owner sets measured values
    /// with `LoadCell::set_latency`.
    pub(crate) fn observe(&self, endpoint: EndpointKey, first_token_ms: u32, gap_us: u32) {
        let Some(cell) = self.cells.read().get(&endpoint).cloned() else { return };
        if cell.last().is_some_and(|load| load.is_local) {
            return;
        }
        let now = Instant::now();
        cell.observe(f64::from(first_token_ms), f64::from(gap_us), self.smoothing, now);
    }
}
