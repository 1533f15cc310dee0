use {
    super::permit_client::PermitReporter,
    mango_wire::peer::{Grant, Progress, Release, ReleaseOutcome},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Permission of an endpoint's owner to run one request on the endpoint. Dropping it
/// releases it at the owner.
pub(crate) struct Permit {
    pub(crate) grant: Grant,
    /// Time by which the request must be sent to the endpoint.
    pub(crate) dispatch_deadline: Instant,
    reporter: Arc<PermitReporter>,
    /// Message that is sent to the owner when the permit is dropped.
    release: Release,
}

impl Permit {
    pub(crate) fn new(
        grant: Grant,
        dispatch_deadline: Instant,
        reporter: Arc<PermitReporter>,
    ) -> Self {
        let release = Release {
            permit: grant.permit,
            endpoint: grant.endpoint,
            outcome: ReleaseOutcome::Unused,
            first_token_ms: 0,
            tokens: 0,
            gap_us: 0,
        };
        Self { grant, dispatch_deadline, reporter, release }
    }

    /// Whether the request may still be sent.
    pub(crate) fn is_valid(&self) -> bool {
        Instant::now() < self.dispatch_deadline
    }

    /// Time at which a progress report must confirm to the owner that the permit is in use,
    /// unless the report of the first token has done so. The owner frees permits whose use
    /// is not confirmed.
    pub(crate) fn confirm_at(&self) -> Instant {
        self.dispatch_deadline - Duration::from_millis(u64::from(self.grant.dispatch_within_ms) / 2)
    }

    pub(crate) fn set_outcome(&mut self, outcome: ReleaseOutcome) {
        self.release.outcome = outcome;
    }

    /// Sets the measurements that progress reports and the release contain.
    pub(crate) fn set_measurements(&mut self, first_token_ms: u32, tokens: u32, gap_us: u32) {
        self.release.first_token_ms = first_token_ms;
        self.release.tokens = tokens;
        self.release.gap_us = gap_us;
    }

    pub(crate) fn first_token_ms(&self) -> u32 {
        self.release.first_token_ms
    }

    /// Sends a progress report to the owner.
    pub(crate) fn report_progress(&self) {
        self.reporter.send_progress(Progress {
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
        self.reporter.send_release(self.release.clone());
    }
}
