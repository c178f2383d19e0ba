//! At which software version a stream goes on that its caller takes up at another node.
//!
//! The events of two software versions can't be joined, and servers do not check it. A node records
//! the version that began a stream before it passes on the first event. While servers of several
//! versions are known, it also copies the record to other nodes, since the node may be gone when the
//! caller comes back.
//!
//! Answers the load pattern of a release during which nodes fail: many callers take up streams at
//! nodes that did not begin them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{location::Zone, name::Name, node::Id};

use crate::{
    election::weight,
    route::Route,
    software::{Knowledge, Listing},
};

/// The number of nodes that hold copies of a record. If a third of the nodes fail at once, all three
/// of them are among these for less than one record in 27.
pub const COPIES: usize = 3;

/// The number of nodes that are asked for a record at once. Two more than hold copies, because the
/// members change meanwhile and a recording node passes over itself and nodes that do not answer.
pub const LOOKUPS: usize = COPIES + 2;

/// The number of nodes that are asked if none of the first has the record. In a small fleet it is
/// every node, with the one that began the stream.
pub const WIDE_LOOKUPS: usize = 16;

/// The longest time for which a record is kept, whatever its caller or another node says.
pub const MAX_RETENTION: Duration = Duration::from_secs(900);

/// The time that a caller needs at least to come back after its stream has had no event at the route's
/// timeout: callers wait 2 s for an event, or four times the target latency.
pub const RETURN_TIME: Duration = Duration::from_secs(3);

/// The time that a caller needs to come back after it has given up waiting for an event.
const RECONNECTION_TIME: Duration = Duration::from_secs(1);

/// The least time for which callers are taken to come back. A node that has started, or has seen no patient caller yet,
/// does not know how long callers wait.
pub const MIN_STREAM_TIME: Duration = Duration::from_secs(60);

/// The maximum number of records that a node keeps: about 25 MB, estimated from the sizes of the types.
/// The next ones to expire yield.
const MAX_RECORDS: usize = 100_000;

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The service of the server whose event was first passed on.
    pub service: Name,
    /// The software version of that server.
    pub software: Name,
}

/// A stream that a record is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The identity of the request that brought the stream's first event.
    pub id: Name,
    /// How much longer the record is to be kept.
    pub retention: Duration,
}

/// The streams of one origin, as nodes send them to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// What began the streams.
    pub origin: Origin,
    /// The streams.
    pub streams: Vec<Stream>,
}

/// A node that can hold copies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The node's identity.
    pub id: Id,
    /// The node's availability zone.
    pub zone: Zone,
}

/// The answer of a node that was asked for a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// What began the stream; `None` if the node has no record.
    pub origin: Option<Origin>,
    /// What the node knows of the service's software versions.
    pub known: Knowledge,
}

/// How the software version of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// By a record of this node.
    Own,
    /// By another node's record.
    Copy,
    /// The service has had servers of one version only.
    SingleVersion,
}

/// The records of a node.
#[derive(Debug, Default)]
pub struct Records {
    entries: HashMap<Name, Entry>,
    /// The identities by the time at which their records expire.
    expiry: BTreeSet<(Instant, Name)>,
}

#[derive(Debug)]
struct Entry {
    origin: Origin,
    expires_at: Instant,
    /// Whether no other node is known to have the record, although this node has sent events.
    needs_copies: bool,
}

impl Source {
    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Copy => "copy",
            Self::SingleVersion => "single_version",
        }
    }
}

impl Records {
    /// Records a stream of which this node is about to pass on an event. An earlier record of the
    /// stream stays as it is and is kept longer: what began a stream does not change.
    pub fn insert_own(&mut self, stream: Stream, origin: Origin, now: Instant) {
        self.insert(stream, origin, true, now);
    }

    /// Records the streams that another node has sent events of.
    pub fn insert_copies(&mut self, groups: Vec<Group>, now: Instant) {
        for group in groups {
            for stream in group.streams {
                self.insert(stream, group.origin.clone(), false, now);
            }
        }
    }

