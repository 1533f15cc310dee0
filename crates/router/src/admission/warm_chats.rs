use {
    lru::LruCache,
    mango_wire::{
        ChatKey, EndpointKey,
        platform::{CacheEvent, CacheEvents, CacheListing},
    },
    std::num::NonZeroUsize,
};

/// Chats whose context an engine is assumed to have cached. The least recently used
/// chat is evicted first.
#[derive(Debug)]
pub(crate) struct WarmChats {
    chats: LruCache<ChatKey, ()>,
    /// For each chat that moved away, the engine that last ran it. This engine is the
    /// home of these chats: rendezvous hashing ranks it first for them.
    moved_chats: LruCache<ChatKey, EndpointKey>,
    /// Identity of the engine that the sequence numbers belong to; a restart changes it.
    identity: String,
    next_sequence: u64,
}

impl WarmChats {
    pub(crate) fn new(max: usize) -> Self {
        let max = NonZeroUsize::new(max).unwrap_or(NonZeroUsize::MIN);
        Self {
            chats: LruCache::sparse(max),
            moved_chats: LruCache::sparse(max),
            identity: String::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether the chat is warm. Marks it as recently used. Key 0 stands for no chat.
    pub(crate) fn touch(&mut self, chat: ChatKey) -> bool {
        chat != 0 && self.chats.promote(&chat)
    }

    /// Whether the chat is warm, without marking it as recently used.
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

    /// Records that a chat runs on this engine now.
    pub(crate) fn record_run(&mut self, chat: ChatKey) {
        self.moved_chats.pop(&chat);
        self.insert(chat);
    }

    /// Records that a chat whose home is this engine runs on another one.
    pub(crate) fn record_move(&mut self, chat: ChatKey, engine: EndpointKey) {
        if chat != 0 {
            self.moved_chats.put(chat, engine);
        }
    }

    /// Engine that a chat moved to since it last ran here.
    pub(crate) fn moved_to(&mut self, chat: ChatKey) -> Option<EndpointKey> {
        self.moved_chats.get(&chat).copied()
    }

    pub(crate) fn remove(&mut self, chat: ChatKey) {
        self.chats.pop(&chat);
    }

    /// Sequence number of the next cache event to request from the engine.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    pub(crate) fn clear(&mut self) {
        self.chats.clear();
        self.identity.clear();
        self.next_sequence = 0;
    }

    /// Applies cache events. Returns whether a full listing must be fetched,
    /// because events are missing or the engine was restarted.
    pub(crate) fn apply(&mut self, events: &CacheEvents) -> bool {
        let is_restarted = events.identity != self.identity;
        if is_restarted {
            self.chats.clear();
            self.identity.clone_from(&events.identity);
        }
        let first = if is_restarted { 0 } else { self.next_sequence };
        let mut expected = first;
        // if the sequence went back under the same identity, events are missing
        let mut has_gap = is_restarted || events.next_sequence < first;
        for event in events.events.iter().filter(|e| e.sequence >= first) {
            has_gap |= event.sequence != expected;
            expected = event.sequence + 1;
            self.apply_event(event);
        }
        has_gap |= events.next_sequence != expected;
        self.next_sequence = events.next_sequence;
        has_gap
    }

    /// Replaces the warm chats by a full listing. `in_use` are the chats of running
    /// requests, which may be too new to be listed.
    pub(crate) fn replace(
        &mut self,
        listing: &CacheListing,
        in_use: impl Iterator<Item = ChatKey>,
    ) {
        self.chats.clear();
        self.identity.clone_from(&listing.identity);
        self.next_sequence = listing.next_sequence;
        listing.chats.iter().for_each(|chat| self.apply_event(chat));
        in_use.for_each(|chat| self.insert(chat));
    }

    /// Applies one event. Ids that are not chat keys are ignored, since they belong
    /// to clients other than this fleet.
    fn apply_event(&mut self, event: &CacheEvent) {
        let Ok(chat) = ChatKey::from_str_radix(&event.chat, 16) else { return };
        if event.cached_tokens == 0 {
            self.remove(chat);
        } else {
            self.insert(chat);
        }
    }
}
