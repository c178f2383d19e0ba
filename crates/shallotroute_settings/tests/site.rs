//! Settings files of nodes on the users' platform.

use std::{path::Path, time::Duration};

use googletest::prelude::*;
use shallotroute_settings::site::{
    Duty, NodeSettings, Overload, Role, ScalingPolicy, SiteSettings,
};

const SETTINGS: &str = "\
node:
  id: front-1
  region: lk-west
  zone: colombo
site:
  role: entry
  store: 10.200.1.7:8169
  cores: 0.25
  grace_s: 8
  retention_s: 120
  fences_checked: true
  lease_s: 3000e-3
listen:
  callers: 10.1.0.10:8161
  readiness: 10.1.0.10:8167
  peers: 10.1.0.10:7720
  metrics: 10.1.0.10:9464
log_level: info
";

fn parse(text: &str) -> std::result::Result<SiteSettings, String> {
    SiteSettings::parse(Path::new("node.yaml"), text).map_err(|findings| findings.to_string())
}

/// Guards against a node that rejects or misreads the settings that the deployment generates.
#[gtest]
fn reads_settings_generated_from_the_template() -> Result<()> {
    let site = parse(SETTINGS).or_fail()?;
    expect_that!(site.node.id.as_str(), eq("front-1"));
    expect_that!(site.role, eq(Role::Entry));
    expect_that!(site.grace, eq(Duration::from_secs(8)));
    expect_that!(site.stale_order_delay, eq(Duration::ZERO));
    expect_that!(site.listen.peers.port(), eq(7720));
    Ok(())
}

/// Guards against a former leader's orders that arrive after those of the new leader at servers
/// that do not check fencing numbers.
#[gtest]
fn new_leader_waits_for_a_lease_where_servers_do_not_check_fences() -> Result<()> {
    let site = parse(&SETTINGS.replace("checked: true", "checked: false")).or_fail()?;
    expect_that!(site.stale_order_delay, eq(Duration::from_secs(3)));
    Ok(())
}

/// Guards against a standby node that can't start without listeners that it does not use.
#[gtest]
fn standby_node_needs_no_addresses_for_callers() -> Result<()> {
    let text = SETTINGS.replace("role: entry", "role: standby").replace(
        "  callers: 10.1.0.10:8161\n  readiness: 10.1.0.10:8167\n",
        "",
    );
    expect_that!(parse(&text).or_fail()?.role, eq(Role::Standby));
    Ok(())
}

/// Guards against validation that stops at the first fault or reports no line numbers.
#[gtest]
fn reports_all_faults_with_their_lines() {
    let text = SETTINGS
        .replace("role: entry", "role: captain")
        .replace("10.200.1.7:8169", "nowhere")
        .replace("grace_s: 8", "grace_s: -1")
        .replace("  lease_s", "  rack: 7\n  lease_s");
    let findings = parse(&text).err().unwrap_or_default();
    for part in [
        "node.yaml:6: site.role: `captain` is not one of entry, standby",
        "node.yaml:7: site.store: `nowhere` is not an IP address with a port",
        "node.yaml:9: site.grace_s: has to be a number of seconds that is not negative",
        "node.yaml:12: site.rack: unknown field",
    ] {
        expect_that!(findings, contains_substring(part));
    }
    let missing = SETTINGS.replace("  callers: 10.1.0.10:8161\n", "");
    expect_that!(
        parse(&missing).err(),
        some(contains_substring("needs the addresses `callers`"))
    );
}

/// Guards against a program that reads settings for the platform as those of a node with the
/// project's own API, or the reverse.
#[gtest]
fn settings_with_a_section_site_are_for_the_platform() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("node.yaml");
    std::fs::write(&path, SETTINGS)?;
    expect_that!(
        NodeSettings::read(&path).or_fail()?,
        matches_pattern!(NodeSettings::Site(anything()))
    );
    let example = Path::new("../../docs/operators/settings.example.yaml");
    expect_that!(
        NodeSettings::read(example).or_fail()?,
        matches_pattern!(NodeSettings::Node(anything()))
    );
    Ok(())
}

