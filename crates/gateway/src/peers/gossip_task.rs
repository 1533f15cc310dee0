use {
    super::peer_state::PeerState,
    crate::{blocklist::SharedBlocklist, endpoints::Directory, telemetry::event},
    mango_wire::{
        decode_bounded, encode_bounded,
        gossip::{Departure, DepartureReport, GossipMessage, PartReport},
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Time between two rounds of gossip datagrams.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// One round in this many is a full round, which also reaches hosts that sent nothing lately.
const ROUNDS_PER_FULL_ROUND: u32 = 5;
/// The first rounds are full rounds, so that the hosts of a zone that start together find each other.
const FIRST_FULL_ROUNDS: u32 = 5;
/// Time for which rising loads are collected before they are sent.
const CHANGE_DELAY: Duration = Duration::from_millis(25);
/// Time for which reasons for a round before the next regular one are collected.
const WANTED_ROUND_DELAY: Duration = Duration::from_millis(10);
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16_384;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// What is exchanged with other hosts, and the socket for it.
#[derive(Clone)]
pub(crate) struct Gossip {
    pub(crate) state: Rc<PeerState>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) blocklist: Rc<SharedBlocklist>,
    pub(crate) socket: Rc<UdpSocket>,
}

/// Sends gossip until the process ends: this host's loads to the relay or, if this host
/// relays, the summed loads of the zone to the other hosts and zones; and to the same hosts what
/// is known of prompt parts that crash endpoints.
pub(crate) async fn send_gossip(gossip: Gossip) {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0_u32;
    loop {
        tokio::select! {
            biased;
            _ = rounds.tick() => {}
            _ = gossip.state.round_wanted.notified() => sleep(WANTED_ROUND_DELAY).await,
            _ = gossip.state.rising_loads.wait() => {
                sleep(CHANGE_DELAY).await;
                send_changes(&gossip);
                continue;
            }
        }
        round = round.wrapping_add(1);
        let is_full_round =
            round <= FIRST_FULL_ROUNDS || round.is_multiple_of(ROUNDS_PER_FULL_ROUND);
        let loads = gossip.directory.loads();
        for (address, message) in gossip.state.gossip_messages(&loads, is_full_round) {
            send_message(&gossip.socket, &message, &[address]);
        }
        let parts = gossip.blocklist.update(is_full_round);
        let departures = gossip.state.departures_to_report();
        if parts.is_empty() && departures.is_empty() {
            continue;
        }
        let targets = gossip.state.fleet_report_targets(is_full_round);
        let host = || gossip.state.own_host().clone();
        if !parts.is_empty() {
            let message = GossipMessage::PartReport(PartReport { host: host(), parts });
            send_message(&gossip.socket, &message, &targets);
        }
        if !departures.is_empty() {
            let report = DepartureReport { host: host(), departures };
            send_message(&gossip.socket, &GossipMessage::DepartureReport(report), &targets);
        }
    }
}

/// Sends the loads that rose lately.
fn send_changes(gossip: &Gossip) {
    let (own_loads, services) = (gossip.directory.loads(), gossip.directory.hashes_by_service());
    for (address, message) in gossip.state.change_messages(&own_loads, &services) {
        send_message(&gossip.socket, &message, &[address]);
    }
}

/// Sends one datagram to each target. One that is lost or cannot be sent is not repeated: the next
/// round sends newer values.
fn send_message(socket: &UdpSocket, message: &GossipMessage, targets: &[SocketAddr]) {
    match encode_bounded(message, MAX_DATAGRAM_BYTES) {
        Ok(bytes) => {
            for address in targets {
                drop(socket.try_send_to(&bytes, *address));
            }
        }
        Err(error) => event!("gossip_too_large", "reason={:?}", error.to_string()),
    }
}

/// Receives gossip datagrams of other hosts until the process ends.
pub(crate) async fn receive_gossip(gossip: Gossip) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match gossip.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match decode_bounded(&buffer[..length], MAX_DATAGRAM_BYTES) {
                Ok(message) => {
                    match &message {
                        GossipMessage::PartReport(report) => gossip.blocklist.merge(&report.parts),
                        GossipMessage::DepartureReport(report) => {
                            receive_departures(&gossip, &report.departures);
                        }
                        _ => {}
                    }
                    gossip.state.receive(message);
                }
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

/// Sends nothing more to endpoints that have told other hosts that they leave: they refuse or cut off
/// what arrives, and each host would have to find that out by itself.
fn receive_departures(gossip: &Gossip, departures: &[Departure]) {
    for departure in departures {
        if gossip.directory.record_reported_departure(departure) {
            gossip.state.forward_departure(departure.clone());
        }
    }
}
