use {
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        cell::Cell,
        io::{self, Read},
        net::{IpAddr, SocketAddr},
    },
};

// constants and layouts of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;
const IPPROTO_TCP: u8 = 6;
/// Attribute of a reply that holds `struct tcp_info`.
const INET_DIAG_INFO: u16 = 2;
const MESSAGE_HEADER_BYTES: usize = 16;
/// Bytes of `struct inet_diag_req_v2`.
const REQUEST_BYTES: usize = 56;
/// Bytes of `struct inet_diag_msg`.
const REPLY_BYTES: usize = 72;
const MAX_REPLY_BYTES: usize = 4_096;

/// A socket on which the kernel reports the state of TCP connections (`sock_diag(7)`).
pub(super) struct SocketDiagnostics {
    socket: Socket,
    last_sequence: Cell<u32>,
}

/// What the kernel reports of a TCP connection.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionReport {
    /// `idiag_timer`: the timer that is running.
    pub(super) timer: u8,
    /// `idiag_retrans`: retransmissions or probes that no acknowledgement has followed.
    pub(super) unanswered_sends: u8,
    /// `idiag_expires`: time until the timer expires.
    pub(super) timer_expires_ms: u32,
    /// `idiag_wqueue`: bytes that were written and not acknowledged.
    pub(super) unacknowledged_bytes: u32,
    /// `tcpi_rto`: retransmission timeout, with its backoff.
    pub(super) retransmission_timeout_us: u32,
    /// `tcpi_last_ack_recv`: time since the last acknowledgement.
    pub(super) last_ack_age_ms: u32,
}

impl SocketDiagnostics {
    /// Fails where the system does not offer this interface.
    pub(super) fn open() -> io::Result<SocketDiagnostics> {
        let (domain, protocol) = (Domain::from(AF_NETLINK), Protocol::from(NETLINK_SOCK_DIAG));
        let socket = Socket::new(domain, Type::RAW, Some(protocol))?;
        socket.set_nonblocking(true)?;
        Ok(SocketDiagnostics { socket, last_sequence: Cell::new(0) })
    }

    /// Asks for the state of a connection. The kernel replies before `send` returns.
    pub(super) fn query(
        &self,
        local: SocketAddr,
        peer: SocketAddr,
    ) -> io::Result<ConnectionReport> {
        let sequence = self.last_sequence.get().wrapping_add(1);
        self.last_sequence.set(sequence);
        self.socket.send(&encode_request(sequence, local, peer))?;
        let mut reply = [0; MAX_REPLY_BYTES];
        let length = (&self.socket).read(&mut reply)?;
        decode_reply(sequence, &reply[..length]).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

fn encode_request(sequence: u32, local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let mut request = Vec::with_capacity(MESSAGE_HEADER_BYTES + REQUEST_BYTES);
    request.extend(((MESSAGE_HEADER_BYTES + REQUEST_BYTES) as u32).to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    request.extend(sequence.to_ne_bytes());
    request.extend(0_u32.to_ne_bytes());
    let family = if local.is_ipv4() { AF_INET } else { AF_INET6 };
    request.extend([family, IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), 0]);
    let all_states = u32::MAX;
    request.extend(all_states.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(peer.port().to_be_bytes());
    request.extend(address_bytes(local.ip()));
    request.extend(address_bytes(peer.ip()));
    let any_interface = 0_u32;
    request.extend(any_interface.to_ne_bytes());
    let any_cookie = u64::MAX;
    request.extend(any_cookie.to_ne_bytes());
    request
}

fn address_bytes(address: IpAddr) -> [u8; 16] {
    match address {
        IpAddr::V4(address) => {
            let mut bytes = [0; 16];
            bytes[..4].copy_from_slice(&address.octets());
            bytes
        }
        IpAddr::V6(address) => address.octets(),
    }
}

/// `None` if the message is no reply to the request, or has no `tcp_info`.
fn decode_reply(sequence: u32, message: &[u8]) -> Option<ConnectionReport> {
    let is_reply =
        read_u16(message, 4)? == SOCK_DIAG_BY_FAMILY && read_u32(message, 8)? == sequence;
    let reply = message.get(MESSAGE_HEADER_BYTES..).filter(|_| is_reply)?;
    let tcp_info = find_attribute(reply.get(REPLY_BYTES..)?, INET_DIAG_INFO)?;
    Some(ConnectionReport {
        timer: reply[2],
        unanswered_sends: reply[3],
        timer_expires_ms: read_u32(reply, 52)?,
        unacknowledged_bytes: read_u32(reply, 60)?,
        retransmission_timeout_us: read_u32(tcp_info, 8)?,
        last_ack_age_ms: read_u32(tcp_info, 56)?,
    })
}

/// The value of the attribute with this type.
fn find_attribute(mut attributes: &[u8], wanted: u16) -> Option<&[u8]> {
    const HEADER_BYTES: usize = 4;
    loop {
        let length = usize::from(read_u16(attributes, 0)?);
        let value = attributes.get(HEADER_BYTES..length)?;
        if read_u16(attributes, 2)? == wanted {
            return Some(value);
        }
        attributes = attributes.get(length.next_multiple_of(HEADER_BYTES)..)?;
    }
}

fn read_u16(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_ne_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_ne_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}
