//! The random planner: any fault, any moment, together or twice.

use crate::plan::{Behaviour, Fault, FleetSize, Plan, PlannedFault};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Mixed into a plan's seed, so that plan and run draw apart.
const PLANNER_STREAM: u64 = 0x706c_616e;
/// Longest freeze and cut, above the brief's twenty seconds.
const MAX_FAULT_MS: u64 = 26_000;
/// Longest time a daemon is down.
const MAX_DOWN_MS: u64 = 6_000;

/// What the planner may draw.
#[derive(Debug, Clone)]
pub struct PlannerOptions {
    /// Machines and load.
    pub fleet: FleetSize,
    /// Callers send new jobs for this long; faults fall within it.
    pub load_ms: u64,
    /// Most faults in a plan.
    pub max_faults: usize,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            fleet: FleetSize {
                load_percent: 40,
                ..FleetSize::default()
            },
            load_ms: 30_000,
            max_faults: 8,
        }
    }
}

/// Makes a plan from a seed.
///
/// Faults that take a coordinator's disk for good (`lose_disk`, `replace`) are
/// drawn apart by enough time for a repair, and never together with the power
/// loss of all: the users' cluster loses one core machine at a time.
pub fn plan_from_seed(seed: u64, options: &PlannerOptions) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PLANNER_STREAM);
    let count = random.random_range(1..=options.max_faults.max(1));
    let mut faults = Vec::new();
    for _ in 0..count {
        let at_ms = random.random_range(0..options.load_ms);
        let fault = draw_fault(&mut random, &options.fleet);
        let companion = draw_companion(&mut random, &options.fleet, at_ms, &fault);
        faults.push(PlannedFault { at_ms, fault });
        faults.extend(companion);
    }
    faults.sort_by_key(|planned| planned.at_ms);
    keep_one_disk_loss_at_a_time(&mut faults);
    Plan {
        seed,
        fleet: options.fleet,
        load_ms: options.load_ms,
        calm_ms: crate::plan::DEFAULT_CALM_MS,
        processing: Default::default(),
        policy: Default::default(),
        transfer_when_degraded: true,
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
    let mut accepted: Vec<PlannedFault> = Vec::new();
    let mut majority_busy: Vec<(u64, u64)> = Vec::new();
    let mut disk_lost: Vec<u64> = Vec::new();
    for planned in faults.drain(..) {
        if is_second_loss(&planned.fault) {
            keep_second_loss(planned, &mut accepted, &mut majority_busy, &mut disk_lost);
            continue;
        }
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
        accepted.push(planned);
    }
    *faults = accepted;
}

fn is_second_loss(fault: &Fault) -> bool {
    matches!(fault, Fault::KillOnceRepaired { .. })
}

/// A second loss waits for the repair of the first one, which stands right
/// before it; it is kept with it, and takes the core for as long.
fn keep_second_loss(
    planned: PlannedFault,
    accepted: &mut Vec<PlannedFault>,
    majority_busy: &mut Vec<(u64, u64)>,
    disk_lost: &mut Vec<u64>,
) {
    let follows = accepted.last().is_some_and(|first| {
        let takes_disk = matches!(first.fault, Fault::LoseDisk { .. } | Fault::Replace { .. });
        takes_disk && first.at_ms == planned.at_ms
    });
    if !follows {
        return;
    }
    let until = planned.at_ms + crate::run::lasts_ms(&planned.fault) + REPAIR_MS;
    majority_busy.push((planned.at_ms, until));
    disk_lost.push(until);
    accepted.push(planned);
}

fn touches_coordinator(fault: &Fault) -> bool {
    let is_core_fault = matches!(
        fault,
        Fault::KillCoordinators { .. } | Fault::PowerLoss { .. } | Fault::Weather { .. }
    );
    is_core_fault
        || fault
            .machines()
            .iter()
            .any(|name| name.starts_with("coordinator"))
}

/// Faults come together: after a lost disk a second loss, after a storm of
/// configurations a restart of all, and after one in three of the rest any
/// other, within two seconds.
fn draw_companion(
    random: &mut ChaCha8Rng,
    fleet: &FleetSize,
    at_ms: u64,
    fault: &Fault,
) -> Option<PlannedFault> {
    match fault {
        Fault::LoseDisk { .. } | Fault::Replace { .. } if random.random_range(0..2) == 0 => {
            let fault = Fault::KillOnceRepaired {
                machine: coordinator(random, fleet),
                after_ms: random.random_range(0..8_000),
                down_ms: down(random),
                loses_disk: random.random_range(0..2) == 0,
            };
            Some(PlannedFault { at_ms, fault })
        }
        Fault::ConfigurationStorm { .. } if random.random_range(0..2) == 0 => {
            let down_ms = down(random);
            let fault = match random.random_range(0..2) {
                0 => Fault::KillCoordinators { down_ms },
                _ => Fault::PowerLoss { down_ms },
            };
            let at_ms = at_ms + random.random_range(0..10_000);
            Some(PlannedFault { at_ms, fault })
        }
        _ if random.random_range(0..3) == 0 => {
            let fault = draw_fault(random, fleet);
            let at_ms = at_ms + random.random_range(0..2_000);
            Some(PlannedFault { at_ms, fault })
        }
        _ => None,
    }
}

fn draw_fault(random: &mut ChaCha8Rng, fleet: &FleetSize) -> Fault {
    match random.random_range(0..26) {
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
            count: random.random_range(1..300),
        },
        19 => Fault::InvalidConfiguration,
        20 => Fault::Burst {
            caller: random.random_range(0..2),
            times: random.random_range(2..=20),
            for_ms: random.random_range(200..4_000),
        },
        21 => Fault::Split {
            machines: zone(random, fleet),
            for_ms: long(random),
        },
        22 => Fault::ClockStep {
            machine: side(random, fleet),
            by_ms: random.random_range(-30_000..30_000),
        },
        23 => Fault::ClockStep {
            machine: coordinator(random, fleet),
            by_ms: random.random_range(-30..30),
        },
        24 => Fault::LateOrders {
            machine: side(random, fleet),
            delay_ms: random.random_range(0..100),
            loss_per_thousand: random.random_range(0..900),
            for_ms: long(random),
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
    random.random_range(0..MAX_DOWN_MS)
}

fn long(random: &mut ChaCha8Rng) -> u64 {
    random.random_range(200..MAX_FAULT_MS)
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

/// All machines of one zone.
fn zone(random: &mut ChaCha8Rng, fleet: &FleetSize) -> Vec<String> {
    let zone = random.random_range(0..crate::fleet::ZONES);
    let names = fleet.machine_names().into_iter().enumerate();
    names
        .filter(|(position, _)| position % crate::fleet::ZONES == zone)
        .map(|(_, name)| name)
        .collect()
}

fn side(random: &mut ChaCha8Rng, fleet: &FleetSize) -> String {
    let sides = fleet.media_runners + fleet.documents_runners;
    format!("side-{}", random.random_range(0..sides))
}
