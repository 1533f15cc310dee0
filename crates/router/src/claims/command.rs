use {
    mango_wire::{
        HostId,
        peer::{AbandonReport, ClaimReply, ClaimRequest, ClaimResult, OutcomeReport},
    },
    std::time::Instant,
};

/// Callback that is called once with the answer to a claim.
pub(crate) type ReplyCallback = Box<dyn FnOnce(ClaimReply) + Send>;

/// Command to the writer thread of a key range.
pub(crate) enum Command {
    Claim(ClaimCall),
    /// A granted request was answered, or failed and may have run.
    Outcome(OutcomeReport),
    /// Nothing of the request was sent, so its key may be used again.
    Abandon(AbandonReport),
    /// The host was declared dead.
    HostDown(HostId),
}

/// A claim request with the callback that receives its answer.
pub(crate) struct ClaimCall {
    /// Host that received the request from its caller.
    pub(crate) origin: HostId,
    pub(crate) request: ClaimRequest,
    pub(crate) deadline: Instant,
    pub(crate) reply: ReplyCallback,
}

impl ClaimCall {
    /// Answers with a result that carries no stored outcome.
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
