use {
    super::{
        block::Block,
        crash::{Crash, CrashEvents},
    },
    std::time::{Duration, Instant},
};

/// How long a crash counts. Long enough for a part that few requests have.
const CRASH_LIFETIME: Duration = Duration::from_secs(300);
/// How long a response is kept that cleared a part, so that older reports do not blame it again.
const RESPONSE_LIFETIME: Duration = Duration::from_secs(60);
/// Most crashes that are kept of a part; the earliest, by which it is blocked.
const MAX_CRASHES: usize = 64;

/// What is known of a prompt part that was in a request when an endpoint crashed.
#[derive(Clone, Debug)]
pub(super) struct PartRecord {
    /// Number of parts before it in the prompt.
    pub(super) depth: u32,
    /// Crashes since the last response, in order of time.
    pub(super) crashes: Vec<Crash>,
    /// When a response to a request with the part last began, as far as is known.
    pub(super) sound_at: Option<Instant>,
    pub(super) block: Option<Block>,
    /// When the record last changed; new knowledge is passed on at once.
    pub(super) changed_at: Instant,
}

impl PartRecord {
    pub(super) fn new(depth: u32, now: Instant) -> PartRecord {
        PartRecord { depth, crashes: Vec::new(), sound_at: None, block: None, changed_at: now }
    }

    /// Adds a crash unless it is known or a later response has cleared the part. Returns whether
    /// it was added.
    pub(super) fn add_crash(&mut self, crash: Crash, now: Instant) -> bool {
        let is_cleared = self.sound_at.is_some_and(|at| crash.at <= at);
        let is_known =
            self.crashes.iter().any(|known| known.is_same(&crash) && known.team == crash.team);
        let is_old = now.saturating_duration_since(crash.at) >= CRASH_LIFETIME;
        if is_cleared || is_known || is_old {
            return false;
        }
        let position = self.crashes.partition_point(|known| known.at <= crash.at);
        if position >= MAX_CRASHES {
            return false;
        }
        self.crashes.insert(position, crash);
        self.crashes.truncate(MAX_CRASHES);
        self.changed_at = now;
        true
    }

    /// Records that a response began at `at`: earlier crashes and an earlier block are void.
    /// Returns whether that changed anything.
    pub(super) fn add_response(&mut self, at: Instant, now: Instant) -> bool {
        let crashes_before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        let had_block = self.block.take_if(|block| block.last_crash_at <= at).is_some();
        let has_changed = had_block || self.crashes.len() < crashes_before;
        if has_changed {
            self.sound_at = self.sound_at.max(Some(at));
            self.changed_at = now;
        }
        has_changed
    }

    /// Removes what no longer counts. Returns whether anything is left.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        self.crashes.retain(|crash| now.saturating_duration_since(crash.at) < CRASH_LIFETIME);
        self.sound_at.take_if(|at| now.saturating_duration_since(*at) >= RESPONSE_LIFETIME);
        self.block.is_some() || self.sound_at.is_some() || !self.crashes.is_empty()
    }

    /// The crashes for which no part in `explained_by` is to blame.
    pub(super) fn unexplained_events(&self, explained_by: &[Crash]) -> CrashEvents {
        let is_unexplained =
            |crash: &&Crash| !explained_by.iter().any(|other| other.is_same(crash));
        CrashEvents::group(self.crashes.iter().filter(is_unexplained))
    }

    /// The more valuable record is kept when there are too many.
    pub(super) fn value(&self) -> (bool, usize, Instant) {
        (self.block.is_some(), self.crashes.len(), self.changed_at)
    }
}
