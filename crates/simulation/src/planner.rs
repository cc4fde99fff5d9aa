//! The random planner: any fault, any moment, together or twice.

use crate::plan::{Behaviour, Fault, FleetSize, Plan, PlannedFault};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Mixed into a plan's seed, so that plan and run draw apart.
const PLANNER_STREAM: u64 = 0x706c_616e;
/// Longest freeze and cut, above the brief's twenty seconds.
const LONGEST_MS: u64 = 26_000;
/// Longest time a daemon is down.
const LONGEST_DOWN_MS: u64 = 6_000;

/// What the planner may draw.
#[derive(Debug, Clone)]
pub struct PlannerOptions {
    /// Machines and load.
    pub fleet: FleetSize,
    /// Callers send new jobs for this long; faults fall within it.
    pub load_ms: u64,
    /// Most faults in a plan.
    pub most_faults: usize,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            fleet: FleetSize {
                load_percent: 40,
                ..FleetSize::default()
            },
            load_ms: 30_000,
            most_faults: 8,
        }
    }
}

/// Makes a plan from a seed.
///
/// Faults that take a coordinator's disk for good (`lose_disk`, `replace`) are
/// drawn apart by enough time for a repair, and never together with the power
/// loss of all: the users' world loses one core machine at a time.
pub fn plan_from_seed(seed: u64, options: &PlannerOptions) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PLANNER_STREAM);
    let count = random.random_range(1..=options.most_faults.max(1));
    let mut faults: Vec<PlannedFault> = (0..count)
        .map(|_| {
            let at_ms = random.random_range(0..options.load_ms);
            let fault = draw_fault(&mut random, &options.fleet);
            PlannedFault { at_ms, fault }
        })
        .collect();
    faults.sort_by_key(|planned| planned.at_ms);
    keep_one_disk_loss_at_a_time(&mut faults);
    Plan {
        seed,
        fleet: options.fleet,
        load_ms: options.load_ms,
        calm_ms: crate::plan::DEFAULT_CALM_MS,
        mutation: None,
        faults,
    }
}

/// Time a repair has before another coordinator may be taken.
const REPAIR_MS: u64 = 8_000;

/// Drops faults that would take a second coordinator before the repair of a
/// lost disk can be done. The promise covers one loss at a time, and a second
/// one "right after" the repair.
fn keep_one_disk_loss_at_a_time(faults: &mut Vec<PlannedFault>) {
    let mut kept: Vec<PlannedFault> = Vec::new();
    let mut majority_busy: Vec<(u64, u64)> = Vec::new();
    let mut disk_lost: Vec<u64> = Vec::new();
    for planned in faults.drain(..) {
        let from = planned.at_ms;
        let until = from + crate::run::lasts_ms(&planned.fault) + REPAIR_MS;
        let takes_disk = matches!(
            planned.fault,
            Fault::LoseDisk { .. } | Fault::Replace { .. }
        );
        let touches_core = touches_coordinator(&planned.fault);
        let clashes = if takes_disk {
            majority_busy.iter().any(|(_, end)| *end > from)
        } else {
            touches_core && disk_lost.iter().any(|end| *end > from)
        };
        if clashes {
            continue;
        }
        if takes_disk {
            disk_lost.push(until);
        }
        if touches_core {
            majority_busy.push((from, until));
        }
        kept.push(planned);
    }
    *faults = kept;
}

fn touches_coordinator(fault: &Fault) -> bool {
    let whole_core = matches!(
        fault,
        Fault::KillCoordinators { .. } | Fault::PowerLoss { .. } | Fault::Weather { .. }
    );
    whole_core
        || fault
            .machines()
            .iter()
            .any(|name| name.starts_with("coordinator"))
}

fn draw_fault(random: &mut ChaCha8Rng, fleet: &FleetSize) -> Fault {
    match random.random_range(0..20) {
        0..=1 => Fault::Kill {
            machine: any_machine(random, fleet),
            down_ms: down(random),
        },
        2 => Fault::Stop {
            machine: any_machine(random, fleet),
            down_ms: down(random),
        },
        3 => Fault::KillCoordinators {
            down_ms: down(random),
        },
        4 => Fault::PowerLoss {
            down_ms: down(random),
        },
        5 => Fault::LoseDisk {
            machine: coordinator(random, fleet),
            down_ms: down(random),
        },
        6 => Fault::Replace {
            machine: coordinator(random, fleet),
            down_ms: down(random),
        },
        7..=8 => Fault::Freeze {
            machine: any_machine(random, fleet),
            for_ms: long(random),
        },
        9..=10 => Fault::Cut {
            machine: any_machine(random, fleet),
            for_ms: long(random),
        },
        11 => Fault::CutOneWay {
            from: any_machine(random, fleet),
            to: coordinator(random, fleet),
            for_ms: long(random),
        },
        other => draw_softer_fault(random, fleet, other),
    }
}

fn draw_softer_fault(random: &mut ChaCha8Rng, fleet: &FleetSize, kind: u32) -> Fault {
    match kind {
        12 => Fault::Weather {
            loss_per_thousand: random.random_range(0..150),
            double_per_thousand: random.random_range(0..100),
            delay_ms: random.random_range(0..80),
            for_ms: long(random),
        },
        13 => Fault::LateOrders {
            machine: side(random, fleet),
            delay_ms: random.random_range(0..5_000),
            loss_per_thousand: random.random_range(0..500),
            for_ms: long(random),
        },
        14 => Fault::KillRunner {
            machine: side(random, fleet),
            down_ms: down(random),
        },
        15 => Fault::DrainRunner {
            machine: side(random, fleet),
            down_ms: down(random),
        },
        16 => Fault::Misbehave {
            machine: side(random, fleet),
            behaviour: behaviour(random),
            for_ms: long(random),
        },
        17 => Fault::RaceOperators,
        18 => Fault::ConfigurationStorm {
            count: random.random_range(1..40),
        },
        _ => Fault::CancelBatch {
            count: random.random_range(1..40),
        },
    }
}

fn behaviour(random: &mut ChaCha8Rng) -> Behaviour {
    let all = [
        Behaviour::FailsHalf,
        Behaviour::FailsAll,
        Behaviour::Slow,
        Behaviour::Stuck,
    ];
    all.choose(random).copied().unwrap_or(Behaviour::Slow)
}

fn down(random: &mut ChaCha8Rng) -> u64 {
    random.random_range(0..LONGEST_DOWN_MS)
}

fn long(random: &mut ChaCha8Rng) -> u64 {
    random.random_range(200..LONGEST_MS)
}

fn any_machine(random: &mut ChaCha8Rng, fleet: &FleetSize) -> String {
    match random.random_range(0..3) {
        0 => coordinator(random, fleet),
        1 => format!("gateway-{}", random.random_range(0..fleet.gateways)),
        _ => side(random, fleet),
    }
}

fn coordinator(random: &mut ChaCha8Rng, fleet: &FleetSize) -> String {
    format!("coordinator-{}", random.random_range(0..fleet.coordinators))
}

fn side(random: &mut ChaCha8Rng, fleet: &FleetSize) -> String {
    let sides = fleet.stills_runners + fleet.documents_runners;
    format!("side-{}", random.random_range(0..sides))
}
