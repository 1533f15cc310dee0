use {
    lru::LruCache,
    mango_wire::{
        ChatKey, EndpointKey,
        platform::{CacheEvent, CacheEvents, CacheListing},
    },
    std::num::NonZeroUsize,
};

/// Chats whose context an engine is believed to have cached, least recently used
/// evicted first.
#[derive(Debug)]
pub(crate) struct WarmChats {
    chats: LruCache<ChatKey, ()>,
    /// Engines that run chats whose home this engine is.
    moved: LruCache<ChatKey, EndpointKey>,
    identity: String,
    next_sequence: u64,
}

impl WarmChats {
    pub(crate) fn new(max: usize) -> Self {
        let max = NonZeroUsize::new(max).unwrap_or(NonZeroUsize::MIN);
        Self {
            chats: LruCache::sparse(max),
            moved: LruCache::sparse(max),
            identity: String::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether the chat is warm; counts as a use.
    pub(crate) fn touch(&mut self, chat: ChatKey) -> bool {
        chat != 0 && self.chats.promote(&chat)
    }

    /// Whether the chat is warm, without a use.
    pub(crate) fn contains(&self, chat: ChatKey) -> bool {
        self.chats.contains(&chat)
    }

    /// Warm chats, the most recently used first.
    pub(crate) fn recent(&self) -> impl Iterator<Item = ChatKey> {
        self.chats.iter().map(|(chat, ())| *chat)
    }

    pub(crate) fn insert(&mut self, chat: ChatKey) {
        if chat != 0 {
            self.chats.put(chat, ());
        }
    }

    /// Notes that a chat ran on this engine now.
    pub(crate) fn ran_here(&mut self, chat: ChatKey) {
        self.moved.pop(&chat);
        self.insert(chat);
    }

    /// Notes that a chat of this engine ran on another one.
    pub(crate) fn ran_elsewhere(&mut self, chat: ChatKey, engine: EndpointKey) {
        if chat != 0 {
            self.moved.put(chat, engine);
        }
    }

    /// Engine that a chat ran on since it last ran here.
    pub(crate) fn moved_to(&mut self, chat: ChatKey) -> Option<EndpointKey> {
        self.moved.get(&chat).copied()
    }

    pub(crate) fn remove(&mut self, chat: ChatKey) {
        self.chats.pop(&chat);
    }

    /// Sequence of the next event to ask the engine for.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    pub(crate) fn clear(&mut self) {
        self.chats.clear();
        self.identity.clear();
        self.next_sequence = 0;
    }

    /// Takes events and returns whether a full listing must be fetched, because
    /// events are missing or the engine was restarted.
    pub(crate) fn apply(&mut self, events: &CacheEvents) -> bool {
        let is_restarted = events.identity != self.identity;
        if is_restarted {
            self.chats.clear();
            self.identity.clone_from(&events.identity);
        }
        let first = if is_restarted { 0 } else { self.next_sequence };
        let mut expected = first;
        // a sequence that went back under the same identity can't be continued
        let mut has_gap = is_restarted || events.next_sequence < first;
        for event in events.events.iter().filter(|e| e.sequence >= first) {
            has_gap |= event.sequence != expected;
            expected = event.sequence + 1;
            self.apply_one(event);
        }
        has_gap |= events.next_sequence != expected;
        self.next_sequence = events.next_sequence;
        has_gap
    }

    /// Replaces the list; `in_use` are chats whose requests run now and may be too
    /// new to be listed.
    pub(crate) fn replace(
        &mut self,
        listing: &CacheListing,
        in_use: impl Iterator<Item = ChatKey>,
    ) {
        self.chats.clear();
        self.identity.clone_from(&listing.identity);
        self.next_sequence = listing.next_sequence;
        listing.chats.iter().for_each(|chat| self.apply_one(chat));
        in_use.for_each(|chat| self.insert(chat));
    }

    /// Ids that are not chat keys belong to callers other than this fleet.
    fn apply_one(&mut self, event: &CacheEvent) {
        let Ok(chat) = ChatKey::from_str_radix(&event.chat, 16) else { return };
        if event.cached_tokens == 0 {
            self.remove(chat);
        } else {
            self.insert(chat);
        }
    }
}
