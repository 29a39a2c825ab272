//! Opening a TCP connection from a chosen source address.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream as StdStream;

use async_io::Async;
use async_net::TcpStream;
use rustix::io::Errno;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
use rustix::net::bind;
use rustix::net::connect;
use rustix::net::socket_with;
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
