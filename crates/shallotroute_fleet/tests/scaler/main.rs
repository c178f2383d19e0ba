//! Tests of the number of servers under the loads of trainers and the failures of the platform.

mod platform;
mod property;
mod steps;

use std::time::Duration;

use googletest::prelude::*;
use platform::{Platform, known_scaling};
use shallotroute_fleet::{
    route::{Price, Scaling},
    scaler::{Hold, Order, Policy, Reason, Scaler},
};

/// The servers of the known deployments at the start.
const START: [(&str, u32); 3] = [("a", 13), ("b", 12), ("c", 13)];

/// Open items of four trainers whose steps of 100 items begin in turn, one a second.
fn in_turn(second: u64) -> Option<usize> {
    Some(120 + (second as usize * 37) % 80)
}

/// Returns a platform that has come to rest under a demand.
fn settled(items: usize) -> Platform {
    let mut platform = Platform::new(known_scaling(), &START);
    platform.run(200, |_| Some(items));
    platform.orders.clear();
    platform
}

fn lowers(platform: &Platform) -> usize {
    let is_lower = |(_, order): &&(_, Order)| order.count < order.former;
    platform.orders.iter().filter(is_lower).count()
}

/// Shows the numbers at the known figures. Guards against a change that makes the fleet too small for
/// bursts of four trainers, or more expensive, unnoticed.
#[gtest]
fn numbers_at_the_known_figures() {
    // Items; on-demand and spot servers in the zones a, b, c; price per second.
    let expected = [
        (0, [1, 1, 1], [0, 0, 0], 3.05),
        (50, [1, 1, 1], [3, 2, 3], 4.799),
        (100, [2, 1, 2], [6, 5, 5], 8.442),
        (200, [4, 2, 3], [11, 10, 11], 15.917),
        (400, [7, 5, 6], [16, 16, 16], 28.686),
    ];
    for (items, on_demand, spot, cost) in expected {
        let platform = settled(items);
        let pools = |is_spot| ["a", "b", "c"].map(|zone| platform.pool(zone, is_spot));
        expect_that!((items, pools(false)), eq((items, on_demand)));
        expect_that!((items, pools(true)), eq((items, spot)));
        expect_that!((items, platform.cost()), (eq(items), near(cost, 1e-6)));
    }
}

/// Guards against servers that are missing when the next steps begin: bursts of several trainers keep
/// enough servers for the largest, also in the seconds between two bursts.
#[gtest]
fn bursts_keep_the_servers_for_their_peak() {
    let mut platform = Platform::new(known_scaling(), &START);
    platform.run(120, |second| Some([350, 250, 60, 0][second as usize % 4]));
    let before = platform.serving();
    platform.orders.clear();
    platform.run(60, |second| Some([350, 250, 60, 0][second as usize % 4]));
    expect_that!(before * 6, ge(350 * 10 / 9));
    expect_that!(platform.orders, is_empty());
}

/// Guards against growth that waits: a wave that doubles the demand has its servers after the boot time
/// and two polls.
#[gtest]
fn a_wave_is_followed_at_once_and_left_slowly() {
    let mut platform = settled(150);
    let before = platform.serving();
    platform.run(7, |_| Some(400));
    let peak = platform.serving();
    expect_that!(peak, ge(60));
    platform.run(15, |_| Some(150));
    expect_that!(platform.serving(), ge(peak));
    platform.run(200, |_| Some(150));
    expect_that!(platform.serving(), le(before + 3));
}

/// Guards against late steps after the loss of a zone: the rest of the servers suffices before
/// anything is replaced, and replacements go to other zones.
#[gtest]
fn a_reclaimed_zone_is_survived_and_replaced_elsewhere() {
    let mut platform = settled(200);
    let (_, spot) = platform.kinds();
    expect_that!(spot, gt(5));
    platform.reclaim(&["a"]);
    expect_that!(platform.serving() * 6, ge(200 * 6 / 10));
    platform.run(8, |_| Some(200));
    expect_that!(platform.pool("a", true), eq(0));
    let in_a = |(_, order): &&(_, Order)| *order.zone == *"a" && order.is_spot;
    expect_that!(platform.orders.iter().filter(in_a).count(), eq(0));
    expect_that!(platform.orders, not(is_empty()));
    expect_that!(lowers(&platform), eq(0));
}

/// Guards against waiting for spot servers when there are none anywhere: on-demand servers replace them
/// within the boot time, and are left again once spot servers are back.
#[gtest]
fn on_demand_servers_replace_spot_servers_that_are_gone_everywhere() {
    let mut platform = settled(200);
    let (floor, _) = platform.kinds();
    expect_that!(floor * 6 * 6, ge(200));
    platform.reclaim(&["a", "b", "c"]);
    platform.run(7, |_| Some(200));
    expect_that!(platform.serving() * 6, ge(200 * 6 / 10));
    platform.restore();
    platform.run(250, |_| Some(200));
    let (on_demand, spot) = platform.kinds();
    expect_that!(on_demand, le(floor + 2));
    expect_that!(spot, gt(5));
}

