//! Which nodes are alive: heartbeats, suspicion, incarnations.
