use {
    super::{
        origin_store::{OriginBatch, OriginStore},
        shared_origins::SharedOrigins,
    },
    crate::{
        peers::PeerState,
        telemetry::{GatewayMetrics, event},
    },
    std::{
        rc::Rc,
        time::{Duration, SystemTime},
    },
    tokio::time::{sleep, timeout},
};

/// Shortest time between two appends of one host.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Shortest time between two appends of one host whose streams do not break.
const MIN_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two appends of one host for each host of the fleet, which limits these appends of the
/// whole fleet to 250 a second.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(4);
/// Pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Appends the origins of this host's streams to the log while their services have several software
/// versions.
pub(crate) async fn write_origins<S: OriginStore>(
    mut store: S,
    origins: Rc<SharedOrigins>,
    peers: Rc<PeerState>,
    metrics: Rc<GatewayMetrics>,
) {
    loop {
        sleep(MIN_PAUSE).await;
        let interval = (INTERVAL_PER_HOST * peers.fleet_hosts()).max(MIN_INTERVAL);
        // the origin of a stream that has broken may be asked for at once
        let _ = timeout(interval, origins.append_needed.notified()).await;
        let unlogged = origins.unlogged();
        if unlogged.is_empty() {
            continue;
        }
        let batch = OriginBatch { written_at: SystemTime::now(), origins: unlogged };
        let result = store.append_origins(&batch).await;
        metrics.count_store_result("origins", &result);
        match result {
            Ok(()) => origins.set_logged(&batch.origins),
            Err(error) => {
                let count = batch.origins.len();
                event!("origins_unwritten", "origins={count} reason={:?}", error.to_string());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