/// Guards against paying for calls that are refused again and again, and against giving up after a
/// refusal: others are ordered instead, and the zone is asked again after a while.
#[gtest]
fn a_refusal_is_backed_off_and_replaced() {
    let mut platform = settled(100);
    for zone in ["a", "c"] {
        platform.unavailable.insert((zone.into(), true));
    }
    platform.run(60, |_| Some(300));
    let refused = |(_, order): &&(_, Order)| *order.zone != *"b" && order.is_spot;
    expect_that!(platform.orders.iter().filter(refused).count(), le(12));
    expect_that!(platform.serving() * 6, ge(200));
}

/// Guards against a smaller fleet on missing data: neither missing reports nor a host list that can't be
/// read lower a number, and the wait begins anew when they are back.
#[gtest]
fn missing_data_lowers_nothing() {
    let mut platform = settled(300);
    let before = platform.kinds();
    platform.run(100, |_| None);
    expect_that!(platform.orders, is_empty());
    platform.run(9, |_| Some(0));
    expect_that!(platform.orders, is_empty());
    platform.is_listed = false;
    platform.run(60, |_| Some(0));
    platform.is_listed = true;
    platform.run(9, |_| Some(0));
    expect_that!(platform.orders, is_empty());
    expect_that!(platform.kinds(), eq(before));
}

/// Guards against losses that are not replaced while reports are missing: the last demand holds.
#[gtest]
fn losses_are_replaced_on_missing_data() {
    let mut platform = settled(300);
    platform.run(60, |_| None);
    platform.reclaim(&["a", "b", "c"]);
    platform.run(8, |_| None);
    expect_that!(platform.serving() * 6, ge(300 * 6 / 10));
}

/// Guards against a new leader that lowers numbers before it knows the demand.
#[gtest]
fn a_new_leader_lowers_nothing_for_ten_seconds() {
    let mut platform = Platform::new(known_scaling(), &START);
    platform.run(10, |_| Some(0));
    expect_that!(lowers(&platform), eq(0));
    platform.run(120, in_turn);
    platform.orders.clear();
    platform.scaler = Scaler::new(Policy::ByDemand, platform.now);
    platform.run(10, |_| Some(0));
    expect_that!(platform.orders, is_empty());
    let (_, account) = platform.scaler.accounts().next().unwrap();
    expect_that!(account.hold, some(eq(Hold::NewLeader)));
}

/// Guards against a new leader that takes servers which are not listed yet for missing: the number that it orders
/// would lower theirs.
#[gtest]
fn a_new_leader_does_not_order_fewer_servers_than_there_are() {
    let mut platform = Platform::new(known_scaling(), &START);
    let servers = platform.serving();
    platform.unlisted = ["a".into(), "b".into()].into();
    for _ in 0..5 {
        platform.step(Some(100));
        expect_that!(platform.serving(), eq(servers));
    }
    platform.unlisted.clear();
    for _ in 0..5 {
        platform.step(Some(100));
        expect_that!(platform.serving(), ge(servers));
    }
}

/// Guards against an order that lowers the number of servers that serve, but are cut off from the store.
#[gtest]
fn servers_that_are_not_listed_for_a_while_are_kept() {
    let on_demand_only = Scaling {
        spot_price: Price::new(1.0).unwrap(),
        ..known_scaling()
    };
    let mut platform = Platform::new(on_demand_only, &START);
    platform.run(9, |_| Some(50));
    let servers = platform.pool("b", false);
    platform.unlisted = ["b".into()].into();
    for _ in 0..10 {
        platform.step(Some(200));
        expect_that!(platform.pool("b", false), ge(servers));
    }
}

/// Guards against an order that is lost: a call without a response is repeated with the same number, not
/// at each poll.
#[gtest]
fn an_unanswered_order_is_repeated() {
    let mut platform = settled(100);
    platform.is_silent = true;
    platform.run(6, |_| Some(400));
    let repeated = platform
        .orders
        .iter()
        .filter(|(_, order)| order.reason == Reason::Repeated)
        .count();
    expect_that!(repeated, all!(ge(2), le(12)));
    platform.is_silent = false;
    platform.run(12, |_| Some(400));
    expect_that!(platform.serving(), ge(60));
}

