//! TCP connections: a chosen source address, and socket options.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream as StdStream;
use std::time::Duration;

use async_io::Async;
use async_net::TcpStream;
use rustix::io::Errno;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
use rustix::net::bind;
use rustix::net::connect;
use rustix::net::socket_with;
use rustix::net::sockopt;
use rustix::net::sockopt::socket_error;

/// Connects to `address`, from the local address `source` if one is given.
pub(crate) async fn connect_from(
    address: SocketAddr,
    source: Option<IpAddr>,
) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = socket_with(family, SocketType::STREAM, flags, None)?;
    bind(&fd, &SocketAddr::new(source, 0))?;
    match connect(&fd, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(e) => return Err(e.into()),
    }
    let stream = Async::new(StdStream::from(fd))?;
    stream.writable().await?;
    socket_error(stream.get_ref())??;
    Ok(stream.into())
}

/// Makes the kernel close a connection, idle or not, on which the peer has acknowledged nothing for
/// `time`.
///
/// A middlebox may drop its state of a connection without notifying either end. If the options
/// cannot be set, the connection still works, but a dead peer is detected later.
pub(crate) fn set_ack_timeout(stream: &TcpStream, time: Duration) {
    let probe_interval = (time / 3).max(Duration::from_secs(1));
    let set_options = || -> rustix::io::Result<()> {
        sockopt::set_socket_keepalive(stream, true)?;
        sockopt::set_tcp_keepidle(stream, probe_interval)?;
        sockopt::set_tcp_keepintvl(stream, probe_interval)?;
        sockopt::set_tcp_keepcnt(stream, 2)?;
        sockopt::set_tcp_user_timeout(stream, time.as_millis() as u32)
    };
    if let Err(e) = set_options() {
        log::debug!("cannot set the TCP keep-alive options: {e}");
    }
}

/// Bounds the bytes that the kernel holds for a peer that does not read.
pub(crate) fn set_send_buffer(stream: &TcpStream, bytes: usize) {
    if let Err(e) = sockopt::set_socket_send_buffer_size(stream, bytes) {
        log::debug!("cannot set SO_SNDBUF: {e}");
    }
}

/// Makes closing the connection reset it, which discards data that is not yet delivered.
pub(crate) fn set_reset_on_close(stream: &TcpStream) {
    set_linger(stream, Some(Duration::ZERO));
}

/// Undoes [`set_reset_on_close`]: closing the connection delivers all data first.
pub(crate) fn clear_reset_on_close(stream: &TcpStream) {
    set_linger(stream, None);
}

fn set_linger(stream: &TcpStream, time: Option<Duration>) {
    if let Err(e) = sockopt::set_socket_linger(stream, time) {
        log::debug!("cannot set SO_LINGER: {e}");
    }
}
