use {
    crate::{
        config::EndpointInfo,
        endpoint::{HttpEngine, HttpService},
    },
    mango_wire::{EndpointKey, settings::DispatchSettings},
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

struct EndpointClient {
    address: SocketAddr,
    engine: Arc<HttpEngine>,
    service: Arc<HttpService>,
}

/// HTTP clients of the endpoints. A client is opened on first use, and again when the
/// address of its endpoint changes.
pub(crate) struct EndpointClients {
    settings: DispatchSettings,
    clients: Mutex<HashMap<EndpointKey, EndpointClient>>,
}

impl EndpointClients {
    pub(crate) fn new(settings: DispatchSettings) -> Self {
        Self { settings, clients: Mutex::default() }
    }

    /// Returns the client of an engine.
    pub(crate) fn engine(&self, endpoint: &EndpointInfo) -> Arc<HttpEngine> {
        self.with_client(endpoint, |client| client.engine.clone())
    }

    /// Returns the client of a plain service.
    pub(crate) fn service(&self, endpoint: &EndpointInfo) -> Arc<HttpService> {
        self.with_client(endpoint, |client| client.service.clone())
    }

    /// Drops the clients of endpoints that are no longer configured.
    pub(crate) fn retain(&self, is_configured: impl Fn(EndpointKey) -> bool) {
        self.clients.lock().retain(|key, _| is_configured(*key));
    }

    fn with_client<T>(&self, endpoint: &EndpointInfo, get: impl FnOnce(&EndpointClient) -> T) -> T {
        let mut clients = self.clients.lock();
        let open_client = || EndpointClient {
            address: endpoint.address,
            engine: Arc::new(HttpEngine::open(endpoint.address, &self.settings)),
            service: Arc::new(HttpService::open(endpoint.address, &self.settings)),
        };
        let client = clients.entry(endpoint.key).or_insert_with(open_client);
        if client.address != endpoint.address {
            *client = open_client();
        }
        get(client)
    }
}
