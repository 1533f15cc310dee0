//! Admission of requests: finds the route of a request and authenticates its team.

use {
    super::{caller_request::CallerRequest, refusal::Refusal},
    crate::{
        clock::BootInstant,
        config::{ConfigState, Route, Team},
        http1::RequestHead,
    },
    mango_wire::Reason,
    rand::RngExt,
    std::{rc::Rc, time::Duration},
};

/// Mean `Retry-After` time while there is no configuration or the store has not confirmed
/// it recently.
const MEAN_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Route and team of a request that the configuration allows.
pub(crate) struct Admission {
    pub(crate) route: Rc<Route>,
    /// `None` if the request needs no API key.
    pub(crate) team: Option<Rc<Team>>,
    /// Version of the configuration that allowed the request.
    pub(crate) config_version: u64,
}

/// Checks that a request has a route and, if the route needs one, a valid API key.
pub(crate) fn admit(
    config: &ConfigState,
    refuses_unconfirmed_keys: bool,
    head: &RequestHead,
    caller: &CallerRequest,
) -> Result<Admission, Refusal> {
    let Some(current) = config.current() else {
        return Err(Refusal::unavailable(Reason::NotReady, with_jitter(MEAN_CONFIG_RETRY_AFTER)));
    };
    let host_name = head.host_name().unwrap_or_default();
    let Some(route) = current.find_route(host_name, head.path()) else {
        return Err(Refusal::client_error(404, Reason::NoRoute));
    };
    let route = route.clone();
    let config_version = current.version;
    if route.is_anonymous_allowed || !current.requires_api_key() {
        return Ok(Admission { route, team: None, config_version });
    }
    if refuses_unconfirmed_keys && !config.is_confirmed(BootInstant::now()) {
        return Err(Refusal::unavailable(
            Reason::LogUnavailable,
            with_jitter(MEAN_CONFIG_RETRY_AFTER),
        ));
    }
    match caller.api_key.as_deref().and_then(|key| current.find_team_by_key(key)) {
        Some(team) => Ok(Admission { route, team: Some(team.clone()), config_version }),
        None => Err(Refusal::client_error(401, Reason::UnknownTeam)),
    }
}

/// Checks directly before a send that the API key is still valid. Since admission, the request
/// may have waited or the host may have been suspended.
pub(crate) fn recheck_api_key(
    config: &ConfigState,
    refuses_unconfirmed_keys: bool,
    caller: &CallerRequest,
    needs_key: bool,
) -> Result<(), Refusal> {
    if !needs_key {
        return Ok(());
    }
    if refuses_unconfirmed_keys && !config.is_confirmed(BootInstant::now()) {
        return Err(Refusal::unavailable(
            Reason::LogUnavailable,
            with_jitter(MEAN_CONFIG_RETRY_AFTER),
        ));
    }
    let is_valid = config.current().is_some_and(|current| {
        caller.api_key.as_deref().is_some_and(|key| current.find_team_by_key(key).is_some())
    });
    if is_valid { Ok(()) } else { Err(Refusal::client_error(401, Reason::UnknownTeam)) }
}

/// Multiplies a mean delay by a random factor, so that callers that are refused at the same
/// time do not all retry at the same time.
pub(crate) fn with_jitter(mean_delay: Duration) -> Duration {
    mean_delay.mul_f64(rand::rng().random_range(0.5..1.5))
}
