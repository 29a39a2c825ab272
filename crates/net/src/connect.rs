//! Opening a TCP connection from a chosen source address.

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

/// Connects to `address`, from `source` where one is given.
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

/// Gives up a connection whose other end has acknowledged nothing for `time`, idle or not.
///
/// Something between the two ends may lose track of a connection without a word to either. A socket
/// that refuses the options still works, only later to notice.
pub(crate) fn set_silence(stream: &TcpStream, time: Duration) {
    let probe = (time / 3).max(Duration::from_secs(1));
    let set = || -> rustix::io::Result<()> {
        sockopt::set_socket_keepalive(stream, true)?;
        sockopt::set_tcp_keepidle(stream, probe)?;
        sockopt::set_tcp_keepintvl(stream, probe)?;
        sockopt::set_tcp_keepcnt(stream, 2)?;
        sockopt::set_tcp_user_timeout(stream, time.as_millis() as u32)
    };
    if let Err(e) = set() {
        log::debug!("socket options refused: {e}");
    }
}

/// Closing the connection resets it, and discards what the other end has not got yet.
pub(crate) fn set_abandon(stream: &TcpStream) {
    if let Err(e) = sockopt::set_socket_linger(stream, Some(Duration::ZERO)) {
        log::debug!("socket option refused: {e}");
    }
}
