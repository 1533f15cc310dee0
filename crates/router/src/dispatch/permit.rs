use {
    super::permit_client::PermitReleaser,
    mango_wire::peer::{Grant, Progress, Release, ReleaseOutcome},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Leave to run one request on an endpoint. Released when it is dropped.
pub(crate) struct Permit {
    pub(crate) grant: Grant,
    /// A permit that was not used by then is void.
    pub(crate) dispatch_deadline: Instant,
    releaser: Arc<PermitReleaser>,
    release: Release,
}

impl Permit {
    pub(crate) fn new(
        grant: Grant,
        dispatch_deadline: Instant,
        releaser: Arc<PermitReleaser>,
    ) -> Self {
        let release = Release {
            permit: grant.permit,
            endpoint: grant.endpoint,
            outcome: ReleaseOutcome::Unused,
            first_token_ms: 0,
            tokens: 0,
            gap_us: 0,
        };
        Self { grant, dispatch_deadline, releaser, release }
    }

    /// Whether the permit may still be used now.
    pub(crate) fn is_valid(&self) -> bool {
        Instant::now() < self.dispatch_deadline
    }

    /// When the owner is to be told that the permit is used, unless a first token
    /// tells it. An owner frees permits that it does not hear of.
    pub(crate) fn confirm_at(&self) -> Instant {
        self.dispatch_deadline - Duration::from_millis(u64::from(self.grant.dispatch_within_ms) / 2)
    }

    pub(crate) fn set_outcome(&mut self, outcome: ReleaseOutcome) {
        self.release.outcome = outcome;
    }

    /// Records what was measured, for the release.
    pub(crate) fn measure(&mut self, first_token_ms: u32, tokens: u32, gap_us: u32) {
        self.release.first_token_ms = first_token_ms;
        self.release.tokens = tokens;
        self.release.gap_us = gap_us;
    }

    pub(crate) fn first_token_ms(&self) -> u32 {
        self.release.first_token_ms
    }

    /// Tells the owner how far the request is.
    pub(crate) fn report_progress(&self) {
        self.releaser.progress(Progress {
            permit: self.release.permit,
            endpoint: self.release.endpoint,
            first_token_ms: self.release.first_token_ms,
            tokens: self.release.tokens,
            gap_us: self.release.gap_us,
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.releaser.release(self.release.clone());
    }
}
