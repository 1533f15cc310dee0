use {
    std::{cell::Cell, time::Duration},
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// Number of a round of calls to the store.
type Round = u64;

/// Rounds of calls to the store for requests that wait for them. One round serves all requests that
/// were waiting when it began.
pub(crate) struct RefreshRounds {
    requested: Notify,
    started: Cell<Round>,
    finished: watch::Sender<FinishedRounds>,
}

#[derive(Clone, Copy, Debug, Default)]
struct FinishedRounds {
    last: Round,
    last_successful: Round,
}

impl Default for RefreshRounds {
    fn default() -> RefreshRounds {
        RefreshRounds {
            requested: Notify::new(),
            started: Cell::new(0),
            finished: watch::Sender::new(FinishedRounds::default()),
        }
    }
}

impl RefreshRounds {
    /// Waits for a round that begins after this call. Returns whether it succeeded in time.
    pub(crate) async fn wait(&self, time_limit: Duration) -> bool {
        let needed = self.started.get() + 1;
        let mut finished = self.finished.subscribe();
        self.requested.notify_one();
        let rounds = timeout(time_limit, finished.wait_for(|rounds| rounds.last >= needed)).await;
        matches!(rounds, Ok(Ok(rounds)) if rounds.last_successful >= needed)
    }

    /// Waits until a round is needed and begins it.
    pub(crate) async fn begin(&self) {
        self.requested.notified().await;
        self.started.set(self.started.get() + 1);
    }

    /// Ends the round that was begun last.
    pub(crate) fn end(&self, has_succeeded: bool) {
        self.finished.send_modify(|rounds| {
            rounds.last = self.started.get();
            if has_succeeded {
                rounds.last_successful = rounds.last;
            }
        });
    }
}
