use {
    super::length_stats::LengthStats,
    lru::LruCache,
    mango_wire::{TeamKey, WorkKey},
    parking_lot::Mutex,
    std::num::NonZeroUsize,
};

const SHARDS: usize = 16;
/// Pairs of team and kind of work in one shard. All 32,768 pairs take about 3 MB; a
/// host serves far fewer pairs at a time than 24,000 teams have.
const PAIRS_PER_SHARD: NonZeroUsize = NonZeroUsize::new(2048).unwrap();

/// Learned lengths by team and kind of work. The least recently used pair is
/// evicted; it starts again from the configured length.
pub(crate) struct LengthModel {
    shards: Vec<Mutex<LruCache<(TeamKey, WorkKey), LengthStats>>>,
}

impl LengthModel {
    pub(crate) fn new() -> Self {
        let shard = |_| Mutex::new(LruCache::sparse(PAIRS_PER_SHARD));
        Self { shards: (0..SHARDS).map(shard).collect() }
    }

    /// Learned length statistics; `expected_tokens` if nothing was learned.
    pub(crate) fn stats(&self, team: TeamKey, work: WorkKey, expected_tokens: u32) -> LengthStats {
        let mut shard = self.shard(team, work).lock();
        shard.get(&(team, work)).copied().unwrap_or_else(|| LengthStats::new(expected_tokens))
    }

    /// Records the length of a finished request.
    pub(crate) fn observe(&self, team: TeamKey, work: WorkKey, tokens: u32) {
        let mut shard = self.shard(team, work).lock();
        shard.get_or_insert_mut((team, work), || LengthStats::new(tokens)).add(tokens);
    }

    /// Records the length that a running request has reached.
    pub(crate) fn observe_running(&self, team: TeamKey, work: WorkKey, tokens: u32) {
        let mut shard = self.shard(team, work).lock();
        shard.get_or_insert_mut((team, work), || LengthStats::new(tokens)).add_running(tokens);
    }

    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    fn shard(
        &self,
        team: TeamKey,
        work: WorkKey,
    ) -> &Mutex<LruCache<(TeamKey, WorkKey), LengthStats>> {
        // both keys are hashes already
        &self.shards[(team ^ work) as usize % SHARDS]
    }
}
