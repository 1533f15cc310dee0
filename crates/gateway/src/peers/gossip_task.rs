use {
    super::peer_state::PeerState,
    crate::{endpoints::Directory, telemetry::event},
    mango_wire::{decode_bounded, encode_bounded},
    std::{rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Time between two rounds of datagrams.
const ROUND: Duration = Duration::from_millis(200);
/// Every so many rounds also reaches hosts that were not heard.
const SLOW_ROUNDS: u32 = 5;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16_384;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// Sends this host's loads, or the zone's sums if it relays, until the process ends.
pub(crate) async fn send_gossip(
    state: Rc<PeerState>,
    directory: Rc<Directory>,
    socket: Rc<UdpSocket>,
) {
    let mut rounds = interval(ROUND);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0_u32;
    loop {
        rounds.tick().await;
        round = round.wrapping_add(1);
        let loads = directory.loads();
        for (address, message) in state.messages(&loads, round.is_multiple_of(SLOW_ROUNDS)) {
            match encode_bounded(&message, MAX_DATAGRAM_BYTES) {
                // a lost datagram is followed by the next round's
                Ok(bytes) => drop(socket.try_send_to(&bytes, address)),
                Err(error) => event!("gossip_too_large", "reason={:?}", error.to_string()),
            }
        }
    }
}

/// Receives the datagrams of other hosts until the process ends.
pub(crate) async fn receive_gossip(state: Rc<PeerState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match decode_bounded(&buffer[..length], MAX_DATAGRAM_BYTES) {
                Ok(message) => state.receive(message),
                Err(error) => {
                    event!("gossip_unreadable", "from={from} reason={:?}", error.to_string());
                }
            },
            Err(error) => {
                event!("gossip_failed", "reason={:?}", error.to_string());
                sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}
