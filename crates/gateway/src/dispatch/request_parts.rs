use {
    super::{
        crash_checks::{BrokenRequest, CrashChecks},
        failure::FailureCause,
        stream_progress::StreamProgress,
    },
    crate::{
        blocklist::{BlockedPart, PartKey, TeamHash},
        callers::AdmittedRequest,
        endpoints::Endpoint,
        server::Gateway,
    },
    std::{fmt, rc::Rc},
};

/// The shared parts of the prompt of one request, by which crashes of endpoints are traced.
pub(super) struct RequestParts<'a> {
    keys: &'a [PartKey],
    team: TeamHash,
    /// Whether the request finds out if a blocked part still crashes endpoints.
    is_probe: bool,
}

impl<'a> RequestParts<'a> {
    pub(super) fn new(request: &'a AdmittedRequest) -> RequestParts<'a> {
        RequestParts { keys: &request.part_keys, team: request.team_hash(), is_probe: false }
    }

    /// Decides at the arrival of the request whether it may be sent.
    pub(super) fn admit<P>(&mut self, gateway: &Gateway<P>) -> Result<(), BlockedPart> {
        let fleet_hosts = gateway.peers.hosts_sharing_limits().unwrap_or(u32::MAX);
        let pass = gateway.blocklist.admit(self.keys, self.team, fleet_hosts)?;
        self.is_probe = pass.is_probe;
        Ok(())
    }

    /// Decides directly before a send whether the request may still be sent.
    pub(super) fn recheck<P>(
        &self,
        gateway: &Gateway<P>,
        is_first_send: bool,
    ) -> Result<(), BlockedPart> {
        // a probe is sent once
        if self.is_probe && is_first_send {
            return Ok(());
        }
        gateway.blocklist.recheck(self.keys, self.team)
    }

    /// Has the endpoint of a broken send checked for a crash, unless the request had begun its
    /// response: then it is not to blame.
    pub(super) fn check_for_crash<P>(
        &self,
        gateway: &Gateway<P>,
        cause: FailureCause,
        progress: &StreamProgress,
        endpoint: &Rc<Endpoint>,
    ) {
        let is_broken = matches!(cause, FailureCause::ConnectionBroken | FailureCause::Truncated);
        let has_begun = progress.has_begun_send || progress.has_started;
        if !is_broken || has_begun || self.keys.is_empty() {
            return;
        }
        let broken = BrokenRequest { parts: self.keys.to_vec(), team: self.team };
        CrashChecks::add(&gateway.crash_checks, broken, endpoint, &gateway.blocklist);
    }
}

impl fmt::Display for RequestParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys: Vec<String> = self.keys.iter().map(|key| format!("{key:016x}")).collect();
        f.write_str(if keys.is_empty() { "-" } else { "" })?;
        f.write_str(&keys.join(","))
    }
}
