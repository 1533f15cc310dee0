use {
    super::{refusal::Refusal, request_context::RequestContext},
    crate::{
        claims::ClaimService,
        ownership::{Ownership, ResourceId},
        peer::PeerNet,
        router::RouterClaims,
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
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit for the owner's acknowledgement of a report; the report is then sent again.
const REPORT_ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a report that no owner has acknowledged is dropped. Repeats of the
/// request then get the verdict `may_have_run`, which is still correct.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);
/// Interval at which the delivery thread checks whether it is to end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a planned stop checks whether all reports are delivered.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of reports that wait for delivery.
const REPORT_QUEUE_CAPACITY: usize = 4096;

/// Outcome of claiming a request that may not be repeated.
pub(crate) enum ClaimDecision {
    /// The request may run now.
    Granted(GrantedClaim),
    /// The request ran before; this is its stored answer.
    Stored { status: u16, content_type: String, body: Bytes },
}

/// Report of how a claim has ended, for the owner of its key range.
enum Report {
    Outcome(OutcomeReport),
    Abandon(AbandonReport),
}

struct QueuedReport {
    report: Report,
    expires_at: Instant,
}

/// Claims requests at the owners of the key ranges of their idempotency keys, and reports
/// the outcomes to these owners.
pub(crate) struct ClaimClient {
    host_id: HostId,
    key_ranges: u32,
    claims: Arc<RouterClaims>,
    ownership: Arc<Ownership>,
    peers: PeerNet,
    reports: Sender<QueuedReport>,
    /// Number of reports that are neither delivered nor dropped yet.
    undelivered: AtomicUsize,
    stopped: AtomicBool,
}

impl ClaimClient {
    /// Creates the client and starts the thread that delivers its reports.
    pub(crate) fn spawn(
        host_id: HostId,
        key_ranges: u32,
        claims: Arc<RouterClaims>,
        ownership: Arc<Ownership>,
        peers: PeerNet,
    ) -> std::io::Result<Arc<Self>> {
        let (reports, queue) = bounded(REPORT_QUEUE_CAPACITY);
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
        let delivery_client = client.clone();
        thread::Builder::new()
            .name("claim-reports".to_owned())
            .spawn(move || delivery_client.deliver_reports(&queue))?;
        Ok(client)
    }

    /// Claims the request under its idempotency key. Tries again until the request's deadline
    /// while the key range has no reachable owner.
    pub(crate) fn claim(
        self: &Arc<Self>,
        context: &RequestContext,
        key: &str,
    ) -> Result<ClaimDecision, Refusal> {
        let range = key_range(&context.team.id, key, self.key_ranges);
        loop {
            let reply = self.request_claim(range, context, key);
            match reply {
                Some(reply) if reply.result != ClaimResult::NotOwner => {
                    return self.to_decision(range, context, key, reply);
                }
                _ if Instant::now() + OWNER_RETRY_DELAY >= context.deadline => {
                    // the owner may have recorded a claim whose answer was lost
                    self.queue_report(Report::Abandon(AbandonReport {
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
                _ => thread::sleep(OWNER_RETRY_DELAY),
            }
        }
    }

    /// Sends one claim request to the owner of the range; `None` if there is no owner or no
    /// answer.
    fn request_claim(&self, range: u32, context: &RequestContext, key: &str) -> Option<ClaimReply> {
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
                // fails if the receiver was dropped at the request's deadline
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

    fn to_decision(
        self: &Arc<Self>,
        range: u32,
        context: &RequestContext,
        key: &str,
        reply: ClaimReply,
    ) -> Result<ClaimDecision, Refusal> {
        let refuse = |verdict, reason, detail: &str| Err(Refusal::new(verdict, reason, detail));
        match reply.result {
            ClaimResult::Granted => Ok(ClaimDecision::Granted(GrantedClaim {
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

    /// Waits until all reports are delivered or dropped. A planned stop calls this before the
    /// host leaves, since owners record the outcome of claims that a host left open as
    /// unknown. Returns `false` if the deadline passes first.
    pub(crate) fn wait_for_delivery(&self, deadline: Instant) -> bool {
        while self.undelivered.load(Ordering::Acquire) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(DELIVERY_POLL_INTERVAL);
        }
        true
    }

    /// Stops the thread that delivers reports.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    fn queue_report(&self, report: Report) {
        let expires_at = Instant::now() + REPORT_LIFETIME;
        self.undelivered.fetch_add(1, Ordering::AcqRel);
        self.enqueue(QueuedReport { report, expires_at });
    }

    fn enqueue(&self, report: QueuedReport) {
        if self.reports.try_send(report).is_err() {
            self.undelivered.fetch_sub(1, Ordering::AcqRel);
            log::warn!("event=claim_report_dropped reason=queue_full");
        }
    }

    fn deliver_reports(&self, queue: &Receiver<QueuedReport>) {
        while !self.stopped.load(Ordering::Acquire) {
            let Ok(queued) = queue.recv_timeout(STOP_CHECK_INTERVAL) else { continue };
            if self.deliver(&queued.report) {
                self.undelivered.fetch_sub(1, Ordering::AcqRel);
                continue;
            }
            if Instant::now() >= queued.expires_at {
                self.undelivered.fetch_sub(1, Ordering::AcqRel);
                log::warn!("event=claim_report_dropped reason=no_owner");
                continue;
            }
            thread::sleep(OWNER_RETRY_DELAY);
            self.enqueue(queued);
        }
    }

    /// Delivers one report to the current owner of its range. Returns `false` if there is no
    /// owner or it did not acknowledge the report in time.
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
        let reply = self.peers.call(&owner.host_id, message, Instant::now() + REPORT_ACK_TIMEOUT);
        matches!(reply, Ok(PeerMessage::Ack))
    }
}

/// A granted claim: the permission to run one request that may not be repeated.
pub(crate) struct GrantedClaim {
    client: Arc<ClaimClient>,
    range: u32,
    team: String,
    key: String,
    request_id: String,
}

impl GrantedClaim {
    /// Ends the claim of a request that has completed. The owner stores the answer for
    /// repeats.
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
        self.client.queue_report(Report::Outcome(report));
    }

    /// Ends the claim of a request that has failed. If nothing ran, the key may be used
    /// again; otherwise repeats get the same refusal as the first caller.
    pub(crate) fn fail(self, refusal: &Refusal, request_id: &str) {
        if refusal.verdict == Verdict::NotRun {
            return self.abandon();
        }
        let problem = serde_json::to_vec(&refusal.to_problem(request_id)).unwrap_or_default();
        self.complete(refusal.status, "application/problem+json", problem.into());
    }

    /// Releases the key, because the request did not run.
    pub(crate) fn abandon(self) {
        let report = AbandonReport {
            range: self.range,
            team: self.team,
            key: self.key,
            request_id: self.request_id,
        };
        self.client.queue_report(Report::Abandon(report));
    }
}
