//! A node's settings and their check.
