use {
    super::caller_request::CallerRequest,
    crate::{clock::BootInstant, config::Route, http1::RequestHead},
    std::{rc::Rc, time::Duration},
};

/// A whole request that the configuration allows.
pub(crate) struct AdmittedRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) caller: CallerRequest,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Rc<str>,
    pub(crate) team: Option<Rc<str>>,
    pub(crate) priority: u8,
    pub(crate) received_at: BootInstant,
    /// The caller waits, and the route allows it, until then.
    pub(crate) deadline: BootInstant,
    /// Version of the configuration that admitted the request.
    pub(crate) config_version: u64,
}

impl AdmittedRequest {
    /// Time left until the deadline, also counting a suspension of the host.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(BootInstant::now())
    }

    pub(crate) fn elapsed(&self) -> Duration {
        BootInstant::now().saturating_duration_since(self.received_at)
    }
}
