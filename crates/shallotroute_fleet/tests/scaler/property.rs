//! Properties that hold under any demand and any failure.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use super::platform::{Platform, known_scaling};

/// What happens in one second.
#[derive(Clone, Debug)]
enum Event {
    Items(usize),
    Missing,
    Reclaim(usize),
    Unavailable(usize, bool),
    Restore,
    Silent(bool),
    Listed(bool),
}

const ZONES: [&str; 3] = ["a", "b", "c"];

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0usize..600).prop_map(Event::Items),
        3 => Just(Event::Missing),
        1 => (0usize..3).prop_map(Event::Reclaim),
        1 => (0usize..3, any::<bool>()).prop_map(|(zone, is_spot)| Event::Unavailable(zone, is_spot)),
        1 => Just(Event::Restore),
        1 => any::<bool>().prop_map(Event::Silent),
        1 => any::<bool>().prop_map(Event::Listed),
    ]
}

fn config(seed: u64) -> Config {
    Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(41))]

    /// Guards against numbers outside the limits of a zone, lower numbers while data is missing or just
    /// after a change of the leader, and more orders than the platform and the budget bear.
    #[test]
    fn orders_are_bounded(
        events in prop::collection::vec(event(), 1..150),
        min in 0u32..4,
        max in 4u32..27,
        start in prop::collection::vec(0u32..4, 3),
    ) {
        let mut scaling = known_scaling();
        (scaling.min, scaling.max) = (min, max);
        let servers: Vec<(&str, u32)> = ZONES.into_iter().zip(start).collect();
        let mut platform = Platform::new(scaling, &servers);
        let mut items = Some(100);
        let started_at = platform.now;
        let mut by_pool: BTreeMap<_, usize> = BTreeMap::new();
        let seconds = events.len();
        for event in events {
            match event {
                Event::Items(count) => items = Some(count),
                Event::Missing => items = None,
                Event::Reclaim(zone) => platform.reclaim(&ZONES[zone..=zone]),
                Event::Unavailable(zone, is_spot) => {
                    platform.unavailable.insert((ZONES[zone].into(), is_spot));
                }
                Event::Restore => platform.restore(),
                Event::Silent(is_silent) => platform.is_silent = is_silent,
                Event::Listed(is_listed) => platform.is_listed = is_listed,
            }
            let is_new = (platform.now - started_at).as_secs() < 10;
            for order in platform.step(items) {
                prop_assert!(order.count <= max, "{order:?}");
                let is_lower = order.count < order.former;
                prop_assert!(!is_lower || (items.is_some() && !is_new), "{order:?}");
                if !platform.is_silent {
                    let total = platform.pool(&order.zone, true) + platform.pool(&order.zone, false);
                    prop_assert!(!is_lower || total >= min, "{order:?}");
                }
                *by_pool.entry((order.zone, order.is_spot)).or_default() += 1;
            }
        }
        for (pool, orders) in by_pool {
            prop_assert!(orders <= seconds / 2 + 2, "{pool:?}: {orders} orders in {seconds} s");
        }
    }

    /// Guards against flapping: under a constant demand the numbers come to rest, whatever the start,
    /// and suffice.
    #[test]
    fn a_constant_demand_has_constant_numbers(
        items in 0u32..360,
        min in 0u32..4,
        start in prop::collection::vec(0u32..20, 3),
    ) {
        prop_assume!(start.iter().sum::<u32>() > 0);
        let mut scaling = known_scaling();
        scaling.min = min;
        let servers: Vec<(&str, u32)> = ZONES.into_iter().zip(start).collect();
        let mut platform = Platform::new(scaling, &servers);
        platform.run(400, |_| Some(items as usize));
        platform.orders.clear();
        let before = platform.kinds();
        platform.run(120, |_| Some(items as usize));
        prop_assert_eq!(&platform.orders, &Vec::new());
        prop_assert_eq!(platform.kinds(), before);
        let lost = ZONES.map(|zone| platform.pool(zone, true)).into_iter().max().unwrap_or(0);
        let left = platform.serving() - lost;
        // A tenth of the 72 servers that the zones may have is spare.
        prop_assert!(platform.serving() * 6 >= (items * 10 / 9).min(65 * 6));
        prop_assert!(left * 6 >= items * 6 / 10);
    }
}
