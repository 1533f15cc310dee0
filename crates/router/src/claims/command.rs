use {
    mango_wire::{
        HostId,
        peer::{AbandonReport, ClaimReply, ClaimRequest, ClaimResult, OutcomeReport},
    },
    std::time::Instant,
};

/// Called once with the answer to a claim.
pub(crate) type Reply = Box<dyn FnOnce(ClaimReply) + Send>;

/// What the writer of a key range is asked to do.
pub(crate) enum Command {
    Claim(ClaimCall),
    Outcome(OutcomeReport),
    Abandon(AbandonReport),
    HostDown(HostId),
}

/// A claim that waits for its answer.
pub(crate) struct ClaimCall {
    pub(crate) origin: HostId,
    pub(crate) request: ClaimRequest,
    pub(crate) deadline: Instant,
    pub(crate) reply: Reply,
}

impl ClaimCall {
    /// Answers without a stored outcome.
    pub(crate) fn answer(self, result: ClaimResult) {
        (self.reply)(ClaimReply {
            result,
            status: 0,
            content_type: String::new(),
            body: Vec::new(),
            body_kept: false,
        });
    }
}
