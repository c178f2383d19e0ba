//! How the slots of a service are divided between its batch jobs by what their delay costs.
//!
//! Answers the load pattern of jobs that together need more slots than there are, for instance after the
//! loss of a zone: with max-min shares all of them miss the time at which they are due, the urgent ones
//! with the others. While there is enough for all, the division is the one of [`crate::capacity`], except
//! that nobody gets less than it needs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use shallotroute_types::name::Name;

use crate::capacity::{Demand, Load, Supply};

/// The part of its equal share that each job keeps, so that the least urgent ones go on.
const FLOOR_DIVISOR: usize = 4;

/// The time that an item is taken to keep a slot before one has ended.
const DEFAULT_HOLD: Duration = Duration::from_secs(1);

/// The weight of one attempt in the moving average of [`Hold`].
const HOLD_WEIGHT: f64 = 0.1;

/// The priority that a request to a server gets at least when it belongs to a batch job: callers'
/// requests name none and get 5.
const FIRST_ITEM_PRIORITY: u8 = 6;

/// The least urgent priority of a request to a server.
const LAST_ITEM_PRIORITY: u8 = 9;

/// What one job lacks, and what its delay costs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// What it lacks.
    pub demand: Demand,
    /// The slots with which its open items end before it is due.
    pub slots: usize,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The workspace that it belongs to; `None` if there is none or it is unknown.
    pub workspace: Option<Name>,
}

/// What a node tells the others where shares are divided by cost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What each of its unfinished jobs needs.
    pub needs: Vec<Need>,
    /// Its requests in flight; servers without one may be left out.
    pub loads: Vec<Load>,
}

/// The moving average of the time for which an item of a route keeps a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hold {
    /// In seconds; `None` before an attempt has completed.
    mean: Option<f64>,
}

impl Hold {
    /// Records the time that a completed attempt has kept a slot.
    pub fn record(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        self.mean = Some(match self.mean {
            Some(mean) => mean + HOLD_WEIGHT * (elapsed - mean),
            None => elapsed,
        });
    }

    /// Returns the mean; one second before an attempt has completed.
    pub fn mean(&self) -> Duration {
        self.mean.map_or(DEFAULT_HOLD, Duration::from_secs_f64)
    }
}

impl Need {
    /// Creates the need of a job whose items keep a slot for `hold` and that is due after `left`. A slot
    /// runs as many items as whole times of `hold` are left; when not even one is left, the job needs
    /// what it can use.
    pub fn new(demand: Demand, hold: Duration, left: Duration, priority: u8) -> Self {
        let per_slot = left.as_millis() / hold.as_millis().max(1);
        let per_slot = usize::try_from(per_slot).unwrap_or(usize::MAX).max(1);
        Self {
            slots: demand.items.div_ceil(per_slot),
            demand,
            priority,
            workspace: None,
        }
    }

    /// Creates the need of a job whose node reports only what the job lacks. That node takes an equal
    /// share of `slots` among `jobs`.
    pub fn of_unknown(demand: Demand, slots: usize, jobs: usize) -> Self {
        Self {
            slots: demand.items.min(slots / jobs.max(1)).max(1),
            demand,
            priority: 0,
            workspace: None,
        }
    }

    /// Sets the workspace that the job belongs to.
    #[must_use]
    pub fn with_workspace(mut self, workspace: Option<Name>) -> Self {
        self.workspace = workspace;
        self
    }

    /// Returns the slots that are believed: no job can use more than it has items.
    fn believed(&self) -> usize {
        self.slots.min(self.demand.items).max(1)
    }
}

/// Returns how many items of a job may generate at once, beside the needs of other jobs. Which jobs
/// compete is as in [`crate::capacity::job_slots`].
pub fn job_slots<'a>(
    supply: Supply,
    own: &'a Need,
    others: impl Iterator<Item = &'a Need>,
) -> usize {
    let is_divided = supply.eligible * 2 <= supply.total;
    let slots = match is_divided {
        true => supply.eligible,
        false => supply.total,
    };
    let is_competing = |other: &&Need| {
        other.demand.service == own.demand.service
            && other.demand.items > 0
            && (!is_divided || other.demand.model == own.demand.model)
    };
    let mut needs = vec![own];
    needs.extend(others.filter(is_competing));
    shares(slots, &needs)[0]
}

