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

/// Time between two rounds of gossip datagrams.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// One round in this many is a full round, which also reaches hosts that sent nothing lately.
const ROUNDS_PER_FULL_ROUND: u32 = 5;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16_384;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// Sends gossip until the process ends: this host's loads to the relay or, if this host
/// relays, the summed loads of the zone to the other hosts and zones.
pub(crate) async fn send_gossip(
    state: Rc<PeerState>,
    directory: Rc<Directory>,
    socket: Rc<UdpSocket>,
) {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0_u32;
    loop {
        rounds.tick().await;
        round = round.wrapping_add(1);
        let loads = directory.loads();
        for (address, message) in
            state.gossip_messages(&loads, round.is_multiple_of(ROUNDS_PER_FULL_ROUND))
        {
            match encode_bounded(&message, MAX_DATAGRAM_BYTES) {
                // a datagram that is lost or cannot be sent is not repeated: the next round
                // sends newer loads
                Ok(bytes) => drop(socket.try_send_to(&bytes, address)),
                Err(error) => event!("gossip_too_large", "reason={:?}", error.to_string()),
            }
        }
    }
}

/// Receives gossip datagrams of other hosts until the process ends.
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
