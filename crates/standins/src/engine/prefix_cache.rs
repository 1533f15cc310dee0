use {crate::engine::CacheEventLog, lru::LruCache, mango_wire::platform::CacheEvent};

/// Number of cached prompt and answer tokens by chat. The least recently used chats are
/// evicted while the total exceeds the capacity.
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    total_tokens: u64,
    // number of cached tokens, and sequence number of the event that stored them
    chats: LruCache<String, (u32, u64)>,
    pub(crate) events: CacheEventLog,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64, events: CacheEventLog) -> Self {
        Self { capacity_tokens, total_tokens: 0, chats: LruCache::unbounded(), events }
    }

    /// Number of cached tokens of a chat, which becomes the most recently used one.
    pub(crate) fn touch(&mut self, chat: &str) -> u32 {
        self.chats.get(chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Number of cached tokens of a chat, without an effect on the order of eviction.
    pub(crate) fn peek(&self, chat: &str) -> Option<u32> {
        self.chats.peek(chat).map(|(tokens, _)| *tokens)
    }

    /// Stores the prefix of a chat, unless it is larger than the whole cache.
    pub(crate) fn put(&mut self, chat: &str, tokens: u32) {
        if tokens == 0 || u64::from(tokens) > self.capacity_tokens {
            return;
        }
        let sequence = self.events.next_sequence();
        if let Some((old, _)) = self.chats.put(chat.to_owned(), (tokens, sequence)) {
            self.total_tokens -= u64::from(old);
        }
        self.total_tokens += u64::from(tokens);
        self.events.push(chat, tokens);
        while self.total_tokens > self.capacity_tokens {
            let Some((evicted, (tokens, _))) = self.chats.pop_lru() else { break };
            self.total_tokens -= u64::from(tokens);
            self.events.push(&evicted, 0);
        }
    }

    /// All chats with the sequence number of the event that stored each.
    pub(crate) fn listing(&self) -> Vec<CacheEvent> {
        let chats = self.chats.iter();
        chats
            .map(|(chat, (tokens, sequence))| CacheEvent {
                cached_tokens: *tokens,
                chat: chat.clone(),
                sequence: *sequence,
            })
            .collect()
    }
}
