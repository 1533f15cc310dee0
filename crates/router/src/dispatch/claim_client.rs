use {
    super::{refusal::Refusal, request_context::RequestContext},
    crate::{
        claims::ClaimService,
        ownership::{Ownership, ResourceId},
        peer::PeerNet,
        router::ClaimsOfRouter,
    },
    bytes::Bytes,
    crossbeam::channel::{Receiver, Sender, bounded},
    mango_wire::{
        HostId, Reason, key_range,
        peer::{AbandonReport, ClaimReply, ClaimRequest, ClaimResult, OutcomeReport, PeerMessage},
        problem::Verdict,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Pause before a key range without a reachable owner is tried again.
const OWNER_RETRY: Duration = Duration::from_millis(50);
/// Longest time a report waits for its owner's acknowledgement before the next try.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// Time after which a report that no owner takes is dropped. Repeats then learn
/// `may_have_run`, which stays true.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);
/// Interval at which the delivering thread checks whether it is to end.
const STOP_CHECK: Duration = Duration::from_millis(200);
/// Interval at which a planned stop checks whether all reports are delivered.
const DELIVERY_POLL: Duration = Duration::from_millis(5);
/// Reports waiting for their owners.
const REPORT_QUEUE: usize = 4096;

/// Outcome of asking for leave to run a non-idempotent request.
pub(crate) enum ClaimDecision {
    Granted(ClaimTicket),
    /// The request ran before; its answer.
    Stored {
        status: u16,
        content_type: String,
        body: Bytes,
    },
}

enum Report {
    Outcome(OutcomeReport),
    Abandon(AbandonReport),
}

struct QueuedReport {
    report: Report,
    expires: Instant,
}

/// Asks the owners of key ranges for claims and tells them outcomes.
pub(crate) struct ClaimClient {
    host_id: HostId,
    key_ranges: u32,
    claims: Arc<ClaimsOfRouter>,
    ownership: Arc<Ownership>,
    peers: PeerNet,
    reports: Sender<QueuedReport>,
    /// Reports that were not delivered or dropped yet.
    undelivered: AtomicUsize,
    stopped: AtomicBool,
}

impl ClaimClient {
    /// Starts the thread that delivers outcomes.
    pub(crate) fn spawn(
        host_id: HostId,
        key_ranges: u32,
        claims: Arc<ClaimsOfRouter>,
        ownership: Arc<Ownership>,
        peers: PeerNet,
    ) -> std::io::Result<Arc<Self>> {
        let (reports, queue) = bounded(REPORT_QUEUE);
        let client = Arc::new(Self {
            host_id,
            key_ranges,
            claims,
            ownership,
            peers,
            reports,
            undelivered: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        let delivering = client.clone();
        thread::Builder::new()
            .name("claim-reports".to_owned())
            .spawn(move || delivering.deliver_reports(&queue))?;
        Ok(client)
    }

    /// Asks for leave to run the request, until its deadline.
    pub(crate) fn claim(
        self: &Arc<Self>,
        context: &RequestContext,
        key: &str,
    ) -> Result<ClaimDecision, Refusal> {
        let range = key_range(&context.team.id, key, self.key_ranges);
        loop {
            let reply = self.ask(range, context, key);
            match reply {
                Some(reply) if reply.result != ClaimResult::NotOwner => {
                    return self.decide(range, context, key, reply);
                }
                _ if Instant::now() + OWNER_RETRY >= context.deadline => {
                    // an unanswered claim may have been recorded
                    self.report(Report::Abandon(AbandonReport {
                        range,
                        team: context.team.id.clone(),
                        key: key.to_owned(),
                        request_id: context.request_id.clone(),
                    }));
                    let detail = format!("key range {range} has no reachable owner");
                    return Err(
                        Refusal::not_run(Reason::OwnerUnavailable, detail).with_retry_after(1000)
                    );
                }
                _ => thread::sleep(OWNER_RETRY),
            }
        }
    }

    fn ask(&self, range: u32, context: &RequestContext, key: &str) -> Option<ClaimReply> {
        let owner = self.ownership.owner(&ResourceId::keys(range))?;
        let remaining = context.deadline.saturating_duration_since(Instant::now());
        let request = ClaimRequest {
            range,
            team: context.team.id.clone(),
            key: key.to_owned(),
            request_id: context.request_id.clone(),
            body_digest: context.body_digest,
            remaining_ms: remaining.as_millis() as u32,
        };
        if owner.host_id == self.host_id {
            let (sender, receiver) = bounded(1);
            self.claims.claim(request, move |reply| {
                // the receiver is gone when the request's deadline has passed
                let _ = sender.send(reply);
            });
            return receiver.recv_deadline(context.deadline).ok();
        }
        let message = PeerMessage::ClaimRequest(request);
        match self.peers.call(&owner.host_id, message, context.deadline) {
            Ok(PeerMessage::ClaimReply(reply)) => Some(reply),
            _ => None,
        }
    }

    fn decide(
        self: &Arc<Self>,
        range: u32,
        context: &RequestContext,
        key: &str,
        reply: ClaimReply,
    ) -> Result<ClaimDecision, Refusal> {
        let refuse = |verdict, reason, detail: &str| Err(Refusal::new(verdict, reason, detail));
        match reply.result {
            ClaimResult::Granted => Ok(ClaimDecision::Granted(ClaimTicket {
                client: self.clone(),
                range,
                team: context.team.id.clone(),
                key: key.to_owned(),
                request_id: context.request_id.clone(),
            })),
            ClaimResult::Completed if reply.body_kept => Ok(ClaimDecision::Stored {
                status: reply.status,
                content_type: reply.content_type,
                body: reply.body.into(),
            }),
            ClaimResult::Completed => refuse(
                Verdict::Completed,
                Reason::OutcomeNotKept,
                "the request ran before; its answer was too large to keep",
            ),
            ClaimResult::InProgress => {
                refuse(Verdict::MayHaveRun, Reason::InProgress, "the request is still running")
            }
            ClaimResult::MayHaveRun => refuse(
                Verdict::MayHaveRun,
                Reason::OutcomeUnknown,
                "the request may have run; its outcome is not known",
            ),
            ClaimResult::KeyReused => refuse(
                Verdict::NotRun,
                Reason::KeyReused,
                "the idempotency key was used with another request",
            ),
            ClaimResult::KeyExpired => refuse(
                Verdict::NotRun,
                Reason::KeyExpired,
                "the idempotency key is older than outcomes are kept",
            ),
            ClaimResult::Unavailable | ClaimResult::NotOwner => {
                Err(Refusal::not_run(Reason::LogUnavailable, "the claim could not be recorded")
                    .with_retry_after(1000))
            }
        }
    }

    /// Waits until the owners have all reports, before a planned leave: they mark
    /// claims of a host that left as unknown. Returns false if the deadline passes.
    pub(crate) fn await_delivered(&self, deadline: Instant) -> bool {
        while self.undelivered.load(Ordering::Acquire) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(DELIVERY_POLL);
        }
        true
    }

    /// Ends the thread that delivers reports.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    fn report(&self, report: Report) {
        let expires = Instant::now() + REPORT_LIFETIME;
        self.undelivered.fetch_add(1, Ordering::AcqRel);
        self.enqueue(QueuedReport { report, expires });
    }

    fn enqueue(&self, report: QueuedReport) {
        if self.reports.try_send(report).is_err() {
            self.undelivered.fetch_sub(1, Ordering::AcqRel);
            log::warn!("event=claim_report_dropped reason=queue_full");
        }
    }

    fn deliver_reports(&self, queue: &Receiver<QueuedReport>) {
        while !self.stopped.load(Ordering::Acquire) {
            let Ok(queued) = queue.recv_timeout(STOP_CHECK) else { continue };
            if self.deliver(&queued.report) {
                self.undelivered.fetch_sub(1, Ordering::AcqRel);
                continue;
            }
            if Instant::now() >= queued.expires {
                self.undelivered.fetch_sub(1, Ordering::AcqRel);
                log::warn!("event=claim_report_dropped reason=no_owner");
                continue;
            }
            thread::sleep(OWNER_RETRY);
            self.enqueue(queued);
        }
    }

    fn deliver(&self, report: &Report) -> bool {
        let range = match report {
            Report::Outcome(outcome) => outcome.range,
            Report::Abandon(abandon) => abandon.range,
        };
        let Some(owner) = self.ownership.owner(&ResourceId::keys(range)) else { return false };
        if owner.host_id == self.host_id {
            return match report {
                Report::Outcome(outcome) => self.claims.record_outcome(outcome.clone()),
                Report::Abandon(abandon) => self.claims.abandon(abandon.clone()),
            };
        }
        let message = match report {
            Report::Outcome(outcome) => PeerMessage::OutcomeReport(outcome.clone()),
            Report::Abandon(abandon) => PeerMessage::AbandonReport(abandon.clone()),
        };
        let reply = self.peers.call(&owner.host_id, message, Instant::now() + REPORT_WAIT);
        matches!(reply, Ok(PeerMessage::Ack))
    }
}

/// Leave to run one non-idempotent request once.
pub(crate) struct ClaimTicket {
    client: Arc<ClaimClient>,
    range: u32,
    team: String,
    key: String,
    request_id: String,
}

impl ClaimTicket {
    /// Stores the answer for repeats.
    pub(crate) fn complete(self, status: u16, content_type: &str, body: Bytes) {
        let report = OutcomeReport {
            range: self.range,
            team: self.team,
            key: self.key,
            request_id: self.request_id,
            status,
            content_type: content_type.to_owned(),
            body: body.to_vec(),
            body_kept: true,
        };
        self.client.report(Report::Outcome(report));
    }

    /// Ends a claim whose request has failed. If nothing ran, the key may be
    /// used again; otherwise repeats are told what the first caller was told.
    pub(crate) fn fail(self, refusal: &Refusal, request_id: &str) {
        if refusal.verdict == Verdict::NotRun {
            return self.abandon();
        }
        let problem = serde_json::to_vec(&refusal.to_problem(request_id)).unwrap_or_default();
        self.complete(refusal.status, "application/problem+json", problem.into());
    }

    /// Gives the key back, because nothing of the request was sent.
    pub(crate) fn abandon(self) {
        let report = AbandonReport {
            range: self.range,
            team: self.team,
            key: self.key,
            request_id: self.request_id,
        };
        self.client.report(Report::Abandon(report));
    }
}
