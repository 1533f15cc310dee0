use {
    crate::caller::{Caller, ChatReply, ChatTurn},
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded, unbounded},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// A request with the time at which it is sent, from the start of the load.
#[derive(Clone, Debug)]
pub struct PlannedTurn {
    pub at: Duration,
    pub turn: ChatTurn,
}

/// Answer to a planned request.
#[derive(Clone, Debug)]
pub struct TurnOutcome {
    pub planned: PlannedTurn,
    pub reply: ChatReply,
    /// Time from the planned start to the end of the answer, so that a late sender
    /// does not hide a wait.
    pub total: Duration,
}

impl TurnOutcome {
    /// When the answer ended, from the start of the load.
    pub fn ended(&self) -> Duration {
        self.planned.at + self.total
    }

    /// Whether the answer is complete and within the request's deadline.
    pub fn is_in_time(&self) -> bool {
        let deadline = self.planned.turn.deadline_ms.map_or(Duration::MAX, Duration::from_millis);
        self.reply.complete && self.total <= deadline
    }

    /// Tokens received within a span, spread evenly over the time of the answer.
    pub fn tokens_within(&self, from: Duration, to: Duration) -> f64 {
        let end = self.ended().as_secs_f64();
        let first = self.reply.first_token.unwrap_or(self.reply.total);
        let start = end - self.reply.total.saturating_sub(first).as_secs_f64();
        let overlap = end.min(to.as_secs_f64()) - start.max(from.as_secs_f64());
        let length = (end - start).max(1e-6);
        f64::from(self.reply.tokens) * (overlap / length).clamp(0.0, 1.0)
    }
}

type Job = (PlannedTurn, Instant);

/// Sends requests at their planned times, whatever the answers, and waits for all
/// answers. Each sender keeps to one of the addresses.
pub fn run_open_load(addresses: &[SocketAddr], mut turns: Vec<PlannedTurn>) -> Vec<TurnOutcome> {
    turns.sort_by_key(|planned| planned.at);
    let (jobs, taken) = bounded::<Job>(0);
    let (results, received) = unbounded();
    let started = Instant::now();
    let mut senders = 0;
    for planned in turns {
        let due = started + planned.at;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) =
            jobs.try_send((planned, due))
        {
            let address = addresses[senders % addresses.len()];
            senders += 1;
            let (taken, results) = (taken.clone(), results.clone());
            thread::spawn(move || send_jobs(address, job, &taken, &results));
        }
    }
    drop((jobs, taken, results));
    received.iter().collect()
}

fn send_jobs(
    address: SocketAddr,
    first: Job,
    taken: &Receiver<Job>,
    results: &Sender<TurnOutcome>,
) {
    let caller = Caller::default();
    for (planned, due) in std::iter::once(first).chain(taken.iter()) {
        let reply = caller.chat(address, &planned.turn);
        let outcome = TurnOutcome { planned, reply, total: due.elapsed() };
        if results.send(outcome).is_err() {
            return;
        }
    }
}
