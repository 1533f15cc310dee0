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

/// Time for which origins are collected for one append.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Time between two appends of one host for each host of the fleet, which limits the appends of the
/// whole fleet to 250 a second.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(4);
/// Longest time between two looks at the streams of this host: a second version may have appeared.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
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
        let _ = timeout(CHECK_INTERVAL, origins.stream_began.notified()).await;
        sleep(BATCH_TIME).await;
        let unlogged = origins.unlogged();
        if unlogged.is_empty() {
            continue;
        }
        let batch = OriginBatch { written_at: SystemTime::now(), origins: unlogged };
        let result = store.append_origins(&batch).await;
        metrics.count_store_result("origins", &result);
        match result {
            Ok(()) => {
                origins.set_logged(&batch.origins);
                // the origin of a stream that has broken may be asked for at once
                let pause = INTERVAL_PER_HOST * peers.fleet_hosts();
                let _ = timeout(pause, origins.stream_broke.notified()).await;
            }
            Err(error) => {
                let count = batch.origins.len();
                event!("origins_unwritten", "origins={count} reason={:?}", error.to_string());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
