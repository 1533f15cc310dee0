use {
    super::{
        host_registry::{HostListing, HostRegistry, RegistryError},
        peer_state::PeerState,
    },
    crate::telemetry::event,
    mango_wire::gossip::HostRecord,
    rand::RngExt,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Mean pause after a failed call to the registry.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// Longest time until the hosts read the registry again after the store has come back from an older
/// copy.
const MAX_RENEWAL_DELAY: Duration = Duration::from_millis(1_000);

/// Publishes this host's address in the registry and reads the other hosts' addresses.
/// `is_first_start` says that the whole fleet starts for the first time, so that the registry is
/// empty.
pub(crate) async fn announce<R: HostRegistry>(
    mut registry: R,
    state: Rc<PeerState>,
    is_first_start: bool,
) {
    let mut next = if is_first_start { Step::Write } else { Step::Read };
    loop {
        match take_step(&mut registry, &state, next).await {
            Ok(Some(following)) => next = following,
            Ok(None) => {
                state.registry_outdated.notified().await;
                sleep(rand::rng().random_range(Duration::ZERO..MAX_RENEWAL_DELAY)).await;
                next = Step::Read;
            }
            Err(RegistryError(reason)) => {
                event!("announce_failed", "step={next} reason={reason:?}");
                sleep(RETRY_PAUSE.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            }
        }
    }
}

/// A call to the registry.
///
/// A host that starts again finds its own record, and needs to write none. Any other host reads after
/// it has written: of two hosts that start at the same time, at least one then finds the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Step {
    Read,
    Write,
}

/// Makes one call and returns the next one, if another is needed.
async fn take_step<R: HostRegistry>(
    registry: &mut R,
    state: &PeerState,
    step: Step,
) -> Result<Option<Step>, RegistryError> {
    match step {
        Step::Write => {
            registry.announce(state.own_host()).await?;
            Ok(Some(Step::Read))
        }
        Step::Read => {
            let HostListing { hosts, unreadable_records } = registry.hosts().await?;
            for host in &hosts {
                state.add_host(host);
            }
            state.record_registry();
            event!("announced", "hosts={} unreadable={unreadable_records}", hosts.len());
            Ok(step_after_read(state.own_host(), &hosts))
        }
    }
}

/// The call after a read that returned these hosts.
pub(super) fn step_after_read(own: &HostRecord, hosts: &[HostRecord]) -> Option<Step> {
    let is_registered = hosts.iter().any(|host| is_same_record(host, own));
    (!is_registered).then_some(Step::Write)
}

fn is_same_record(a: &HostRecord, b: &HostRecord) -> bool {
    a.host_id == b.host_id
        && a.zone == b.zone
        && a.gossip_address == b.gossip_address
        && a.relay_address == b.relay_address
        && a.link_mbps == b.link_mbps
}