/// Guards against duties and bounds of the deployment that a node does not read, and against an empty value
/// of a deployment without them that counts as a fault.
#[gtest]
fn reads_duties_and_bounds_where_the_deployment_has_them() -> Result<()> {
    let without = SETTINGS.replace(
        "  lease_s",
        "  memory_mb: \n  revocation_s: \n  duties: \n  lease_s",
    );
    let site = parse(&without).or_fail()?;
    expect_that!(site.duties, none());
    expect_that!(site.revocation, none());
    expect_that!(site.memory_mb, none());
    let with = SETTINGS.replace(
        "  lease_s",
        concat!(
            "  revocation_s: 5000e-3\n",
            "  duties:\n",
            "    address: 10.200.0.5:8667\n",
            "    kinds: [\"usage\", \"scale\", \"later\"]\n",
            "    calls_per_s: 50.0\n",
            "    window_s: 5\n",
            "    report_within_s: 10\n",
            "  memory_mb: 160\n",
            "  descriptors: 4100\n",
            "  lease_s",
        ),
    );
    let site = parse(&with).or_fail()?;
    let duties = site.duties.or_fail()?;
    expect_that!(
        duties.kinds,
        unordered_elements_are![eq(&Duty::Usage), eq(&Duty::Scale)]
    );
    expect_that!(duties.window, eq(Duration::from_secs(5)));
    expect_that!(site.revocation, some(eq(Duration::from_secs(5))));
    expect_that!(site.memory_mb, some(eq(160)));
    expect_that!(site.descriptors, some(eq(4100)));
    expect_that!(site.lease, eq(Duration::from_secs(3)));
    Ok(())
}

/// Guards against a policy that is misread, and against one that is taken for another because of a mistake.
#[gtest]
fn reads_the_policy_of_scaling() -> Result<()> {
    let with = |section: &str| SETTINGS.replace("  lease_s", &format!("{section}  lease_s"));
    for (section, policy) in [
        ("", ScalingPolicy::ByDemand),
        ("  scaling:\n", ScalingPolicy::ByDemand),
        ("  scaling: {policy: by_demand}\n", ScalingPolicy::ByDemand),
        ("  scaling: {policy: unchanged}\n", ScalingPolicy::Unchanged),
        (
            "  scaling: {policy: fixed, factor: 0.5}\n",
            ScalingPolicy::Fixed { factor: 0.5 },
        ),
    ] {
        expect_that!(parse(&with(section)).or_fail()?.scaling, eq(policy));
    }
    for (section, finding) in [
        ("  scaling: {policy: most}\n", "is not one of by_demand"),
        ("  scaling: {policy: fixed, factor: 2}\n", "from 0 to 1"),
        ("  scaling: {policy: fixed, factor: .nan}\n", "from 0 to 1"),
        (
            "  scaling: {policy: unchanged, factor: 1}\n",
            "`fixed` only",
        ),
    ] {
        expect_that!(
            parse(&with(section)).err(),
            some(contains_substring(finding))
        );
    }
    Ok(())
}

/// Guards against a policy that differs from the one of earlier builds without a word in the settings, and
/// against a misspelt one.
#[gtest]
fn requests_wait_in_the_order_of_arrival_unless_the_settings_say_otherwise() -> Result<()> {
    let with = |overload: &str| {
        let text = format!("  lease_s: 3000e-3\n  overload: {overload}\n");
        parse(&SETTINGS.replace("  lease_s: 3000e-3\n", &text))
    };
    expect_that!(parse(SETTINGS).or_fail()?.overload, eq(Overload::FirstCome));
    expect_that!(with("by_cost").or_fail()?.overload, eq(Overload::ByCost));
    expect_that!(with("").or_fail()?.overload, eq(Overload::FirstCome));
    expect_that!(
        with("by_prize"),
        err(contains_substring("is not one of first_come, by_cost"))
    );
    Ok(())
}
