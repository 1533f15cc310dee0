use {
    super::{
        acquire_result::AcquireResult, engine_core::EngineCore, engine_grants::PendingReplies,
        reply::Reply,
    },
    parking_lot::Mutex,
};

/// State of one engine with its own lock. Replies are sent after the lock is
/// released, so a reply may call admission again.
pub(crate) struct LockedEngine<R> {
    core: Mutex<EngineCore<R>>,
}

impl<R: Reply> LockedEngine<R> {
    pub(super) fn new(core: EngineCore<R>) -> Self {
        Self { core: Mutex::new(core) }
    }

    /// Runs `change` under the lock, then sends the replies that it produced.
    pub(super) fn with_lock<T>(
        &self,
        change: impl FnOnce(&mut EngineCore<R>, &mut PendingReplies<R>) -> T,
    ) -> T {
        let mut replies: Vec<(R, AcquireResult)> = Vec::new();
        let result = change(&mut self.core.lock(), &mut replies);
        for (reply, answer) in replies {
            reply.reply(answer);
        }
        result
    }
}
