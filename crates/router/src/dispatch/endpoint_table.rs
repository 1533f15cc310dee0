use {
    crate::{
        config::EndpointInfo,
        endpoint::{HttpEngine, HttpService},
    },
    mango_wire::{EndpointKey, settings::DispatchSettings},
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

struct Entry {
    address: SocketAddr,
    engine: Arc<HttpEngine>,
    service: Arc<HttpService>,
}

/// Clients of the endpoints, opened on first use and again when an endpoint's
/// address changes.
pub(crate) struct EndpointTable {
    settings: DispatchSettings,
    entries: Mutex<HashMap<EndpointKey, Entry>>,
}

impl EndpointTable {
    pub(crate) fn new(settings: DispatchSettings) -> Self {
        Self { settings, entries: Mutex::default() }
    }

    pub(crate) fn engine(&self, endpoint: &EndpointInfo) -> Arc<HttpEngine> {
        self.with_entry(endpoint, |entry| entry.engine.clone())
    }

    pub(crate) fn service(&self, endpoint: &EndpointInfo) -> Arc<HttpService> {
        self.with_entry(endpoint, |entry| entry.service.clone())
    }

    /// Closes the clients of endpoints that are no longer configured.
    pub(crate) fn retain(&self, is_configured: impl Fn(EndpointKey) -> bool) {
        self.entries.lock().retain(|key, _| is_configured(*key));
    }

    fn with_entry<T>(&self, endpoint: &EndpointInfo, get: impl FnOnce(&Entry) -> T) -> T {
        let mut entries = self.entries.lock();
        let open = || Entry {
            address: endpoint.address,
            engine: Arc::new(HttpEngine::open(endpoint.address, &self.settings)),
            service: Arc::new(HttpService::open(endpoint.address, &self.settings)),
        };
        let entry = entries.entry(endpoint.key).or_insert_with(open);
        if entry.address != endpoint.address {
            *entry = open();
        }
        get(entry)
    }
}
