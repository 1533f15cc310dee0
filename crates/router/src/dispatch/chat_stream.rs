use {
    super::{chat_run::ChatRun, refusal::Refusal},
    crate::endpoint::{Token, Usage},
    bytes::Bytes,
    std::thread,
};

/// One item of a streamed answer: a token or the end.
pub(crate) enum ChatItem {
    Token(Token),
    /// End of the answer, with the final chunk unless it was forwarded with a token.
    Done {
        usage: Usage,
        chunk: Option<Bytes>,
    },
    Failed(Refusal),
}

/// An answer that is streamed to a caller. Dropping it before the end, when the caller has
/// disconnected, cancels the request at the engine. A request that may not be repeated is
/// run to its end instead, so that its outcome is stored.
pub(crate) struct ChatStream {
    run: Option<ChatRun>,
    /// Counts the request as in flight until the stream is dropped.
    _guard: crate::callers::InFlightGuard,
}

impl ChatStream {
    pub(crate) fn new(run: ChatRun, guard: crate::callers::InFlightGuard) -> Self {
        Self { run: Some(run), _guard: guard }
    }

    /// Blocks until the next token or the end of the answer.
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