    fn insert(&mut self, stream: Stream, origin: Origin, needs_copies: bool, now: Instant) {
        // An identity is a key in other nodes' memory as well.
        if stream.id.is_empty() || stream.id.len() > Name::MAX_BYTES {
            return;
        }
        self.remove_expired(now);
        let expires_at = now + stream.retention.min(MAX_RETENTION);
        let (origin, expires_at) = match self.entries.remove(&stream.id) {
            Some(earlier) => {
                self.expiry.remove(&(earlier.expires_at, stream.id.clone()));
                (earlier.origin, expires_at.max(earlier.expires_at))
            }
            None => (origin, expires_at),
        };
        self.expiry.insert((expires_at, stream.id.clone()));
        let entry = Entry {
            origin,
            expires_at,
            needs_copies,
        };
        self.entries.insert(stream.id, entry);
        if self.entries.len() > MAX_RECORDS
            && let Some((_, id)) = self.expiry.pop_first()
        {
            self.entries.remove(&id);
        }
    }

    /// Returns what began a stream, or `None` without a record.
    pub fn get(&self, id: &str, now: Instant) -> Option<&Origin> {
        let entry = self.entries.get(id)?;
        (now < entry.expires_at).then_some(&entry.origin)
    }

    /// Returns the streams of a service of which this node has sent events and whose records it has
    /// not copied yet.
    pub fn uncopied(&self, service: &str, now: Instant) -> Vec<(Stream, Origin)> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| {
                entry.needs_copies && *entry.origin.service == *service && now < entry.expires_at
            })
            .map(|(id, entry)| (stream(id, entry, now), entry.origin.clone()))
            .collect()
    }

    /// Records that another node holds the records of these streams.
    pub fn record_copied<'a>(&mut self, ids: impl Iterator<Item = &'a Name>) {
        for id in ids {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.needs_copies = false;
            }
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, _)) = self.expiry.first()
            && *expires_at <= now
            && let Some((_, id)) = self.expiry.pop_first()
        {
            self.entries.remove(&id);
        }
    }
}

fn stream(id: &Name, entry: &Entry, now: Instant) -> Stream {
    Stream {
        id: id.clone(),
        retention: entry.expires_at.saturating_duration_since(now),
    }
}

/// Returns how long the record of a stream is kept: as long as its caller may come back.
/// `caller_timeout` is how long the caller waits altogether; `None` if it does not say it.
pub fn retention(route: &Route, caller_timeout: Option<Duration>) -> Duration {
    let longest = route.timeout.max(caller_timeout.unwrap_or_default());
    let event_wait = route.target_latency.saturating_mul(4);
    let return_time = RETURN_TIME.max(event_wait.saturating_add(RECONNECTION_TIME));
    longest.saturating_add(return_time).min(MAX_RETENTION)
}

/// The longest times that callers of each route have said to wait altogether.
#[derive(Debug, Default)]
pub struct Waits(BTreeMap<Name, Duration>);

impl Waits {
    /// Records how long a caller of a route waits altogether; `None` if it does not say it.
    pub fn record(&mut self, route: &Route, caller_timeout: Option<Duration>) {
        let Some(wait) = caller_timeout else {
            return;
        };
        match self.0.get_mut(&route.name) {
            Some(longest) => *longest = wait.max(*longest),
            None => {
                self.0.insert(route.name.clone(), wait);
            }
        }
    }

    /// Returns the longest time between the first event of a route's stream and its caller's last take-up, at least
    /// [`MIN_STREAM_TIME`].
    pub fn longest_stream(&self, route: &Route) -> Duration {
        retention(route, self.0.get(&route.name).copied()).max(MIN_STREAM_TIME)
    }
}

