use {
    super::{
        attempt::Attempt,
        chat_stream::ChatItem,
        claim_client::GrantedClaim,
        dispatch_metrics::DispatchMetrics,
        engine_job::AnswerStart,
        refusal::Refusal,
        relocator::{Relocation, move_deadline},
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

/// Number of tokens between two progress reports to the owner of the endpoint.
const PROGRESS_TOKENS: u32 = 64;
/// Engine priority of requests whose answers have become long. Engines run lower numbers
/// first, and owners grant only numbers below this one.
pub(crate) const DEMOTED_PRIORITY: u16 = 1000;
/// Maximum number of times that one answer is moved to another engine.
const MAX_MOVES: u32 = 2;

/// Limits of the run of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunLimits {
    pub(crate) deadline: Instant,
    /// Number of tokens above which an answer is long, so that its priority is lowered.
    pub(crate) long_tokens: u32,
    /// Maximum number of times that a broken event stream is resumed.
    pub(crate) max_resumes: u32,
}

/// Arguments of `ChatRun::new` besides the attempt and its first event.
pub(crate) struct RunParts {
    pub(crate) limits: RunLimits,
    pub(crate) metrics: DispatchMetrics,
    /// Set if the request may not be repeated; its outcome is then stored.
    pub(crate) claim: Option<GrantedClaim>,
    pub(crate) kv_cost: Arc<KvMoveCostModel>,
    /// `None` if the answer may not be moved.
    pub(crate) relocation: Option<Relocation>,
}

/// A request that an engine has started to answer.
pub(crate) struct ChatRun {
    pub(crate) request_id: String,
    attempt: Option<Attempt>,
    /// Event that was received but not yet processed.
    pending_event: Option<EngineEvent>,
    limits: RunLimits,
    metrics: DispatchMetrics,
    claim: Option<GrantedClaim>,
    kv_cost: Arc<KvMoveCostModel>,
    /// Text of the answer so far; kept only if the request has a claim, the answer may be
    /// moved or the caller gets the answer as a whole.
    answer_text: Option<String>,
    /// Index of the next token.
    next_index: u32,
    /// Time of the first token of the current attempt.
    first_token_at: Option<Instant>,
    /// Number of times that the event stream was resumed.
    resumes: u32,
    /// Whether the engine already runs the request with the priority of long work.
    demoted: bool,
    endpoint_id: String,
    relocation: Option<Relocation>,
    /// Index of the first token of the current attempt.
    attempt_first_index: u32,
    last_token_at: Instant,
    /// Time of the last token before the newest move was tried.
    gap_started_at: Instant,
}

impl ChatRun {
    pub(crate) fn new(
        request_id: String,
        attempt: Attempt,
        first: EngineEvent,
        parts: RunParts,
    ) -> Self {
        let RunParts { limits, metrics, claim, kv_cost, relocation } = parts;
        let answer_text = (claim.is_some() || relocation.is_some()).then(String::new);
        let endpoint_id = attempt.endpoint.id.clone();
        let demoted = attempt.permit.grant.long;
        Self {
            request_id,
            attempt: Some(attempt),
            pending_event: Some(first),
            limits,
            metrics,
            claim,
            kv_cost,
            answer_text,
            next_index: 0,
            first_token_at: None,
            resumes: 0,
            demoted,
            endpoint_id,
            relocation,
            attempt_first_index: 0,
            last_token_at: Instant::now(),
            gap_started_at: Instant::now(),
        }
    }

    pub(crate) fn endpoint_id(&self) -> &str {
        &self.endpoint_id
    }

    /// Whether the run must go on after its caller has disconnected, because the request
    /// may not be repeated and its outcome must be stored.
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
            let event = match self.pending_event.take() {
                Some(event) => event,
                None => match self.receive_event() {
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

    /// Blocks until the next event; `None` if the answer has become slow and may be moved.
    fn receive_event(&mut self) -> Option<EngineEvent> {
        let token_gap_limit = self.token_gap_limit();
        let attempt = self.attempt.as_mut()?;
        if let Some(token_gap_limit) = token_gap_limit {
            let until = (self.last_token_at + token_gap_limit).min(self.limits.deadline);
            return attempt.next_event(until);
        }
        let event = attempt.next_event(self.limits.deadline);
        Some(event.unwrap_or_else(|| {
            let detail = "deadline passed";
            let failure = CallFailure::new(Verdict::MayHaveRun, Reason::Deadline, detail);
            EngineEvent::Failed(failure)
        }))
    }

    /// Time without a token after which the answer is moved; `None` if it can't be moved.
    fn token_gap_limit(&self) -> Option<Duration> {
        self.attempt.as_ref().filter(|attempt| attempt.is_piped())?;
        let relocation = self.relocation.as_ref().filter(|r| r.moves < MAX_MOVES)?;
        let before_deadline = Instant::now() < self.limits.deadline;
        relocation.token_gap_limit().filter(|_| self.next_index > 0 && before_deadline)
    }

    /// Tries to continue the answer on another engine. No event of the slow engine is read
    /// until the other one has answered, since both would continue the text differently.
    fn relocate(&mut self) {
        self.gap_started_at = self.last_token_at;
        self.last_token_at = Instant::now();
        let (Some(relocation), Some(slow)) = (&mut self.relocation, &self.attempt) else { return };
        let text = self.answer_text.as_deref().unwrap_or_default();
        let Some(other) = relocation.start_on_other_engine(slow, text, self.next_index) else {
            return;
        };
        match other.answer_start.recv_deadline(move_deadline(self.limits.deadline)) {
            Ok(AnswerStart { first_event: first @ EngineEvent::Token(_), remaining }) => {
                let mut other = other;
                other.set_remaining(remaining);
                self.switch_attempt(other, first);
            }
            _ => other.cancel(ReleaseOutcome::Cancelled),
        }
    }

    /// Continues with the attempt on the other engine and cancels the slow one.
    fn switch_attempt(&mut self, other: Attempt, first: EngineEvent) {
        self.update_measurements();
        self.record_current_gap();
        let from = self.next_index;
        log::info!(
            "event=answer_moved request_id={} from_endpoint={} to_endpoint={} token={from}",
            self.request_id,
            self.endpoint_id,
            other.endpoint.id
        );
        self.metrics.moves.inc();
        self.demoted = other.permit.grant.long;
        self.pending_event = Some(first);
        self.first_token_at = None;
        self.attempt_first_index = from;
        if let Some(slow) = self.attempt.replace(other) {
            slow.cancel(ReleaseOutcome::Cancelled);
        }
    }

    /// Blocks until the end of the answer and returns its whole text.
    pub(crate) fn collect(&mut self) -> Result<(String, Usage), Refusal> {
        self.answer_text.get_or_insert_default();
        loop {
            match self.next_item() {
                ChatItem::Token(_) => {}
                ChatItem::Done { usage, .. } => {
                    return Ok((self.answer_text.take().unwrap_or_default(), usage));
                }
                ChatItem::Failed(refusal) => return Err(refusal),
            }
        }
    }

    /// Cancels the request at the engine, if it still runs.
    pub(crate) fn cancel(&mut self) {
        self.update_measurements();
        if let Some(attempt) = self.attempt.take() {
            self.metrics.cancels.inc();
            attempt.cancel(ReleaseOutcome::Cancelled);
        }
    }

    /// Records the time without a token as the token gap of the slow attempt. The mean gap
    /// over all its tokens would hide that the engine has just become slow.
    fn record_current_gap(&mut self) {
        let Some(attempt) = &mut self.attempt else { return };
        let gap_us = self.gap_started_at.elapsed().as_micros() as u32;
        let first_token_ms = attempt.permit.first_token_ms();
        attempt.permit.set_measurements(first_token_ms, self.next_index, gap_us);
    }

    fn on_token(&mut self, token: Token) -> ChatItem {
        self.metrics.tokens.inc();
        self.next_index = token.index + 1;
        self.last_token_at = Instant::now();
        if let Some(text) = &mut self.answer_text {
            text.push_str(&token.content);
        }
        let first = self.first_token_at.is_none();
        if first {
            self.first_token_at = Some(Instant::now());
        }
        if first || self.next_index.is_multiple_of(PROGRESS_TOKENS) {
            self.update_measurements();
            self.report_progress(first);
        }
        ChatItem::Token(token)
    }

    /// Reports progress to the owner and lowers the priority of an answer that has become
    /// long. `first` is set for the first token of the attempt.
    fn report_progress(&mut self, first: bool) {
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
        self.update_measurements();
        self.observe_prefill(usage);
        if let Some(mut attempt) = self.attempt.take() {
            attempt.permit.set_outcome(ReleaseOutcome::Completed);
        }
        if let Some(claim) = self.claim.take() {
            let text = self.answer_text.as_deref().unwrap_or_default();
            claim.complete(200, "application/json", completion_body(&self.request_id, text, usage));
        }
        ChatItem::Done { usage, chunk }
    }

    /// Resumes the answer after a failure or ends the run; `None` if the answer goes on.
    fn on_failure(&mut self, failure: CallFailure) -> Option<ChatItem> {
        let expired = Instant::now() >= self.limits.deadline;
        // the HTTP client's time limit ends at the same deadline and is reported as a failure
        // of the stream
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
                self.pending_event = Some(EngineEvent::Failed(failure));
            }
            return None;
        }
        let failure = match expired && failure.reason == Reason::EndpointStalled {
            true => CallFailure::new(Verdict::MayHaveRun, Reason::Deadline, "deadline passed"),
            false => failure,
        };
        Some(ChatItem::Failed(self.fail(failure)))
    }

    /// Ends the run: cancels the attempt and ends the claim, if any, with the failure.
    fn fail(&mut self, failure: CallFailure) -> Refusal {
        self.update_measurements();
        if let Some(attempt) = self.attempt.take() {
            attempt.cancel(ReleaseOutcome::Failed);
        }
        let refusal = Refusal::from(failure);
        if let Some(claim) = self.claim.take() {
            claim.fail(&refusal, &self.request_id);
        }
        refusal
    }

    /// Passes the time to the first token to the model of prefill costs. Resumed answers are
    /// left out, since the interruption lengthens their mean token gap.
    fn observe_prefill(&self, usage: Usage) {
        let (Some(attempt), Some(first_at)) = (&self.attempt, self.first_token_at) else { return };
        if self.resumes > 0 {
            return;
        }
        let gap = first_at.elapsed() / self.next_index.saturating_sub(1).max(1);
        let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        self.kv_cost.observe_prefill(first_at.duration_since(attempt.sent_at), gap, uncached);
    }

    /// Records time to the first token, token count and mean token gap on the permit.
    fn update_measurements(&mut self) {
        let Some(attempt) = &mut self.attempt else { return };
        let Some(first_at) = self.first_token_at else { return };
        let first_token_ms = first_at.duration_since(attempt.sent_at).as_millis() as u32;
        let gaps = self.next_index.saturating_sub(self.attempt_first_index + 1);
        let gap_us = match gaps {
            0 => 0,
            gaps => (first_at.elapsed().as_micros() / u128::from(gaps)) as u32,
        };
        attempt.permit.set_measurements(first_token_ms.max(1), self.next_index, gap_us);
    }
}

/// Body of the whole answer in the chat completion format, as callers get it.
pub(crate) fn completion_body(request_id: &str, text: &str, usage: Usage) -> Bytes {
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