/// Guards against calls without use after a change of prices, which alone is no shortage, and against
/// prices that are not followed.
#[gtest]
fn dear_spot_servers_are_left_for_on_demand_ones() {
    let mut platform = settled(200);
    let before = platform.kinds();
    platform
        .scaling
        .zone_prices
        .insert("b".into(), Price::new(1.25).unwrap());
    platform.run(60, |_| Some(200));
    expect_that!(platform.kinds(), eq(before));
    platform.scaling.spot_price = Price::ONE;
    platform.reclaim(&["a", "b", "c"]);
    platform.restore();
    platform.run(60, |_| Some(200));
    expect_that!(platform.kinds().1, eq(0));
}

/// Guards against numbers outside the limits of a zone, also after a change of the configuration.
#[gtest]
fn limits_of_the_configuration_hold() {
    let mut scaling = known_scaling();
    (scaling.min, scaling.max) = (3, 6);
    let mut platform = Platform::new(scaling, &[("a", 5), ("b", 1), ("c", 6)]);
    platform.run(100, |_| Some(0));
    let totals = |platform: &Platform| {
        ["a", "b", "c"].map(|zone| platform.pool(zone, false) + platform.pool(zone, true))
    };
    expect_that!(totals(&platform), eq([3, 3, 3]));
    platform.run(30, |_| Some(100_000));
    expect_that!(totals(&platform), eq([6, 6, 6]));
    platform.scaling.max = 4;
    platform.run(60, |_| Some(100_000));
    expect_that!(totals(&platform), eq([4, 4, 4]));
}

/// Guards against too few lasting servers where there is one zone, which loses all spot servers at once.
#[gtest]
fn one_zone_alone_has_on_demand_servers() {
    let mut scaling = known_scaling();
    scaling.zone_prices.retain(|zone, _| **zone == *"a");
    scaling.max = 60;
    let mut platform = Platform::new(scaling, &[("a", 38)]);
    platform.run(200, |_| Some(200));
    let (on_demand, spot) = platform.kinds();
    expect_that!(on_demand * 6, ge(200 * 6 / 10));
    expect_that!((on_demand + spot) * 6, ge(200 * 10 / 9));
}

/// Guards against a cheap zone that gets nearly all servers, so that its loss takes most of them.
#[gtest]
fn no_zone_has_over_half_of_the_servers() {
    let mut scaling = known_scaling();
    scaling
        .zone_prices
        .insert("a".into(), Price::new(0.05).unwrap());
    scaling.spot_price = Price::ONE;
    let mut platform = Platform::new(scaling, &[("c", 2)]);
    platform.run(60, |_| Some(200));
    let in_a = platform.pool("a", false) + platform.pool("a", true);
    let (on_demand, spot) = platform.kinds();
    expect_that!(2 * in_a, le(on_demand + spot + 1));
}

/// Guards against zones that are full of spot servers, so that no on-demand server has room for what has to
/// survive a loss.
#[gtest]
fn survivors_have_room_near_the_maximum() {
    let mut platform = Platform::new(known_scaling(), &[("c", 2)]);
    platform.run(100, |_| Some(560));
    let spot = ["a", "b", "c"].map(|zone| platform.pool(zone, true));
    let left = platform.serving() - spot.into_iter().max().unwrap_or(0);
    // 560 items in 2.1 waves, on slots that load for a quarter of their time.
    expect_that!(left, ge(60));
}

/// Guards against on-demand servers that are removed before the spot servers which replace them serve.
#[gtest]
fn nothing_is_lowered_while_servers_boot() {
    let mut scaling = known_scaling();
    scaling.boot_time = Duration::from_secs(20);
    let mut platform = Platform::new(scaling, &START);
    for _ in 0..120 {
        platform.run(1, |_| Some(200));
        expect_that!(platform.serving() * 6, ge(200 * 10 / 9));
    }
    expect_that!(platform.kinds().1, gt(5));
}

/// Guards against a fleet that shrinks while more may be lost.
#[gtest]
fn nothing_is_lowered_just_after_a_loss() {
    let mut platform = settled(300);
    platform.run(30, |_| Some(0));
    expect_that!(lowers(&platform), gt(0));
    platform.orders.clear();
    platform.reclaim(&["b"]);
    platform.run(10, |_| Some(0));
    expect_that!(lowers(&platform), eq(0));
    platform.run(10, |_| Some(0));
    expect_that!(lowers(&platform), gt(0));
}

/// Guards against policies that do something else than they say.
#[gtest]
fn other_policies_ignore_the_demand() {
    let mut platform = Platform::new(known_scaling(), &START);
    platform.scaler = Scaler::new(Policy::Unchanged, platform.now);
    platform.run(60, |_| Some(4000));
    expect_that!(platform.orders, is_empty());
    platform.scaler = Scaler::new(Policy::Fixed(0.5), platform.now);
    platform.run(60, |_| Some(4000));
    expect_that!(
        ["a", "b", "c"].map(|zone| platform.pool(zone, false)),
        eq([12; 3])
    );
    expect_that!(platform.scaling.boot_time, eq(Duration::from_secs(4)));
}
