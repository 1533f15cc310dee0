use {
    super::{engine_watch::EngineWatch, parts::Parts},
    crate::config::{Config, EndpointInfo},
    crossbeam::channel::{Sender, bounded},
    mango_wire::{
        EndpointKey,
        config::EndpointKind,
        settings::{AdmissionSettings, Policy},
    },
    std::{collections::HashMap, net::SocketAddr, thread},
};

struct Watched {
    address: SocketAddr,
    owned: bool,
    _stop: Sender<()>,
}

/// The watches of the engines that this host owns. With a baseline policy all
/// engines are watched, because every router then decides by load reports.
#[derive(Default)]
pub(crate) struct EngineWatches {
    watched: HashMap<EndpointKey, Watched>,
}

impl EngineWatches {
    /// Starts and ends watches as the configuration and the ownership say.
    pub(crate) fn update(&mut self, parts: &Parts, config: &Config, settings: &AdmissionSettings) {
        let watch_all = settings.policy != Policy::Owner;
        let engines = config.endpoints().filter(|e| e.kind == EndpointKind::Engine);
        let mut wanted: HashMap<EndpointKey, (&EndpointInfo, bool)> = HashMap::new();
        for endpoint in engines {
            let owned = parts.owns_engine(endpoint.key);
            if owned || watch_all {
                wanted.insert(endpoint.key, (endpoint, owned));
            }
        }
        self.watched.retain(|key, watched| {
            wanted.get(key).is_some_and(|(endpoint, owned)| {
                endpoint.address == watched.address && *owned == watched.owned
            })
        });
        for (key, (endpoint, owned)) in wanted {
            if !self.watched.contains_key(&key) {
                self.start(parts, endpoint, owned);
            }
        }
    }

    fn start(&mut self, parts: &Parts, endpoint: &EndpointInfo, owned: bool) {
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
                let watched = Watched { address: endpoint.address, owned, _stop: stop };
                self.watched.insert(endpoint.key, watched);
            }
            Err(e) => log::warn!("event=engine_watch_not_started error={e:?}"),
        }
    }
}
