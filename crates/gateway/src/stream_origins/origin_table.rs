use {
    super::{origin_store::StreamOrigin, stream_key::StreamKey, version_hash::VersionHash},
    std::{
        collections::{HashMap, VecDeque},
        rc::Rc,
        time::Instant,
    },
};

/// Most origins that are kept; the oldest are dropped first.
const MAX_ORIGINS: usize = 65_536;

/// The origins of streams that this host knows.
#[derive(Default)]
pub(crate) struct OriginTable {
    by_stream: HashMap<StreamKey, Entry>,
    /// When each entry was to expire, in the order of the additions. An entry that was added again
    /// expires later.
    expiries: VecDeque<Expiry>,
    /// Streams that began through this host and are not in the log yet.
    unlogged: VecDeque<UnloggedStream>,
}

struct Entry {
    version: VersionHash,
    expires_at: Instant,
    /// The caller has the whole stream, so that it takes nothing up.
    is_complete: bool,
    is_logged: bool,
}

struct Expiry {
    at: Instant,
    stream: StreamKey,
}

struct UnloggedStream {
    service: Rc<str>,
    stream: StreamKey,
}

impl OriginTable {
    pub(crate) fn get(&self, stream: StreamKey) -> Option<VersionHash> {
        self.by_stream.get(&stream).map(|entry| entry.version)
    }

    /// Adds a stream that began, or goes on, through this host.
    pub(crate) fn add_own(
        &mut self,
        service: &Rc<str>,
        stream: StreamKey,
        version: VersionHash,
        expires_at: Instant,
    ) {
        self.insert(stream, Entry { version, expires_at, is_complete: false, is_logged: false });
        self.unlogged.push_back(UnloggedStream { service: service.clone(), stream });
    }

    /// Adds a stream of another host, or keeps a known one for longer.
    pub(crate) fn add(&mut self, stream: StreamKey, version: VersionHash, expires_at: Instant) {
        if let Some(entry) = self.by_stream.get_mut(&stream) {
            entry.expires_at = entry.expires_at.max(expires_at);
            self.expiries.push_back(Expiry { at: entry.expires_at, stream });
            return;
        }
        self.insert(stream, Entry { version, expires_at, is_complete: false, is_logged: true });
    }

    fn insert(&mut self, stream: StreamKey, entry: Entry) {
        self.expiries.push_back(Expiry { at: entry.expires_at, stream });
        self.by_stream.insert(stream, entry);
        while self.by_stream.len() > MAX_ORIGINS {
            self.remove_oldest();
        }
    }

    pub(crate) fn set_complete(&mut self, stream: StreamKey) {
        if let Some(entry) = self.by_stream.get_mut(&stream) {
            entry.is_complete = true;
        }
    }

    /// Streams of these services that are to be appended to the log: those that callers may still
    /// take up.
    pub(crate) fn unlogged(
        &mut self,
        is_logged_service: impl Fn(&str) -> bool,
        max: usize,
    ) -> Vec<StreamOrigin> {
        let by_stream = &self.by_stream;
        let live_entry = |stream: StreamKey| {
            by_stream.get(&stream).filter(|entry| !entry.is_complete && !entry.is_logged)
        };
        self.unlogged.retain(|unlogged| live_entry(unlogged.stream).is_some());
        let of_services =
            self.unlogged.iter().filter(|unlogged| is_logged_service(&unlogged.service));
        of_services
            .filter_map(|UnloggedStream { stream, .. }| {
                live_entry(*stream)
                    .map(|entry| StreamOrigin { stream: *stream, version: entry.version })
            })
            .take(max)
            .collect()
    }

    /// Records that these streams were appended to the log.
    pub(crate) fn set_logged(&mut self, origins: &[StreamOrigin]) {
        for origin in origins {
            if let Some(entry) = self.by_stream.get_mut(&origin.stream) {
                entry.is_logged = true;
            }
        }
    }

    /// Drops origins of streams that cannot go on any more.
    pub(crate) fn expire(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|expiry| expiry.at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some(Expiry { at, stream }) = self.expiries.pop_front() else { return };
        if self.by_stream.get(&stream).is_some_and(|entry| entry.expires_at <= at) {
            self.by_stream.remove(&stream);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_stream.len()
    }
}