/// Returns the nodes in the order in which they hold the record of a stream, by rendezvous hashing:
/// the first of each availability zone, then the second of each, and so on. All nodes that know the
/// same members compute the same order.
pub fn ranked<'a>(id: &str, nodes: impl Iterator<Item = &'a Node>) -> Vec<&'a Node> {
    let mut by_weight: Vec<(Reverse<u64>, &Node)> = nodes
        .map(|node| (Reverse(weight(&node.id, id)), node))
        .collect();
    by_weight.sort_unstable_by_key(|(weight, node)| (*weight, &node.id));
    let mut counts: BTreeMap<&Zone, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, &Node)> = by_weight
        .into_iter()
        .map(|(_, node)| {
            let count = counts.entry(&node.zone).or_default();
            *count += 1;
            (*count, node)
        })
        .collect();
    // Stable: nodes of equal position in their zones stay in the order of their weights.
    ranked.sort_by_key(|(position, _)| *position);
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Returns the other nodes that are to hold the record of a stream. Nodes that have just failed to
/// answer are passed over. Only nodes that [`lookups`] returns are chosen.
pub fn holders<'a>(
    id: &str,
    nodes: impl Iterator<Item = &'a Node>,
    own: &str,
    has_failed: impl Fn(&Id) -> bool,
) -> Vec<&'a Node> {
    let ranked = ranked(id, nodes).into_iter().take(LOOKUPS);
    ranked
        .filter(|node| *node.id != *own && !has_failed(&node.id))
        .take(COPIES)
        .collect()
}

/// Returns the other nodes to ask for the record of a stream, `count` at most.
pub fn lookups<'a>(
    id: &str,
    nodes: impl Iterator<Item = &'a Node>,
    own: &str,
    count: usize,
) -> Vec<&'a Node> {
    let ranked = ranked(id, nodes).into_iter();
    ranked.filter(|node| *node.id != *own).take(count).collect()
}

/// Groups streams by the nodes that are to hold their records and by what began them, so that each
/// node gets them in one call.
pub fn assign<'a>(
    streams: &[(Stream, Origin)],
    nodes: &'a [Node],
    own: &str,
    has_failed: impl Fn(&Id) -> bool,
) -> BTreeMap<&'a Id, Vec<Group>> {
    let mut groups: BTreeMap<&Id, BTreeMap<&Origin, Vec<Stream>>> = BTreeMap::new();
    for (stream, origin) in streams {
        for node in holders(&stream.id, nodes.iter(), own, &has_failed) {
            let of_node = groups.entry(&node.id).or_default();
            of_node.entry(origin).or_default().push(stream.clone());
        }
    }
    let to_group = |(origin, streams): (&Origin, Vec<Stream>)| Group {
        origin: origin.clone(),
        streams,
    };
    groups
        .into_iter()
        .map(|(id, by_origin)| (id, by_origin.into_iter().map(to_group).collect()))
        .collect()
}

/// Returns the software version of a stream that is not recorded at this node, or `None` if it is unknown. `answers` are
/// those of other nodes.
///
/// Without a record, the service must have had one version for as long as the stream can have lasted. `listing` is what
/// this node's host list says of that, read since the caller came; `None` if it could not be read. An older list may
/// lack the version that began the stream. A node that has just started may rely on another that has known the list for
/// longer. A single node that knows several versions overrules all others, whose host lists may lag.
pub fn resolve(
    service: &Name,
    listing: Option<&Listing>,
    answers: &[Answer],
) -> Option<(Origin, Source)> {
    if let Some(origin) = answers.iter().find_map(|answer| answer.origin.as_ref()) {
        return Some((origin.clone(), Source::Copy));
    }
    let listing = listing?;
    let known = answers.iter().map(|answer| &answer.known);
    let mut sole = None;
    for known in known.chain([&listing.known]) {
        match known {
            Knowledge::Several => return None,
            Knowledge::Sole(software) if sole.is_some_and(|sole| sole != software) => return None,
            Knowledge::Sole(software) => sole = Some(software),
            Knowledge::Incomplete => {}
        }
    }
    let software = sole?;
    if listing.versions.iter().any(|version| version != software) {
        return None;
    }
    let origin = Origin {
        service: service.clone(),
        software: software.clone(),
    };
    Some((origin, Source::SingleVersion))
}

/// Returns the service at which a stream goes on. The service that began it is kept if the route still
/// uses it; otherwise the request goes where the route sends it now. `id` is the identity of the request
/// that brought the first event.
pub fn service<'a>(route: &'a Route, origin: Option<&'a Origin>, id: &str) -> &'a Name {
    match origin {
        Some(origin) if route.uses(&origin.service) => &origin.service,
        _ => route.service_for(id),
    }
}
