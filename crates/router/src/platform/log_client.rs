use {
    super::{log_error::LogError, log_metrics::LogMetrics},
    crate::metrics::Metrics,
    mango_wire::{
        Offset,
        platform::{AppendReply, ReadReply},
        settings::PlatformSettings,
    },
    std::time::{Duration, Instant},
    ureq::{Agent, Error, http::Response},
};

/// Client of the platform's append-only log.
#[derive(Clone)]
pub(crate) struct LogClient {
    agent: Agent,
    base_url: String,
    max_response_bytes: u64,
    metrics: LogMetrics,
}

impl LogClient {
    /// Opens a client. Connections are made on the first call.
    pub(crate) fn open(settings: &PlatformSettings, metrics: &Metrics) -> Self {
        let agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
        Self {
            agent,
            base_url: settings.log_url.trim_end_matches('/').to_owned(),
            // a response may hold several records, and JSON escapes some of their bytes
            max_response_bytes: u64::from(settings.max_record_bytes) * 4,
            metrics: LogMetrics::register(metrics),
        }
    }

    /// Appends one record and returns its offset.
    pub(crate) fn append(
        &self,
        stream: &str,
        body: &str,
        deadline: Instant,
    ) -> Result<Offset, LogError> {
        self.metrics.appends.inc();
        self.metrics.sent_bytes.inc_by(body.len() as u64);
        let result = self.try_append(stream, body, deadline);
        self.metrics.unreachable.set(i64::from(result.is_err()));
        if result.is_err() {
            self.metrics.append_failures.inc();
        }
        result
    }

    fn try_append(&self, stream: &str, body: &str, deadline: Instant) -> Result<Offset, LogError> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let mut response = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(remaining_time(deadline)?))
            .build()
            .send(body)
            .map_err(classify_append_error)?;
        match response.status().as_u16() {
            200 => {
                let reply: AppendReply = self.parse(&mut response).map_err(LogError::Unknown)?;
                Ok(reply.offset)
            }
            // with these statuses the log refused the append; other failures may
            // happen after it applied the append
            status @ (400..=499 | 503) => Err(LogError::NotApplied(format!("status {status}"))),
            status => Err(LogError::Unknown(format!("status {status}"))),
        }
    }

    /// Reads records of one stream from the offset `from`. Waits up to `wait` for
    /// the first record; an empty response confirms that there was none.
    pub(crate) fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ReadReply, LogError> {
        self.metrics.reads.inc();
        let result = self.try_read(stream, from, wait, deadline);
        self.metrics.unreachable.set(i64::from(result.is_err()));
        if result.is_err() {
            self.metrics.read_failures.inc();
        }
        result
    }

    fn try_read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ReadReply, LogError> {
        let wait_ms = wait.as_millis();
        let url =
            format!("{}/streams/{stream}/records?from={from}&wait_ms={wait_ms}", self.base_url);
        let mut response = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(remaining_time(deadline)?))
            .build()
            .call()
            .map_err(|e| LogError::NotApplied(e.to_string()))?;
        if response.status() != 200 {
            return Err(LogError::NotApplied(format!("status {}", response.status())));
        }
        self.parse(&mut response).map_err(LogError::NotApplied)
    }

    fn parse<T: serde::de::DeserializeOwned>(
        &self,
        response: &mut Response<ureq::Body>,
    ) -> Result<T, String> {
        let text = response
            .body_mut()
            .with_config()
            .limit(self.max_response_bytes)
            .read_to_string()
            .map_err(|e| e.to_string())?;
        self.metrics.received_bytes.inc_by(text.len() as u64);
        serde_json::from_str(&text).map_err(|e| e.to_string())
    }
}

fn remaining_time(deadline: Instant) -> Result<Duration, LogError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(LogError::NotApplied("deadline passed".to_owned()));
    }
    Ok(remaining)
}

fn classify_append_error(error: Error) -> LogError {
    match error {
        Error::ConnectionFailed | Error::HostNotFound => LogError::NotApplied(error.to_string()),
        Error::Io(ref e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            LogError::NotApplied(error.to_string())
        }
        _ => LogError::Unknown(error.to_string()),
    }
}
