//! A tunnel that was opened through a peer.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::TcpStream;

/// A tunnel that was opened through a peer.
#[derive(Debug)]
pub(crate) struct OpenTunnel {
    /// The peer.
    pub(crate) peer: SocketAddr,
    /// The connection to the peer.
    pub(crate) stream: TcpStream,
    /// Bytes that were received with the answer of the peer.
    pub(crate) received: Bytes,
}