/// Returns the number of slots for each job, at least one.
///
/// While the needs fit into the slots, each job gets its need and the rest is divided max-min. Otherwise
/// each job keeps a floor, and the rest goes to the needs by priority, within one priority max-min by
/// workspace and in the workspace by job.
pub fn shares(slots: usize, needs: &[&Need]) -> Vec<usize> {
    let total = needs
        .iter()
        .fold(0_usize, |total, need| total.saturating_add(need.believed()));
    if total <= slots {
        let claims: Vec<Claim<'_>> = needs
            .iter()
            .map(|need| Claim {
                workspace: need.workspace.as_ref(),
                least: need.believed(),
                most: need.demand.items.max(1),
            })
            .collect();
        return divide(slots, &claims);
    }
    let mut shares = floors(slots, needs);
    let mut left = slots.saturating_sub(shares.iter().sum());
    let priorities: BTreeSet<u8> = needs.iter().map(|need| need.priority).collect();
    for priority in priorities {
        let members: Vec<usize> = (0..needs.len())
            .filter(|index| needs[*index].priority == priority)
            .collect();
        let claims: Vec<Claim<'_>> = members
            .iter()
            .map(|index| Claim {
                workspace: needs[*index].workspace.as_ref(),
                least: shares[*index],
                most: needs[*index].believed(),
            })
            .collect();
        let kept: usize = claims.iter().map(|claim| claim.least).sum();
        let is_enough = claims.iter().map(|claim| claim.most).sum::<usize>() <= left + kept;
        for (index, share) in members.iter().zip(divide(left + kept, &claims)) {
            left = left.saturating_sub(share - shares[*index]);
            shares[*index] = share;
        }
        if !is_enough {
            break;
        }
    }
    shares
}

/// Returns what each job keeps: a part of the equal share of its workspace, at least one slot, and not
/// more than its need.
fn floors(slots: usize, needs: &[&Need]) -> Vec<usize> {
    let mut jobs: BTreeMap<&Name, usize> = BTreeMap::new();
    for workspace in needs.iter().filter_map(|need| need.workspace.as_ref()) {
        *jobs.entry(workspace).or_default() += 1;
    }
    let single = needs.iter().filter(|need| need.workspace.is_none()).count();
    let equal = slots / (jobs.len() + single).max(1);
    let floor = |need: &&Need| {
        let siblings = need.workspace.as_ref().map_or(1, |name| jobs[name]);
        (equal / siblings / FLOOR_DIVISOR)
            .max(1)
            .min(need.believed())
    };
    let floors: Vec<usize> = needs.iter().map(floor).collect();
    match floors.iter().sum::<usize>() <= slots {
        true => floors,
        // With about as many jobs as slots, the least of one for each is more than the rest allows.
        false => vec![1; needs.len()],
    }
}

/// What one job may get of an amount.
struct Claim<'a> {
    workspace: Option<&'a Name>,
    least: usize,
    most: usize,
}

/// Divides an amount max-min between the workspaces and, in each, between its jobs.
fn divide(amount: usize, claims: &[Claim<'_>]) -> Vec<usize> {
    let mut by_workspace: BTreeMap<&Name, Vec<usize>> = BTreeMap::new();
    let mut groups: Vec<Vec<usize>> = Vec::new();
    for (index, claim) in claims.iter().enumerate() {
        match claim.workspace {
            Some(workspace) => by_workspace.entry(workspace).or_default().push(index),
            None => groups.push(vec![index]),
        }
    }
    groups.extend(by_workspace.into_values());
    let bounds = |members: &[usize]| -> Vec<(usize, usize)> {
        let bounds = members
            .iter()
            .map(|index| (claims[*index].least, claims[*index].most));
        bounds.collect()
    };
    let sums: Vec<(usize, usize)> = groups
        .iter()
        .map(|members| {
            bounds(members).iter().fold((0, 0), |(least, most), bound| {
                (least + bound.0, most + bound.1)
            })
        })
        .collect();
    let mut shares = vec![0; claims.len()];
    for (members, amount) in groups.iter().zip(level(amount, &sums)) {
        for (index, share) in members.iter().zip(level(amount, &bounds(members))) {
            shares[*index] = share;
        }
    }
    shares
}

/// Returns the parts of an amount that are equal as far as their bounds (least, most) allow. Their sum is
/// at most the amount, unless the least parts are more.
fn level(amount: usize, bounds: &[(usize, usize)]) -> Vec<usize> {
    let parts = |level: usize| {
        let part = move |(least, most): &(usize, usize)| level.min(*most).max(*least);
        bounds.iter().map(part)
    };
    let (mut low, mut high) = (0, bounds.iter().map(|(_, most)| *most).max().unwrap_or(0));
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        match parts(middle).sum::<usize>() <= amount {
            true => low = middle,
            false => high = middle - 1,
        }
    }
    parts(low).collect()
}

/// Returns the priority of a job's items at the servers, where `earlier` unfinished jobs of the same
/// priority were submitted before it at this node. Callers' requests come first.
pub fn item_priority(priority: u8, earlier: usize) -> u8 {
    let earlier = u8::try_from(earlier).unwrap_or(u8::MAX);
    FIRST_ITEM_PRIORITY
        .saturating_add(priority)
        .saturating_add(earlier)
        .min(LAST_ITEM_PRIORITY)
}
