//! Decisions on callers' requests: route, admission, selection, retry, identity.
