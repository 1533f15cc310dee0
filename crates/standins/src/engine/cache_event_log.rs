use {
    mango_wire::platform::CacheEvent,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const MAX_EVENTS: usize = 64 * 1024;

/// Cache events, which become visible after a delay and some of which are lost.
pub(crate) struct CacheEventLog {
    next_sequence: u64,
    // time and sequence of each event; a lost event is `None`, so that readers see a gap
    // in the sequence
    events: VecDeque<(Instant, u64, Option<CacheEvent>)>,
    delay: Duration,
    // probability of the loss of an event
    loss: f64,
    random: SmallRng,
}

impl CacheEventLog {
    pub(crate) fn new(delay: Duration, loss: f64, seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        Self { next_sequence: 1, events: VecDeque::new(), delay, loss, random }
    }

    /// Sequence number of the next event.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    pub(crate) fn push(&mut self, chat: &str, cached_tokens: u32) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let is_lost = self.random.random_bool(self.loss);
        let event = CacheEvent { cached_tokens, chat: chat.to_owned(), sequence };
        self.events.push_back((Instant::now(), sequence, (!is_lost).then_some(event)));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Visible events from a sequence number on, and the sequence number after the last
    /// visible one.
    pub(crate) fn since(&self, sequence: u64) -> (Vec<CacheEvent>, u64) {
        let now = Instant::now();
        let visible = self.events.partition_point(|(at, ..)| *at + self.delay <= now);
        let next = self.events.get(visible).map_or(self.next_sequence, |(_, s, _)| *s);
        let start = self.events.partition_point(|(_, s, _)| *s < sequence).min(visible);
        let events = self.events.range(start..visible).filter_map(|(.., event)| event.clone());
        (events.collect(), next)
    }
}
