use {lru::LruCache, std::collections::HashMap};

/// Bounds that the reference shares with the fleet.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) slots: usize,
    pub(crate) cap_multiple: f64,
    pub(crate) cache_tokens: u64,
}

/// What happened in a run, in the order of time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// An engine joins or starts again, with an empty cache.
    Start(usize),
    Crash(usize),
    /// An engine takes no new work.
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
    is_open: bool,
    in_flight: usize,
    starts: u32,
    cached_tokens: u64,
    chats: LruCache<u32, u32>,
}

/// One router that knows which engines are up, what they have cached and what they
/// carry. It sends a chat to the engine with the longest prefix if that has room.
pub(crate) struct Reference {
    bounds: Bounds,
    engines: Vec<Engine>,
    /// Engine of a running turn, with the number of the engine's starts.
    running: HashMap<u32, (usize, u32)>,
    reused_tokens: u64,
}

impl Reference {
    pub(crate) fn new(engines: usize, joining: usize, bounds: Bounds) -> Self {
        let engine = |index| Engine {
            is_open: index < engines,
            in_flight: 0,
            starts: 0,
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
                self.engines[index].is_open = true;
            }
            Event::Crash(index) => {
                self.engines[index].restart();
                self.engines[index].is_open = false;
            }
            Event::Leave(index) => self.engines[index].is_open = false,
            Event::Begin { chat, prompt_tokens, is_warm_up } => {
                let reused = self.begin(chat, prompt_tokens);
                self.reused_tokens += if is_warm_up { 0 } else { u64::from(reused) };
            }
            Event::End { chat, cached_tokens } => self.end(chat, cached_tokens),
        }
    }

    /// Returns the tokens that the turn finds in the cache.
    fn begin(&mut self, chat: u32, prompt_tokens: u32) -> u32 {
        let open = self.engines.iter().filter(|e| e.is_open).count();
        let total: usize = self.engines.iter().map(|e| e.in_flight).sum();
        let share = self.bounds.cap_multiple * (total + 1) as f64 / open.max(1) as f64;
        let cap = (share.ceil() as usize).clamp(1, self.bounds.slots);
        let ranked = |(index, engine): (usize, &Engine)| {
            let cached = engine.chats.peek(&chat).copied().unwrap_or(0);
            let has_room = engine.is_open && engine.in_flight < cap;
            has_room.then_some((cached, std::cmp::Reverse(engine.in_flight), index))
        };
        let best = self.engines.iter().enumerate().filter_map(ranked).max();
        // below the cap there is always room, since the cap is above the mean load
        let Some((cached, _, index)) = best else { return 0 };
        let engine = &mut self.engines[index];
        engine.chats.promote(&chat);
        engine.in_flight += 1;
        self.running.insert(chat, (index, engine.starts));
        cached.min(prompt_tokens)
    }

    fn end(&mut self, chat: u32, cached_tokens: u32) {
        let Some((index, starts)) = self.running.remove(&chat) else { return };
        let engine = &mut self.engines[index];
        if engine.starts == starts {
            engine.in_flight -= 1;
            engine.store(chat, cached_tokens, self.bounds.cache_tokens);
        }
    }
}

impl Engine {
    /// Forgets the cache and the running turns.
    fn restart(&mut self) {
        self.starts += 1;
        self.in_flight = 0;
        self.cached_tokens = 0;
        self.chats.clear();
    }

    fn store(&mut self, chat: u32, tokens: u32, capacity: u64) {
        let old = self.chats.put(chat, tokens).unwrap_or(0);
        self.cached_tokens = self.cached_tokens - u64::from(old) + u64::from(tokens);
        while self.cached_tokens > capacity {
            let Some((_, evicted)) = self.chats.pop_lru() else { return };
            self.cached_tokens -= u64::from(evicted);
        }
    }
}
