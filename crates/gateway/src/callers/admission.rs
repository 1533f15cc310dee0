//! Decides from the configuration whether a request may run, and for which team.

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

/// A request without a usable configuration is told to come back after about this time.
const CONFIG_RETRY: Duration = Duration::from_millis(600);

/// Route and team of a request that the configuration allows.
pub(crate) struct Admitted {
    pub(crate) route: Rc<Route>,
    pub(crate) team: Option<Rc<Team>>,
    pub(crate) config_version: u64,
}

pub(crate) fn admit(
    config: &ConfigState,
    refuses_unconfirmed_keys: bool,
    head: &RequestHead,
    caller: &CallerRequest,
) -> Result<Admitted, Refusal> {
    let Some(current) = config.current() else {
        return Err(Refusal::unavailable(Reason::NotReady, with_jitter(CONFIG_RETRY)));
    };
    let host_name = head.host_name().unwrap_or_default();
    let Some(route) = current.find_route(host_name, head.path()) else {
        return Err(Refusal::client_error(404, Reason::NoRoute));
    };
    let route = route.clone();
    let config_version = current.version;
    if route.is_anonymous_allowed || !current.requires_api_key() {
        return Ok(Admitted { route, team: None, config_version });
    }
    if refuses_unconfirmed_keys && !config.is_confirmed(BootInstant::now()) {
        return Err(Refusal::unavailable(Reason::LogUnavailable, with_jitter(CONFIG_RETRY)));
    }
    match caller.api_key.as_deref().and_then(|key| current.find_team_by_key(key)) {
        Some(team) => Ok(Admitted { route, team: Some(team.clone()), config_version }),
        None => Err(Refusal::client_error(401, Reason::UnknownTeam)),
    }
}

/// Checks right before a send that the key still holds: the request may have
/// waited, or the host may have been suspended, since it was admitted.
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
        return Err(Refusal::unavailable(Reason::LogUnavailable, with_jitter(CONFIG_RETRY)));
    }
    let is_known = config.current().is_some_and(|current| {
        caller.api_key.as_deref().is_some_and(|key| current.find_team_by_key(key).is_some())
    });
    if is_known { Ok(()) } else { Err(Refusal::client_error(401, Reason::UnknownTeam)) }
}

/// Spreads the returns of callers that are refused together.
pub(crate) fn with_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
