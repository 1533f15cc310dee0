use {
    super::{
        attempt::Attempt,
        chat_stream::ChatItem,
        claim_client::ClaimTicket,
        dispatch_metrics::DispatchMetrics,
        engine_job::Started,
        refusal::Refusal,
        relocator::{Relocation, move_wait},
    },
    crate::{
        endpoint::{CallFailure, EngineEvent, Token, Usage},
        orders::KvMoveCostModel,
    },
    bytes::Bytes,
    mango_wire::{Reason, peer::ReleaseOutcome, problem::Verdict},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Tokens between two progress reports to the owner.
const PROGRESS_TOKENS: u32 = 64;
/// Priority of work that turned out long; below all priorities that owners give.
pub(crate) const DEMOTED_PRIORITY: u16 = 1000;

/// Moves of one answer to other engines.
const MAX_MOVES: u32 = 2;

/// Limits of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunLimits {
    pub(crate) deadline: Instant,
    pub(crate) long_tokens: u32,
    pub(crate) max_resumes: u32,
}

/// What a run works with besides its attempt.
pub(crate) struct RunParts {
    pub(crate) limits: RunLimits,
    pub(crate) metrics: DispatchMetrics,
    pub(crate) claim: Option<ClaimTicket>,
    pub(crate) kv_cost: Arc<KvMoveCostModel>,
    /// `None` if the answer may not be moved.
    pub(crate) relocation: Option<Relocation>,
}

/// A request that an engine has started to answer.
pub(crate) struct ChatRun {
    pub(crate) request_id: String,
    attempt: Option<Attempt>,
    pending: Option<EngineEvent>,
    limits: RunLimits,
    metrics: DispatchMetrics,
    claim: Option<ClaimTicket>,
    kv_cost: Arc<KvMoveCostModel>,
    /// Answer so far; kept only where it is needed as a whole.
    text: Option<String>,
    next_index: u32,
    first_token_at: Option<Instant>,
    resumes: u32,
    demoted: bool,
    endpoint_id: String,
    relocation: Option<Relocation>,
    /// Index of the first token of the present attempt.
    attempt_from: u32,
    last_token_at: Instant,
    /// Time of the last token before a move.
    silent_since: Instant,
}

impl ChatRun {
    pub(crate) fn new(
        request_id: String,
        attempt: Attempt,
        first: EngineEvent,
        parts: RunParts,
    ) -> Self {
        let RunParts { limits, metrics, claim, kv_cost, relocation } = parts;
        let text = (claim.is_some() || relocation.is_some()).then(String::new);
        let endpoint_id = attempt.endpoint.id.clone();
        let demoted = attempt.permit.grant.long;
        Self {
            request_id,
            attempt: Some(attempt),
            pending: Some(first),
            limits,
            metrics,
            claim,
            kv_cost,
            text,
            next_index: 0,
            first_token_at: None,
            resumes: 0,
            demoted,
            endpoint_id,
            relocation,
            attempt_from: 0,
            last_token_at: Instant::now(),
            silent_since: Instant::now(),
        }
    }

    pub(crate) fn endpoint_id(&self) -> &str {
        &self.endpoint_id
    }

    /// Whether the run must go on although its caller left, because it may not
    /// be repeated and its outcome must be stored.
    pub(crate) fn must_finish(&self) -> bool {
        self.attempt.is_some() && self.claim.is_some()
    }

    /// Blocks until the next token or the end of the answer.
    pub(crate) fn next_item(&mut self) -> ChatItem {
        loop {
            if self.attempt.is_none() {
                let ended =
                    Refusal::new(Verdict::Completed, Reason::EndpointBroken, "answer ended");
                return ChatItem::Failed(ended);
            };
            let event = match self.pending.take() {
                Some(event) => event,
                None => match self.receive_or_move() {
                    Some(event) => event,
                    None => {
                        self.relocate();
                        continue;
                    }
                },
            };
            match event {
                EngineEvent::Token(token) => return self.on_token(token),
                EngineEvent::Done { usage, chunk } => return self.on_done(usage, chunk),
                EngineEvent::Failed(failure) => {
                    if let Some(item) = self.on_failure(failure) {
                        return item;
                    }
                }
            }
        }
    }

