//! TODO
