use {lru::LruCache, std::collections::HashMap};

/// Limits of load and cache, the same as in the measured fleet.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    /// Concurrent requests of one engine.
    pub(crate) slots: usize,
    /// Cap on the load of one engine, as a multiple of the mean load.
    pub(crate) cap_multiple: f64,
    /// Cache capacity of one engine.
    pub(crate) cache_tokens: u64,
}

/// Event of a run. The reference replays the events of a run in the order of time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// An engine joins or restarts, with an empty cache.
    Start(usize),
    Crash(usize),
    /// An engine stops accepting new work.
    Leave(usize),
    Begin {
        chat: u32,
        prompt_tokens: u32,
        is_warm_up: bool,
    },
    End {
        chat: u32,
        cached_tokens: u32,
    },
}

struct Engine {
    accepts_work: bool,
    in_flight: usize,
    /// Number of restarts and crashes.
    generation: u32,
    /// Sum of the cached tokens of all chats.
    cached_tokens: u64,
    /// Cached tokens of each chat, evicted in LRU order.
    chats: LruCache<u32, u32>,
}

/// Model of a single router that always knows which engines are up, their caches and
/// their load. It sends each turn to the engine below the load cap that has the longest
/// cached prefix of the chat.
pub(crate) struct Reference {
    bounds: Bounds,
    engines: Vec<Engine>,
    /// Engine of each running turn and the engine's generation at its begin, by chat.
    running: HashMap<u32, (usize, u32)>,
    reused_tokens: u64,
}

impl Reference {
    pub(crate) fn new(engines: usize, joining: usize, bounds: Bounds) -> Self {
        let engine = |index| Engine {
            accepts_work: index < engines,
            in_flight: 0,
            generation: 0,
            cached_tokens: 0,
            chats: LruCache::unbounded(),
        };
        let engines = (0..engines + joining).map(engine).collect();
        Self { bounds, engines, running: HashMap::new(), reused_tokens: 0 }
    }

    pub(crate) fn reused_tokens(&self) -> u64 {
        self.reused_tokens
    }

    pub(crate) fn apply(&mut self, event: Event) {
        match event {
            Event::Start(index) => {
                self.engines[index].restart();
                self.engines[index].accepts_work = true;
            }
            Event::Crash(index) => {
                self.engines[index].restart();
                self.engines[index].accepts_work = false;
            }
            Event::Leave(index) => self.engines[index].accepts_work = false,
            Event::Begin { chat, prompt_tokens, is_warm_up } => {
                let reused = self.begin(chat, prompt_tokens);
                self.reused_tokens += if is_warm_up { 0 } else { u64::from(reused) };
            }
            Event::End { chat, cached_tokens } => self.end(chat, cached_tokens),
        }
    }

    /// Begins a turn and returns the tokens that it finds in the engine's cache.
    fn begin(&mut self, chat: u32, prompt_tokens: u32) -> u32 {
        let accepting = self.engines.iter().filter(|e| e.accepts_work).count();
        let total: usize = self.engines.iter().map(|e| e.in_flight).sum();
        let share = self.bounds.cap_multiple * (total + 1) as f64 / accepting.max(1) as f64;
        let cap = (share.ceil() as usize).clamp(1, self.bounds.slots);
        let ranked = |(index, engine): (usize, &Engine)| {
            let cached = engine.chats.peek(&chat).copied().unwrap_or(0);
            let has_room = engine.accepts_work && engine.in_flight < cap;
            has_room.then_some((cached, std::cmp::Reverse(engine.in_flight), index))
        };
        let best = self.engines.iter().enumerate().filter_map(ranked).max();
        // some engine is always below the cap, since the cap is above the mean load
        let Some((cached, _, index)) = best else { return 0 };
        let engine = &mut self.engines[index];
        engine.chats.promote(&chat);
        engine.in_flight += 1;
        self.running.insert(chat, (index, engine.generation));
        cached.min(prompt_tokens)
    }

    fn end(&mut self, chat: u32, cached_tokens: u32) {
        let Some((index, generation)) = self.running.remove(&chat) else { return };
        let engine = &mut self.engines[index];
        if engine.generation == generation {
            engine.in_flight -= 1;
            engine.store(chat, cached_tokens, self.bounds.cache_tokens);
        }
    }
}

impl Engine {
    /// Drops the cache and the running turns.
    fn restart(&mut self) {
        self.generation += 1;
        self.in_flight = 0;
        self.cached_tokens = 0;
        self.chats.clear();
    }

    /// Caches the tokens of a chat and evicts the least recently used chats.
    fn store(&mut self, chat: u32, tokens: u32, capacity: u64) {
        let old = self.chats.put(chat, tokens).unwrap_or(0);
        self.cached_tokens = self.cached_tokens - u64::from(old) + u64::from(tokens);
        while self.cached_tokens > capacity {
            let Some((_, evicted)) = self.chats.pop_lru() else { return };
            self.cached_tokens -= u64::from(evicted);
        }
    }
}
