use {
    crate::failure::Failure,
    mango_config::{ApiError, ChangeReply, ConfigListing, Explanation, HistoryListing},
    mango_wire::config::{Change, ObjectKind},
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::time::Duration,
    ureq::{Agent, Body, http::Response},
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// HTTP client of the operator API of one router.
pub(crate) struct Client {
    agent: Agent,
    router: String,
    authorization: String,
}

impl Client {
    pub(crate) fn new(router: &str, token: &str) -> Result<Self, Failure> {
        if !router.starts_with("http://") {
            return Err(Failure::Usage(format!("router {router:?}: expected http://ADDRESS:PORT")));
        }
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .build()
            .new_agent();
        Ok(Self {
            agent,
            router: router.trim_end_matches('/').to_owned(),
            authorization: format!("Bearer {token}"),
        })
    }

    pub(crate) fn listing(
        &self,
        kind: Option<ObjectKind>,
        id: Option<&str>,
    ) -> Result<ConfigListing, Failure> {
        let kind = kind.map(|kind| kind.to_string());
        self.get("config", &[("kind", kind.as_deref()), ("id", id)])
    }

    /// Publishes a change. With `wait_ms`, the router replies once all live members
    /// confirmed the change, or after that time.
    pub(crate) fn change(
        &self,
        change: &Change,
        wait_ms: Option<u32>,
    ) -> Result<ChangeReply, Failure> {
        let body = serde_json::to_string(change).map_err(|e| Failure::Usage(e.to_string()))?;
        let wait = Duration::from_millis(u64::from(wait_ms.unwrap_or(0)));
        let mut request = self
            .agent
            .post(self.url("config"))
            .header("Authorization", &self.authorization)
            .content_type("application/json");
        if let Some(ms) = wait_ms {
            request = request.query("wait_ms", ms.to_string());
        }
        let response = request
            .config()
            .timeout_global(Some(REQUEST_TIMEOUT + wait))
            .build()
            .send(&body)
            .map_err(|e| self.unreachable(&e))?;
        self.parse(response)
    }

    pub(crate) fn explain(
        &self,
        team: &str,
        work: &str,
        service: Option<&str>,
        chat: Option<&str>,
    ) -> Result<Explanation, Failure> {
        let query =
            [("team", Some(team)), ("work", Some(work)), ("service", service), ("chat", chat)];
        self.get("explain", &query)
    }

    /// Asks a router on the users' platform how it routes a request with this host name,
    /// path and hash of the prompt's prefix.
    pub(crate) fn explain_request(
        &self,
        host_name: &str,
        path: &str,
        prefix: Option<&str>,
    ) -> Result<Value, Failure> {
        self.get("explain", &[("host", Some(host_name)), ("path", Some(path)), ("prefix", prefix)])
    }

    pub(crate) fn history(&self, limit: u32) -> Result<HistoryListing, Failure> {
        self.get("history", &[("limit", Some(&limit.to_string()))])
    }

    pub(crate) fn state(&self) -> Result<Value, Failure> {
        self.get("state", &[])
    }

    pub(crate) fn drain(&self) -> Result<Value, Failure> {
        let response = self
            .agent
            .post(self.url("drain"))
            .header("Authorization", &self.authorization)
            .config()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build()
            .send_empty()
            .map_err(|e| self.unreachable(&e))?;
        self.parse(response)
    }

    fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, Option<&str>)],
    ) -> Result<T, Failure> {
        let mut request =
            self.agent.get(self.url(path)).header("Authorization", &self.authorization);
        for (name, value) in query {
            if let Some(value) = value {
                request = request.query(name, value);
            }
        }
        let response = request
            .config()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build()
            .call()
            .map_err(|e| self.unreachable(&e))?;
        self.parse(response)
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.router)
    }

    fn unreachable(&self, error: &ureq::Error) -> Failure {
        Failure::Unreachable(format!("{}: {error}", self.router))
    }

    fn parse<T: DeserializeOwned>(&self, mut response: Response<Body>) -> Result<T, Failure> {
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string()
            .map_err(|e| self.unreachable(&e))?;
        if (200..300).contains(&status) {
            return serde_json::from_str(&text).map_err(|e| {
                Failure::Unreachable(format!("{}: unexpected response body: {e}", self.router))
            });
        }
        match serde_json::from_str::<ApiError>(&text) {
            Ok(error) if error.reason == "outcome_unknown" => {
                Err(Failure::Unreachable(error.detail))
            }
            Ok(ApiError { rejection: Some(rejection), .. }) => {
                Err(Failure::Refused(format!("rejected: {rejection}")))
            }
            Ok(error) => Err(Failure::Refused(format!("{}: {}", error.reason, error.detail))),
            Err(_) => Err(Failure::Refused(format!("{}: status {status}", self.router))),
        }
    }
}
