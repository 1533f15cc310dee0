use {
    super::{engine_watch::EngineWatch, router_parts::RouterParts},
    crate::config::{Config, EndpointInfo},
    crossbeam::channel::{Sender, bounded},
    mango_wire::{
        EndpointKey,
        config::EndpointKind,
        settings::{AdmissionSettings, Policy},
    },
    std::{collections::HashMap, net::SocketAddr, thread},
};

/// A running watch. It ends when this value is dropped.
struct RunningWatch {
    address: SocketAddr,
    owned: bool,
    _stop: Sender<()>,
}

/// The running watches, one for each engine that this host owns. With a policy other than
/// `owner` all engines are watched, because every router then places requests by the load
/// reports of the engines.
#[derive(Default)]
pub(crate) struct EngineWatches {
    watches: HashMap<EndpointKey, RunningWatch>,
}

impl EngineWatches {
    /// Starts and ends watches after a change of the configuration or of the ownership.
    pub(crate) fn update(
        &mut self,
        parts: &RouterParts,
        config: &Config,
        settings: &AdmissionSettings,
    ) {
        let watch_all = settings.policy != Policy::Owner;
        let engines = config.endpoints().filter(|e| e.kind == EndpointKind::Engine);
        let mut wanted: HashMap<EndpointKey, (&EndpointInfo, bool)> = HashMap::new();
        for endpoint in engines {
            let owned = parts.owns_engine(endpoint.key);
            if owned || watch_all {
                wanted.insert(endpoint.key, (endpoint, owned));
            }
        }
        self.watches.retain(|key, watch| {
            wanted.get(key).is_some_and(|(endpoint, owned)| {
                endpoint.address == watch.address && *owned == watch.owned
            })
        });
        for (key, (endpoint, owned)) in wanted {
            if !self.watches.contains_key(&key) {
                self.start(parts, endpoint, owned);
            }
        }
    }

    fn start(&mut self, parts: &RouterParts, endpoint: &EndpointInfo, owned: bool) {
        let (stop, stopped) = bounded(0);
        let watch = EngineWatch {
            endpoint: endpoint.key,
            id: endpoint.id.clone(),
            engine: parts.endpoints.engine(endpoint),
            admission: parts.admission.clone(),
            planner: parts.planner.clone(),
            orders: parts.orders.clone(),
            kv_mover: parts.kv_mover.clone(),
            stop: stopped,
            owned,
        };
        let spawned =
            thread::Builder::new().name("engine-watch".to_owned()).spawn(move || watch.run());
        match spawned {
            Ok(_) => {
                let watch = RunningWatch { address: endpoint.address, owned, _stop: stop };
                self.watches.insert(endpoint.key, watch);
            }
            Err(e) => log::warn!("event=engine_watch_not_started error={e:?}"),
        }
    }
}
