use {
    anyhow::{Context, ensure},
    mango_wire::{
        platform::{HostEntry, HostList},
        settings::PlatformSettings,
    },
    std::time::Duration,
    ureq::Agent,
};

// 350 hosts need about 40 KB
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;

/// Client of the platform's host list, which lags behind the actual hosts.
#[derive(Clone)]
pub(crate) struct HostListClient {
    agent: Agent,
    url: String,
}

impl HostListClient {
    /// Opens a client. Connections are made on the first call.
    pub(crate) fn open(settings: &PlatformSettings) -> Self {
        let agent = Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(settings.request_ms.into())))
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self { agent, url: format!("{}/hosts", settings.host_list_url.trim_end_matches('/')) }
    }

    /// Reads the list; fails after `request_ms` without a complete response.
    pub(crate) fn read(&self) -> anyhow::Result<Vec<HostEntry>> {
        let mut response =
            self.agent.get(&self.url).call().context("cannot request the host list")?;
        ensure!(
            response.status() == 200,
            "request for the host list returned status {}",
            response.status()
        );
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string()
            .context("cannot read the host list")?;
        let list: HostList = serde_json::from_str(&text).context("cannot parse the host list")?;
        Ok(list.hosts)
    }
}
