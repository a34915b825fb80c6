//! Lines between a controller and what it talks to, which can be cut: ended and
//! refused, or with packets delayed, to be delivered in order when the cut ends.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// How a line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Whole.
    None,
    /// Connections end, and new ones are ended at once.
    Refused,
    /// What is sent is buffered, and delivered once the fault ends.
    Stalled,
}

/// Carries connections from `at` on to `to`, as long as the line is whole.
pub async fn line(at: SocketAddr, to: SocketAddr, cut: watch::Receiver<LinkFault>) {
    let listener = TcpListener::bind(at).await.expect("a line's address");
    spawn_local(async move {
        loop {
            let Ok((near, _)) = listener.accept().await else {
                continue;
            };
            let cut = cut.clone();
            spawn_local(async move {
                if cut
                    .clone()
                    .wait_for(|c| *c != LinkFault::Stalled)
                    .await
                    .is_err()
                    || *cut.borrow() == LinkFault::Refused
                {
                    return;
                }
                let Ok(far) = TcpStream::connect(to).await else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ((near_in, near_out), (far_in, far_out)) =
                    (near.into_split(), far.into_split());
                tokio::select! {
                    () = carry(near_in, far_out, cut.clone()) => {}
                    () = carry(far_in, near_out, cut) => {}
                }
            });
        }
    });
}

/// Carries bytes one way, as long as the line is whole.
async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<LinkFault>,
) {
    let mut buffer = vec![0; 16 << 10];
    let mut end = cut.clone();
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            _ = end.wait_for(|c| *c == LinkFault::Refused) => 0,
        };
        if read == 0 || cut.wait_for(|c| *c != LinkFault::Stalled).await.is_err() {
            return;
        }
        let refused = *cut.borrow() == LinkFault::Refused;
        if refused || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