    /// Next event; `None` if the answer has become slow and may be moved.
    fn receive_or_move(&mut self) -> Option<EngineEvent> {
        let silence = self.silence();
        let attempt = self.attempt.as_mut()?;
        if let Some(silence) = silence {
            let until = (self.last_token_at + silence).min(self.limits.deadline);
            return attempt.next_event(until);
        }
        let event = attempt.next_event(self.limits.deadline);
        Some(event.unwrap_or_else(|| {
            let detail = "deadline passed";
            let failure = CallFailure::new(Verdict::MayHaveRun, Reason::Deadline, detail);
            EngineEvent::Failed(failure)
        }))
    }

    /// Silence after which the answer is to be moved; `None` if it can't be.
    fn silence(&self) -> Option<Duration> {
        self.attempt.as_ref().filter(|attempt| attempt.is_piped())?;
        let relocation = self.relocation.as_ref().filter(|r| r.moves < MAX_MOVES)?;
        let before_deadline = Instant::now() < self.limits.deadline;
        relocation.silence().filter(|_| self.next_index > 0 && before_deadline)
    }

    /// Continues the answer on another engine. The slow one is read no further until
    /// the other has answered, since both would continue the text differently.
    fn relocate(&mut self) {
        self.silent_since = self.last_token_at;
        self.last_token_at = Instant::now();
        let (Some(relocation), Some(slow)) = (&mut self.relocation, &self.attempt) else { return };
        let text = self.text.as_deref().unwrap_or_default();
        let Some(other) = relocation.start(slow, text, self.next_index) else { return };
        match other.started.recv_deadline(move_wait(self.limits.deadline)) {
            Ok(Started { first: first @ EngineEvent::Token(_), rest }) => {
                let mut other = other;
                other.set_rest(rest);
                self.replace(other, first);
            }
            _ => other.cancel(ReleaseOutcome::Cancelled),
        }
    }

    fn replace(&mut self, other: Attempt, first: EngineEvent) {
        self.update_measures();
        self.report_silence();
        let from = self.next_index;
        log::info!(
            "event=answer_moved request_id={} from_endpoint={} to_endpoint={} token={from}",
            self.request_id,
            self.endpoint_id,
            other.endpoint.id
        );
        self.metrics.moves.inc();
        self.demoted = other.permit.grant.long;
        self.pending = Some(first);
        self.first_token_at = None;
        self.attempt_from = from;
        if let Some(slow) = self.attempt.replace(other) {
            slow.cancel(ReleaseOutcome::Cancelled);
        }
    }

    /// Runs to the end and returns the whole answer.
    pub(crate) fn collect(&mut self) -> Result<(String, Usage), Refusal> {
        self.text.get_or_insert_default();
        loop {
            match self.next_item() {
                ChatItem::Token(_) => {}
                ChatItem::Done { usage, .. } => {
                    return Ok((self.text.take().unwrap_or_default(), usage));
                }
                ChatItem::Failed(refusal) => return Err(refusal),
            }
        }
    }

    /// Stops the request at the engine, if it still runs.
    pub(crate) fn cancel(&mut self) {
        self.update_measures();
        if let Some(attempt) = self.attempt.take() {
            self.metrics.cancels.inc();
            attempt.cancel(ReleaseOutcome::Cancelled);
        }
    }

    /// The mean gap hides that the engine has just become slow.
    fn report_silence(&mut self) {
        let Some(attempt) = &mut self.attempt else { return };
        let silence_us = self.silent_since.elapsed().as_micros() as u32;
        let first_token_ms = attempt.permit.first_token_ms();
        attempt.permit.measure(first_token_ms, self.next_index, silence_us);
    }

    fn on_token(&mut self, token: Token) -> ChatItem {
        self.metrics.tokens.inc();
        self.next_index = token.index + 1;
        self.last_token_at = Instant::now();
        if let Some(text) = &mut self.text {
            text.push_str(&token.content);
        }
        let first = self.first_token_at.is_none();
        if first {
            self.first_token_at = Some(Instant::now());
        }
        if first || self.next_index.is_multiple_of(PROGRESS_TOKENS) {
            self.update_measures();
            self.report(first);
        }
        ChatItem::Token(token)
    }

