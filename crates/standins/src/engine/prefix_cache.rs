use {crate::engine::CacheEventLog, lru::LruCache, mango_wire::platform::CacheEvent};

/// Cached prefix lengths by chat, evicted in LRU order above a total.
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    total_tokens: u64,
    chats: LruCache<String, (u32, u64)>,
    pub(crate) events: CacheEventLog,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64, events: CacheEventLog) -> Self {
        Self { capacity_tokens, total_tokens: 0, chats: LruCache::unbounded(), events }
    }

    /// Cached tokens of a chat; counts as a use.
    pub(crate) fn touch(&mut self, chat: &str) -> u32 {
        self.chats.get(chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Cached tokens of a chat, without a use.
    pub(crate) fn peek(&self, chat: &str) -> Option<u32> {
        self.chats.peek(chat).map(|(tokens, _)| *tokens)
    }

    /// Stores a chat's prefix, unless it is larger than the whole cache.
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

    /// All chats with the sequence of the event that stored them.
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
