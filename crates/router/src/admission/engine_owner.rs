use {
    super::{
        acquire_result::AcquireResult, engine_core::EngineCore, engine_grants::Outbox, reply::Reply,
    },
    parking_lot::Mutex,
};

/// One engine with its own lock. Answers are given after the lock is released, so
/// a reply may call admission again.
pub(crate) struct EngineOwner<R> {
    core: Mutex<EngineCore<R>>,
}

impl<R: Reply> EngineOwner<R> {
    pub(super) fn new(core: EngineCore<R>) -> Self {
        Self { core: Mutex::new(core) }
    }

    /// Runs `change` under the lock, then gives the answers it left.
    pub(super) fn run<T>(&self, change: impl FnOnce(&mut EngineCore<R>, &mut Outbox<R>) -> T) -> T {
        let mut out: Vec<(R, AcquireResult)> = Vec::new();
        let result = change(&mut self.core.lock(), &mut out);
        for (reply, answer) in out {
            reply.reply(answer);
        }
        result
    }
}