    fn report(&mut self, first: bool) {
        let Some(attempt) = &self.attempt else { return };
        if first {
            let waited = attempt.sent_at.elapsed();
            self.metrics.first_token_seconds.observe(waited.as_secs_f64());
        }
        attempt.permit.report_progress();
        if !self.demoted && self.next_index > self.limits.long_tokens {
            self.demoted = true;
            self.metrics.demotions.inc();
            attempt.demote(DEMOTED_PRIORITY);
        }
    }

    fn on_done(&mut self, usage: Usage, chunk: Option<Bytes>) -> ChatItem {
        self.update_measures();
        self.observe_prefill(usage);
        if let Some(mut attempt) = self.attempt.take() {
            attempt.permit.set_outcome(ReleaseOutcome::Completed);
        }
        if let Some(claim) = self.claim.take() {
            let text = self.text.as_deref().unwrap_or_default();
            claim.complete(200, "application/json", whole_answer(&self.request_id, text, usage));
        }
        ChatItem::Done { usage, chunk }
    }

    /// Resumes the answer, or ends it; `None` if it goes on.
    fn on_failure(&mut self, failure: CallFailure) -> Option<ChatItem> {
        let expired = Instant::now() >= self.limits.deadline;
        // the call's own time limit ends it as a broken stream
        let failure = match expired {
            true => CallFailure::new(failure.verdict, Reason::Deadline, "deadline passed"),
            false => failure,
        };
        let resumable = matches!(failure.reason, Reason::EndpointBroken | Reason::EndpointStalled);
        if resumable && !expired && self.resumes < self.limits.max_resumes {
            self.resumes += 1;
            self.metrics.resumes.inc();
            log::info!(
                "event=stream_resume request_id={} endpoint={} from={} error=\"{failure}\"",
                self.request_id,
                self.endpoint_id,
                self.next_index
            );
            if let Err(failure) = self.attempt.as_mut()?.resume(self.next_index) {
                self.pending = Some(EngineEvent::Failed(failure));
            }
            return None;
        }
        let failure = match expired && failure.reason == Reason::EndpointStalled {
            true => CallFailure::new(Verdict::MayHaveRun, Reason::Deadline, "deadline passed"),
            false => failure,
        };
        Some(ChatItem::Failed(self.fail(failure)))
    }

    fn fail(&mut self, failure: CallFailure) -> Refusal {
        self.update_measures();
        if let Some(attempt) = self.attempt.take() {
            attempt.cancel(ReleaseOutcome::Failed);
        }
        let refusal = Refusal::from(failure);
        if let Some(claim) = self.claim.take() {
            claim.fail(&refusal, &self.request_id);
        }
        refusal
    }

    fn observe_prefill(&self, usage: Usage) {
        let (Some(attempt), Some(first_at)) = (&self.attempt, self.first_token_at) else { return };
        if self.resumes > 0 {
            return;
        }
        let gap = first_at.elapsed() / self.next_index.saturating_sub(1).max(1);
        let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        self.kv_cost.observe_prefill(first_at.duration_since(attempt.sent_at), gap, uncached);
    }

    fn update_measures(&mut self) {
        let Some(attempt) = &mut self.attempt else { return };
        let Some(first_at) = self.first_token_at else { return };
        let first_token_ms = first_at.duration_since(attempt.sent_at).as_millis() as u32;
        let gaps = self.next_index.saturating_sub(self.attempt_from + 1);
        let gap_us = match gaps {
            0 => 0,
            gaps => (first_at.elapsed().as_micros() / u128::from(gaps)) as u32,
        };
        attempt.permit.measure(first_token_ms.max(1), self.next_index, gap_us);
    }
}

/// The whole answer in the form that callers get.
pub(crate) fn whole_answer(request_id: &str, text: &str, usage: Usage) -> Bytes {
    let answer = serde_json::json!({
        "id": request_id,
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "cached_tokens": usage.cached_tokens,
        },
    });
    answer.to_string().into()
}
