//! Pure state machines for traffic to backend servers: routes, load balancing, retries and hedging,
//! rolling weight updates, and the ranking of nodes in elections. Start with [`server::Balancer`] and
//! [`route::Table`].

pub mod change_log;
pub mod election;
pub mod retry;
pub mod rolling_update;
pub mod route;
pub mod server;
