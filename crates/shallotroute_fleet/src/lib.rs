//! Pure state machines for traffic to backend servers: routes, load balancing, retries and hedging,
//! limits that servers name, requests under which servers crash, the state of a node's links to
//! servers, rolling weight updates, the number of servers, the ranking of nodes in elections, at which
//! software version streams go on, how nodes follow the platform's store, how fresh their configuration
//! provably is, which workspace a request belongs to, whether the holder of duties may call the platform,
//! and the usage by window. Start with [`server::Balancer`],
//! [`route::Table`], [`link::Links`] and [`source::Selector`].

pub mod access;
pub mod admission;
pub mod capacity;
pub mod duty;
pub mod election;
pub mod freshness;
pub mod limit;
pub mod link;
pub mod replica;
pub mod resume;
pub mod retry;
pub mod rolling_update;
pub mod route;
pub mod scaler;
pub mod server;
pub mod software;
pub mod source;
pub mod stall;
pub mod suspect;
pub mod usage;
pub mod workspace;
