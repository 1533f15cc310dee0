use {
    crate::caller::{Caller, ChatReply, ChatTurn},
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded, unbounded},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Request with its planned send time.
#[derive(Clone, Debug)]
pub struct PlannedTurn {
    /// Send time, relative to the start of the load.
    pub at: Duration,
    pub turn: ChatTurn,
}

/// Answer to a planned request.
#[derive(Clone, Debug)]
pub struct TurnOutcome {
    pub planned: PlannedTurn,
    pub reply: ChatReply,
    /// Time from the planned send time to the end of the answer. Counting from the planned
    /// time includes the delay of a request that was sent late.
    pub total: Duration,
}

impl TurnOutcome {
    /// Time at which the answer ended, relative to the start of the load.
    pub fn ended_at(&self) -> Duration {
        self.planned.at + self.total
    }

    /// Whether the answer is complete and arrived within the request's deadline.
    pub fn is_in_time(&self) -> bool {
        let deadline = self.planned.turn.deadline_ms.map_or(Duration::MAX, Duration::from_millis);
        self.reply.complete && self.total <= deadline
    }

    /// Estimated number of tokens received between `from` and `to`, assuming that they arrive
    /// at a constant rate from the first token to the end of the answer. Always 0 if the
    /// answer was not a stream, because the time of its first token is unknown.
    pub fn tokens_within(&self, from: Duration, to: Duration) -> f64 {
        let end = self.ended_at().as_secs_f64();
        let first = self.reply.first_token.unwrap_or(self.reply.total);
        let start = end - self.reply.total.saturating_sub(first).as_secs_f64();
        let overlap = end.min(to.as_secs_f64()) - start.max(from.as_secs_f64());
        // the lower bound prevents a division by zero
        let length = (end - start).max(1e-6);
        f64::from(self.reply.tokens) * (overlap / length).clamp(0.0, 1.0)
    }
}

/// Planned request and the instant at which it is due.
type Job = (PlannedTurn, Instant);

/// Generates an open-loop load: sends each request at its planned time, regardless of
/// outstanding answers, and waits for all answers. A new sender thread starts when no
/// sender thread is idle; each uses one address, assigned round-robin.
pub fn run_open_loop_load(
    addresses: &[SocketAddr],
    mut turns: Vec<PlannedTurn>,
) -> Vec<TurnOutcome> {
    turns.sort_by_key(|planned| planned.at);
    // with capacity 0, a job is accepted only if a sender thread is waiting for one
    let (job_sender, job_receiver) = bounded::<Job>(0);
    let (outcome_sender, outcome_receiver) = unbounded();
    let started = Instant::now();
    let mut sender_threads = 0;
    for planned in turns {
        let due = started + planned.at;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) =
            job_sender.try_send((planned, due))
        {
            let address = addresses[sender_threads % addresses.len()];
            sender_threads += 1;
            let (jobs, outcomes) = (job_receiver.clone(), outcome_sender.clone());
            thread::spawn(move || send_jobs(address, job, &jobs, &outcomes));
        }
    }
    drop((job_sender, job_receiver, outcome_sender));
    outcome_receiver.iter().collect()
}

/// Sends the request of `first`, and then of each job from the channel, to `address`. Ends
/// when the channel is closed.
fn send_jobs(
    address: SocketAddr,
    first: Job,
    jobs: &Receiver<Job>,
    outcomes: &Sender<TurnOutcome>,
) {
    let caller = Caller::default();
    for (planned, due) in std::iter::once(first).chain(jobs.iter()) {
        let reply = caller.chat(address, &planned.turn);
        let outcome = TurnOutcome { planned, reply, total: due.elapsed() };
        if outcomes.send(outcome).is_err() {
            return;
        }
    }
}
