use {
    super::{
        host_registry::{HostListing, HostRegistry, RegistryError},
        peer_state::PeerState,
    },
    crate::telemetry::event,
    rand::RngExt,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Mean pause after a failed call to the registry.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// Publishes this host's address in the registry and reads the other hosts' addresses.
/// This host's record is written first: of two hosts that start at the same time, at least
/// one then finds the other.
pub(crate) async fn announce<R: HostRegistry>(mut registry: R, state: Rc<PeerState>) {
    let mut is_announced = false;
    loop {
        match announce_and_list_hosts(&mut registry, &state, &mut is_announced).await {
            Ok(HostListing { hosts, unreadable_records }) => {
                event!("announced", "hosts={} unreadable={unreadable_records}", hosts.len());
                return;
            }
            Err(RegistryError(reason)) => {
                event!("announce_failed", "reason={reason:?}");
                sleep(RETRY_PAUSE.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            }
        }
    }
}

async fn announce_and_list_hosts<R: HostRegistry>(
    registry: &mut R,
    state: &PeerState,
    is_announced: &mut bool,
) -> Result<HostListing, RegistryError> {
    if !*is_announced {
        registry.announce(state.own_host()).await?;
        *is_announced = true;
    }
    let listing = registry.hosts().await?;
    for host in &listing.hosts {
        state.add_host(host);
    }
    state.record_registry();
    Ok(listing)
}
