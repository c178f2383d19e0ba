//! Kept connections to one service of other nodes.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use tokio::net::TcpStream;

use crate::{service::Kind, stream};

/// The open clients of a service by address.
#[derive(Debug)]
pub struct Clients<C> {
    kind: Kind,
    make: fn(TcpStream) -> C,
    open: Mutex<HashMap<SocketAddr, C>>,
}

impl<C: Clone> Clients<C> {
    /// Starts without connections; `make` turns a new one into a client.
    pub fn new(kind: Kind, make: fn(TcpStream) -> C) -> Self {
        Self {
            kind,
            make,
            open: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the client of the node at `address`, which is connected to if need be.
    ///
    /// # Errors
    ///
    /// The node can't be reached within a second.
    pub async fn get(&self, address: SocketAddr) -> io::Result<C> {
        if let Some(client) = self.with(|open| open.get(&address).cloned()) {
            return Ok(client);
        }
        // The lock is not held while connecting, so that a dead node does not delay calls to others.
        let stream = stream::connect(address, self.kind).await?;
        let client = (self.make)(stream);
        self.with(|open| open.insert(address, client.clone()));
        Ok(client)
    }

    /// Drops the client of a node, as after a call that failed.
    pub fn remove(&self, address: SocketAddr) {
        self.with(|open| open.remove(&address));
    }

    fn with<T>(&self, action: impl FnOnce(&mut HashMap<SocketAddr, C>) -> T) -> T {
        action(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
