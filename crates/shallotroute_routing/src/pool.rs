//! The backend servers of a pool and the choice among them.

use std::net::SocketAddr;

use shallotroute_config::object;
use shallotroute_types::name::Name;

use crate::{retry::Budget, server::Server};

/// A pool in a node's view.
#[derive(Clone, Debug)]
pub struct Pool {
    servers: Vec<Server>,
    next: usize,
    budget: Budget,
}

/// A chosen backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Pool {
    /// Makes the view of a pool of which nothing is known yet.
    pub fn new(object: &object::Pool) -> Self {
        let mut pool = Self {
            servers: Vec::new(),
            next: 0,
            budget: Budget::new(Budget::SHARE),
        };
        pool.update(object);
        pool
    }

    /// Takes over a new revision of the object and keeps what is known of servers that stay.
    pub fn update(&mut self, object: &object::Pool) {
        let mut known = std::mem::take(&mut self.servers);
        for object in &object.servers {
            let same = |server: &Server| {
                server.object.name == object.name && server.object.address == object.address
            };
            let server = match known.iter().position(same) {
                Some(index) => {
                    let mut server = known.swap_remove(index);
                    server.object = object.clone();
                    server
                }
                None => Server::new(object.clone()),
            };
            self.servers.push(server);
        }
    }

    /// Chooses a server that is not in `tried` and counts the request as sent to it.
    pub fn choose(&mut self, tried: &[Name]) -> Option<Choice> {
        let count = self.servers.len();
        let index = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|&index| {
                let server = &self.servers[index];
                !server.is_leaving() && !tried.contains(&server.object.name)
            })?;
        self.next = index + 1;
        let server = &mut self.servers[index];
        server.in_progress += 1;
        Some(Choice {
            name: server.object.name.clone(),
            address: server.object.address,
        })
    }

    /// Counts a request at `name` as finished.
    pub fn finish(&mut self, name: &Name) {
        if let Some(server) = self.servers.iter_mut().find(|s| s.object.name == *name) {
            server.in_progress = server.in_progress.saturating_sub(1);
        }
    }

    /// Returns the retry budget of the pool's requests.
    pub fn budget(&mut self) -> &mut Budget {
        &mut self.budget
    }

    /// Returns the servers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }
}
