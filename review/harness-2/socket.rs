//! Socket calls and options that the standard library lacks.

use std::{
    io,
    net::{SocketAddrV4, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const POLLERR: i16 = 0x8;
const POLLHUP: i16 = 0x10;
const POLLRDHUP: i16 = 0x2000;

/// Segments on an Ethernet link; those of the loopback device have 64 kB.
const ETHERNET_SEGMENT_BYTES: i32 = 1_460;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const SockAddr, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn poll(fds: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
}

fn set_option(fd: i32, level: i32, name: i32, value: i32) -> io::Result<()> {
    match unsafe { setsockopt(fd, level, name, &value, 4) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Sets the segments of a connection, or of those that a listener accepts, to those of an Ethernet
/// link, and its receive buffer unless it is to have the system's default.
pub fn set_link(socket: &impl AsRawFd, receive_buffer_bytes: Option<i32>) -> io::Result<()> {
    if let Some(bytes) = receive_buffer_bytes {
        set_option(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, bytes)?;
    }
    set_option(socket.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
}

/// Opens a connection over a link as `set_link` makes it.
pub fn connect_over_link(
    address: SocketAddrV4,
    receive_buffer_bytes: Option<i32>,
) -> io::Result<TcpStream> {
    let fd = unsafe { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    set_link(&stream, receive_buffer_bytes)?;
    let peer = SockAddr {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    match unsafe { connect(fd, &peer, 16) } {
        0 => Ok(stream),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Whether the peer has closed or reset a connection, as far as the kernel knows. Unread bytes do not
/// hide a reset.
pub fn is_closed(stream: &TcpStream) -> bool {
    let events = POLLRDHUP | POLLHUP | POLLERR;
    let mut poll_fd = PollFd { fd: stream.as_raw_fd(), events, revents: 0 };
    unsafe { poll(&mut poll_fd, 1, 0) > 0 && poll_fd.revents & events != 0 }
}
