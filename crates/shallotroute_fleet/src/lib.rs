//! Backend servers, the routes that lead to them, and the orders that move their weights, as pure
//! state. Start with [`server::Roster`] and [`route::Table`].

pub mod attempt;
pub mod election;
pub mod feed;
pub mod route;
pub mod server;
pub mod wave;
