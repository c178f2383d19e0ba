//! What a node knows of one backend server.

use shallotroute_config::object;

/// A backend server in a node's view.
#[derive(Clone, Debug)]
pub struct Server {
    /// The operators' object.
    pub object: object::Server,
    /// Requests of this node in progress.
    pub in_progress: u32,
}

impl Server {
    /// Makes the view of a server of which nothing is known yet.
    pub fn new(object: object::Server) -> Self {
        Self {
            object,
            in_progress: 0,
        }
    }

    /// Tells whether the server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.object.state == object::ServerState::Leaving
    }
}
