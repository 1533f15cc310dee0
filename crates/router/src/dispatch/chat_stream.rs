use {
    super::{chat_run::ChatRun, refusal::Refusal},
    crate::endpoint::{Token, Usage},
    bytes::Bytes,
    std::thread,
};

/// Part of a streamed answer.
pub(crate) enum ChatItem {
    Token(Token),
    Done { usage: Usage, chunk: Option<Bytes> },
    Failed(Refusal),
}

/// An answer on its way to a caller. If the caller leaves, the work is
/// cancelled; work that may not be repeated runs on, so that its outcome is stored.
pub(crate) struct ChatStream {
    run: Option<ChatRun>,
    /// Counts the request until the stream ends.
    _guard: crate::callers::InFlightGuard,
}

impl ChatStream {
    pub(crate) fn new(run: ChatRun, guard: crate::callers::InFlightGuard) -> Self {
        Self { run: Some(run), _guard: guard }
    }

    /// Blocks until the next part.
    pub(crate) fn next_item(&mut self) -> ChatItem {
        match &mut self.run {
            Some(run) => run.next_item(),
            None => ChatItem::Done { usage: Usage::default(), chunk: None },
        }
    }
}

impl Drop for ChatStream {
    fn drop(&mut self) {
        let Some(mut run) = self.run.take() else { return };
        if !run.must_finish() {
            run.cancel();
            return;
        }
        let finish = move || {
            if let Err(refusal) = run.collect() {
                log::info!("event=detached_run_failed reason={}", refusal.reason);
            }
        };
        if let Err(e) = thread::Builder::new().name("detached-run".to_owned()).spawn(finish) {
            log::warn!("event=detached_run_not_started error={e:?}");
        }
    }
}
