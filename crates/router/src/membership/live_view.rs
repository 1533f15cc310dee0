use {
    super::host_info::HostInfo,
    mango_wire::HostId,
    std::{collections::HashMap, sync::Arc},
};

/// Immutable snapshot of the live and the registered hosts.
#[derive(Default)]
pub(crate) struct LiveView {
    /// Live hosts, ordered by name.
    pub(crate) hosts: Arc<Vec<HostInfo>>,
    /// Registered hosts, live or not, with their identities.
    pub(crate) registered: HashMap<HostId, String>,
}

impl LiveView {
    /// Returns the host if it is live.
    pub(crate) fn live_host(&self, host: &str) -> Option<&HostInfo> {
        let index = self.hosts.binary_search_by(|info| info.host_id.as_str().cmp(host)).ok()?;
        self.hosts.get(index)
    }
}
