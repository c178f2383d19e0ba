//! Caches connected clients of one service of other nodes.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use tokio::net::TcpStream;

use crate::{service::Kind, stream};

/// The connected clients of one service, by node address.
#[derive(Debug)]
pub struct Clients<C> {
    kind: Kind,
    new_client: fn(TcpStream) -> C,
    clients: Mutex<HashMap<SocketAddr, C>>,
}

impl<C: Clone> Clients<C> {
    /// Creates an empty cache. `new_client` turns a new connection into a client.
    pub fn new(kind: Kind, new_client: fn(TcpStream) -> C) -> Self {
        Self {
            kind,
            new_client,
            clients: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the client of the node at `address`, connecting first if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't be reached within a second.
    pub async fn get(&self, address: SocketAddr) -> io::Result<C> {
        if let Some(client) = self.with_clients(|clients| clients.get(&address).cloned()) {
            return Ok(client);
        }
        // The lock is not held while connecting, so that a dead node does not delay calls to other
        // nodes.
        let stream = stream::connect(address, self.kind).await?;
        let client = (self.new_client)(stream);
        self.with_clients(|clients| clients.insert(address, client.clone()));
        Ok(client)
    }

    /// Removes the client of a node, so that the next [`Clients::get`] reconnects. Called after a
    /// failed call.
    pub fn remove(&self, address: SocketAddr) {
        self.with_clients(|clients| clients.remove(&address));
    }

    fn with_clients<T>(&self, action: impl FnOnce(&mut HashMap<SocketAddr, C>) -> T) -> T {
        action(&mut self.clients.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
