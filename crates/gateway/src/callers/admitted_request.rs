use {
    super::{caller_request::CallerRequest, request_body::RequestBody},
    crate::{
        blocklist::{PartKey, TeamHash, team_hash},
        clock::BootInstant,
        config::{RequestKind, Route},
        http1::RequestHead,
        stream_origins::{StreamKey, stream_key},
    },
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// A completely received request that passed admission.
pub(crate) struct AdmittedRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    pub(crate) caller: CallerRequest,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Rc<str>,
    pub(crate) team: Option<Rc<str>>,
    /// The shared parts of the prompt, by which endpoints that crash are traced to them.
    pub(crate) part_keys: Vec<PartKey>,
    pub(crate) priority: u8,
    pub(crate) received_at: BootInstant,
    /// Time by which the response must be complete: the earlier of the caller's and the
    /// route's limit.
    pub(crate) deadline: BootInstant,
    /// Version of the configuration that admitted the request.
    pub(crate) config_version: u64,
    /// Whether any part of the request may have reached an endpoint.
    pub(crate) has_been_sent: Cell<bool>,
}

impl AdmittedRequest {
    /// The stream that the request begins or goes on with; `None` if the caller goes on with one
    /// and does not say which.
    pub(crate) fn stream(&self) -> Option<StreamKey> {
        self.caller.first_request().map(|id| stream_key(&self.service, id))
    }

    /// Whether the request goes on with a stream of an earlier one.
    pub(crate) fn takes_up_stream(&self) -> bool {
        self.route.kind == RequestKind::Streaming && self.caller.last_event_id.is_some()
    }

    /// Time left until the deadline. Time during which the host was suspended counts as
    /// elapsed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(BootInstant::now())
    }

    pub(crate) fn team_hash(&self) -> TeamHash {
        team_hash(self.team.as_deref())
    }

    /// Time since the request head was received, including time during which the host was
    /// suspended.
    pub(crate) fn elapsed(&self) -> Duration {
        BootInstant::now().saturating_duration_since(self.received_at)
    }
}
