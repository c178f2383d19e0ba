//! Creates the components of a node, connects them and starts them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Duration, UNIX_EPOCH},
};

use error_stack::ResultExt;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use shallotroute_context::{Context, Local, freshness::Freshness};
use shallotroute_control::{Control, Dump, Operator, Outputs};
use shallotroute_gateway::Gateway;
use shallotroute_http::{
    client::Client,
    memory::{Bounds, Memory},
    server,
};
use shallotroute_peer::{
    heartbeat::{Heartbeat, Options},
    service::Kind,
    stream::{self, Services},
};
use shallotroute_platform::{
    http::{Engine, HostList, Scorer, Store},
    throttle::{self, Throttle},
};
use shallotroute_sampling::{Clients, Sampler};
use shallotroute_settings::Settings;
use shallotroute_types::{
    clock::{Clock, System},
    member::View,
    node::Incarnation,
    revision::Revision,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::{
    admin, callers,
    error::{Error, Result},
};

/// The timeout of connecting to a backend server or to a service of the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a call to a service of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// A running node.
pub(crate) struct Node {
    pub(crate) context: Context,
    /// Cancelled first, to make the node unready and to hand its roles over to other nodes.
    pub(crate) leaving: CancellationToken,
    /// The listener for callers, which ends when all requests are finished.
    pub(crate) callers: JoinHandle<()>,
    /// All other components and listeners.
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

/// The listeners of a node, opened before any component starts.
struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
    heartbeats: UdpSocket,
}

/// The ends of the channels between components that [`Context`] does not contain.
struct ChannelEnds {
    outputs: Outputs,
    members: watch::Sender<Arc<View>>,
    known: watch::Receiver<Revision>,
}

struct Components {
    throttle: Arc<Throttle>,
    heartbeat: Arc<Heartbeat>,
    control: Arc<Control>,
    gateway: Arc<Gateway>,
    sampler: Arc<Sampler>,
    registry: Registry,
}

impl Node {
    /// Opens the listeners and starts all components.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener's socket can't be opened.
    pub(crate) async fn start(settings: &Settings) -> Result<Self> {
        let listeners = Listeners::open(settings).await?;
        let (context, channels) = create_channels(settings);
        let leaving = CancellationToken::new();
        let Listeners {
            callers,
            admin,
            peers,
            heartbeats,
        } = listeners;
        let limits = settings.limits;
        let memory = Memory::new(Bounds::new(limits.memory_mb, limits.descriptors));
        let components =
            Components::new(settings, &context, channels, &leaving, heartbeats, &memory);
        let services = Arc::new(components.services());
        let mut tasks = vec![
            tokio::spawn(stream::serve_within(
                peers,
                services,
                context.stop.clone(),
                memory.nodes(),
            )),
            tokio::spawn(Arc::clone(&components.heartbeat).run()),
            tokio::spawn(Arc::clone(&components.control).run()),
            tokio::spawn(Arc::clone(&components.gateway).run()),
            tokio::spawn(Arc::clone(&components.sampler).run()),
            tokio::spawn(divide_rates(
                Arc::clone(&components.throttle),
                context.clone(),
            )),
        ];
        let admin_endpoint = admin::Endpoint {
            context: context.clone(),
            control: Arc::clone(&components.control),
            registry: Arc::new(components.registry),
            leaving: leaving.clone(),
        };
        let stop = context.stop.clone();
        tasks.push(tokio::spawn(server::serve_within(
            admin,
            Arc::new(admin_endpoint),
            stop,
            memory.operators(),
        )));
        let caller_endpoint = callers::Endpoint {
            gateway: components.gateway,
            sampler: components.sampler,
        };
        let drain = context.drain.clone();
        let serving =
            server::serve_within(callers, Arc::new(caller_endpoint), drain, memory.clients());
        let callers = tokio::spawn(serving);
        Ok(Self {
            context,
            leaving,
            callers,
            tasks,
        })
    }
}

impl Listeners {
    async fn open(settings: &Settings) -> Result<Self> {
        let listen = settings.listen;
        let heartbeats = UdpSocket::bind(listen.peers)
            .await
            .change_context(Error::Listen {
                purpose: "heartbeats of other nodes",
                address: listen.peers,
            })?;
        Ok(Self {
            callers: open_tcp("callers", listen.callers).await?,
            admin: open_tcp("operators", listen.admin).await?,
            peers: open_tcp("calls of other nodes", listen.peers).await?,
            heartbeats,
        })
    }
}

async fn open_tcp(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .change_context(Error::Listen { purpose, address })
}

/// Creates the channels that connect the components.
fn create_channels(settings: &Settings) -> (Context, ChannelEnds) {
    let (configuration, configuration_receiver) = watch::channel(None);
    let (confirmed, confirmed_receiver) = watch::channel(false);
    let (members, members_receiver) = watch::channel(Arc::new(View::default()));
    let (hosts, hosts_receiver) = watch::channel(Arc::new(Vec::new()));
    let (known, known_receiver) = watch::channel(Revision::default());
    let clock = System;
    let freshness = Freshness::new(clock.now());
    let start_time = clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let context = Context {
        local: Local {
            id: settings.node.id.clone(),
            region: settings.node.region.clone(),
            zone: settings.node.zone.clone(),
            address: settings.listen.peers,
            incarnation: Incarnation(u64::try_from(start_time.as_millis()).unwrap_or(u64::MAX)),
        },
        clock: Arc::new(clock),
        configuration: configuration_receiver,
        confirmed: confirmed_receiver,
        members: members_receiver,
        hosts: hosts_receiver,
        freshness: Arc::new(freshness),
        drain: CancellationToken::new(),
        stop: CancellationToken::new(),
    };
    let outputs = Outputs {
        configuration,
        confirmed,
        known,
        hosts,
    };
    (
        context,
        ChannelEnds {
            outputs,
            members,
            known: known_receiver,
        },
    )
}

impl Components {
    fn new(
        settings: &Settings,
        context: &Context,
        channels: ChannelEnds,
        leaving: &CancellationToken,
        socket: UdpSocket,
        memory: &Arc<Memory>,
    ) -> Self {
        let mut registry = Registry::with_prefix("shallotroute");
        let client = Client::new(CONNECT_TIMEOUT);
        let platform = settings.platform;
        let store = Store::new(client.clone(), platform.store, PLATFORM_TIMEOUT);
        let throttle_options = throttle::Options {
            seed: context.local.incarnation.0,
            ..throttle::Options::default()
        };
        let clock = Arc::clone(&context.clock);
        let throttle = Throttle::new(Arc::new(store), clock, throttle_options, &mut registry);
        let hosts = Arc::new(HostList::new(
            client.clone(),
            platform.hosts,
            PLATFORM_TIMEOUT,
        ));
        let engine = Arc::new(Engine::new(client.clone()));
        let options = Options {
            local: context.local.clone(),
            seeds: settings.peers.seeds.clone(),
            key: settings.peers.key,
            socket,
            clock: Arc::clone(&context.clock),
            known_revision: channels.known,
            configuration: context.configuration.clone(),
            hosts: context.hosts.clone(),
            members: channels.members,
            drain: leaving.clone(),
            stop: context.stop.clone(),
            seed: context.local.incarnation.0,
        };
        let heartbeat = Heartbeat::new(options, &mut registry);
        let gateway = Gateway::new(context.clone(), engine.clone(), &mut registry);
        let scorer = Arc::new(Scorer::new(client));
        let clients = Clients {
            engine,
            scorer,
            store: throttle.clone(),
        };
        let sampler = Sampler::new(context.clone(), clients, &mut registry);
        let (dump, control_slot) = create_dump(&heartbeat, &gateway, &sampler, memory);
        let operators = settings.operators.iter().map(to_operator).collect();
        let control = Control::new(
            context.clone(),
            channels.outputs,
            throttle.clone(),
            hosts,
            operators,
            dump,
            &mut registry,
        );
        // The slot is still empty, so setting it can't fail.
        let _ = control_slot.set(Arc::clone(&control));
        Self {
            throttle,
            heartbeat,
            control,
            gateway,
            sampler,
            registry,
        }
    }

    /// Returns the services that other nodes call, by their kind.
    fn services(&self) -> Services {
        [
            (Kind::Configuration, self.control.service()),
            (Kind::Requests, self.gateway.service()),
            (Kind::Rollouts, self.sampler.service()),
        ]
        .into_iter()
        .filter_map(|(kind, service)| Some((kind, service?)))
        .collect()
    }
}

/// Creates the dump of all components. `Control`, which serves the dump, does not exist yet, so
/// its slot is returned for the caller to fill.
fn create_dump(
    heartbeat: &Arc<Heartbeat>,
    gateway: &Arc<Gateway>,
    sampler: &Arc<Sampler>,
    memory: &Arc<Memory>,
) -> (Dump, Arc<OnceLock<Arc<Control>>>) {
    let slot = Arc::new(OnceLock::<Arc<Control>>::new());
    let control = Arc::clone(&slot);
    let heartbeat = Arc::clone(heartbeat);
    let gateway = Arc::clone(gateway);
    let sampler = Arc::clone(sampler);
    let memory = Arc::clone(memory);
    let dump: Dump = Arc::new(move || {
        json!({
            "membership": heartbeat.dump(),
            "control": control.get().map_or(Value::Null, |control| control.dump()),
            "gateway": gateway.dump(),
            "sampling": sampler.dump(),
            "memory": BTreeMap::from(memory.usage().numbers()),
        })
    });
    (dump, slot)
}

/// Keeps this node's share of the key-value service's rate limits up to date as live nodes join
/// and leave, until the node stops.
async fn divide_rates(throttle: Arc<Throttle>, mut context: Context) {
    loop {
        let live = context.members.borrow_and_update().live().count();
        throttle.set_member_count(live.max(1));
        tokio::select! {
            () = context.stop.cancelled() => return,
            changed = context.members.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

fn to_operator(operator: &shallotroute_settings::Operator) -> Operator {
    Operator {
        name: operator.name.clone(),
        key_hash: operator.key_hash.clone(),
    }
}
