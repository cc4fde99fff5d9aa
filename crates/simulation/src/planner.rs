//! The random planner, which draws faults of all kinds at any time, also several at once.

use crate::plan::{Behaviour, Fault, FleetSize, Plan, PlannedFault};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Combined with a plan's seed, so that the planner and the simulation draw from
/// different random streams.
const PLANNER_STREAM: u64 = 0x706c_616e;
/// Upper bound of the duration of a fault such as a freeze or a partition, in
/// milliseconds: longer than the 20 s that the requirements name.
const MAX_FAULT_MS: u64 = 26_000;
/// Upper bound of the time for which a daemon is down, in milliseconds.
const MAX_DOWN_MS: u64 = 6_000;

/// Limits for the plans that the planner draws.
#[derive(Debug, Clone)]
pub struct PlannerOptions {
    /// Numbers of machines and the load.
    pub fleet: FleetSize,
    /// Duration of the load phase in milliseconds. Faults begin within it, except some
    /// accompanying ones, which begin up to 10 s later.
    pub load_ms: u64,
    /// Maximum number of faults in a plan, without accompanying ones.
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

/// Draws a plan from a seed.
///
/// After a fault that loses a coordinator's disk (`lose_disk`, `replace`) there is enough
/// time for a repair before the next one, and it never coincides with the power loss of all
/// coordinators: in the users' cluster one coordinator machine is lost at a time.
pub fn plan_from_seed(seed: u64, options: &PlannerOptions) -> Plan {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PLANNER_STREAM);
    let count = random.random_range(1..=options.max_faults.max(1));
    let mut faults = Vec::new();
    for _ in 0..count {
        let at_ms = random.random_range(0..options.load_ms);
        let fault = draw_fault(&mut random, &options.fleet);
        let related = draw_related_fault(&mut random, &options.fleet, at_ms, &fault);
        faults.push(PlannedFault { at_ms, fault });
        faults.extend(related);
    }
    faults.sort_by_key(|planned| planned.at_ms);
    drop_overlapping_disk_losses(&mut faults);
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

/// Time for the repair of a coordinator before a fault may hit another one, in
/// milliseconds.
const REPAIR_MS: u64 = 8_000;

/// Drops faults that would hit a second coordinator before the repair of a lost disk can
/// be complete. The guarantee covers one loss at a time, and a second one right after the
/// repair.
fn drop_overlapping_disk_losses(faults: &mut Vec<PlannedFault>) {
    let mut accepted: Vec<PlannedFault> = Vec::new();
    let mut coordinator_faults: Vec<(u64, u64)> = Vec::new();
    let mut repair_ends: Vec<u64> = Vec::new();
    for planned in faults.drain(..) {
        if is_second_loss(&planned.fault) {
            accept_second_loss(
                planned,
                &mut accepted,
                &mut coordinator_faults,
                &mut repair_ends,
            );
            continue;
        }
        let from = planned.at_ms;
        let until = from + crate::run::fault_duration_ms(&planned.fault) + REPAIR_MS;
        let loses_disk = matches!(
            planned.fault,
            Fault::LoseDisk { .. } | Fault::Replace { .. }
        );
        let affects_coordinator = affects_any_coordinator(&planned.fault);
        let conflicts = if loses_disk {
            coordinator_faults.iter().any(|(_, end)| *end > from)
        } else {
            affects_coordinator && repair_ends.iter().any(|end| *end > from)
        };
        if conflicts {
            continue;
        }
        if loses_disk {
            repair_ends.push(until);
        }
        if affects_coordinator {
            coordinator_faults.push((from, until));
        }
        accepted.push(planned);
    }
    *faults = accepted;
}

fn is_second_loss(fault: &Fault) -> bool {
    matches!(fault, Fault::KillOnceRepaired { .. })
}

/// Accepts a second loss if the first one directly precedes it in the plan and was
/// accepted. Until its repair no other fault may hit a coordinator.
fn accept_second_loss(
    planned: PlannedFault,
    accepted: &mut Vec<PlannedFault>,
    coordinator_faults: &mut Vec<(u64, u64)>,
    repair_ends: &mut Vec<u64>,
) {
    let follows = accepted.last().is_some_and(|first| {
        let loses_disk = matches!(first.fault, Fault::LoseDisk { .. } | Fault::Replace { .. });
        loses_disk && first.at_ms == planned.at_ms
    });
    if !follows {
        return;
    }
    let until = planned.at_ms + crate::run::fault_duration_ms(&planned.fault) + REPAIR_MS;
    coordinator_faults.push((planned.at_ms, until));
    repair_ends.push(until);
    accepted.push(planned);
}

fn affects_any_coordinator(fault: &Fault) -> bool {
    let affects_all_coordinators = matches!(
        fault,
        Fault::KillCoordinators { .. } | Fault::PowerLoss { .. } | Fault::Weather { .. }
    );
    affects_all_coordinators
        || fault
            .machines()
            .iter()
            .any(|name| name.starts_with("coordinator"))
}

/// Draws a fault that accompanies `fault`: for one in two disk losses a second loss right
/// after the repair; for one in two bursts of configurations a restart of all coordinators
/// within 10 s; otherwise, in one of three cases, any fault within 2 s.
fn draw_related_fault(
    random: &mut ChaCha8Rng,
    fleet: &FleetSize,
    at_ms: u64,
    fault: &Fault,
) -> Option<PlannedFault> {
    match fault {
        Fault::LoseDisk { .. } | Fault::Replace { .. } if random.random_range(0..2) == 0 => {
            let fault = Fault::KillOnceRepaired {
                machine: draw_coordinator(random, fleet),
                after_ms: random.random_range(0..8_000),
                down_ms: draw_down_ms(random),
                loses_disk: random.random_range(0..2) == 0,
            };
            Some(PlannedFault { at_ms, fault })
        }
        Fault::ConfigurationStorm { .. } if random.random_range(0..2) == 0 => {
            let down_ms = draw_down_ms(random);
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
            machine: draw_machine(random, fleet),
            down_ms: draw_down_ms(random),
        },
        2 => Fault::Stop {
            machine: draw_machine(random, fleet),
            down_ms: draw_down_ms(random),
        },
        3 => Fault::KillCoordinators {
            down_ms: draw_down_ms(random),
        },
        4 => Fault::PowerLoss {
            down_ms: draw_down_ms(random),
        },
        5 => Fault::LoseDisk {
            machine: draw_coordinator(random, fleet),
            down_ms: draw_down_ms(random),
        },
        6 => Fault::Replace {
            machine: draw_coordinator(random, fleet),
            down_ms: draw_down_ms(random),
        },
        7..=8 => Fault::Freeze {
            machine: draw_machine(random, fleet),
            for_ms: draw_duration_ms(random),
        },
        9..=10 => Fault::Cut {
            machine: draw_machine(random, fleet),
            for_ms: draw_duration_ms(random),
        },
        11 => Fault::CutOneWay {
            from: draw_machine(random, fleet),
            to: draw_coordinator(random, fleet),
            for_ms: draw_duration_ms(random),
        },
        other => draw_other_fault(random, fleet, other),
    }
}

fn draw_other_fault(random: &mut ChaCha8Rng, fleet: &FleetSize, kind: u32) -> Fault {
    match kind {
        12 => Fault::Weather {
            loss_per_thousand: random.random_range(0..150),
            double_per_thousand: random.random_range(0..100),
            delay_ms: random.random_range(0..80),
            for_ms: draw_duration_ms(random),
        },
        13 => Fault::LateOrders {
            machine: draw_side_machine(random, fleet),
            delay_ms: random.random_range(0..5_000),
            loss_per_thousand: random.random_range(0..500),
            for_ms: draw_duration_ms(random),
        },
        14 => Fault::KillRunner {
            machine: draw_side_machine(random, fleet),
            down_ms: draw_down_ms(random),
        },
        15 => Fault::DrainRunner {
            machine: draw_side_machine(random, fleet),
            down_ms: draw_down_ms(random),
        },
        16 => Fault::Misbehave {
            machine: draw_side_machine(random, fleet),
            behaviour: draw_behaviour(random),
            for_ms: draw_duration_ms(random),
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
            machines: draw_zone(random, fleet),
            for_ms: draw_duration_ms(random),
        },
        22 => Fault::ClockStep {
            machine: draw_side_machine(random, fleet),
            by_ms: random.random_range(-30_000..30_000),
        },
        23 => Fault::ClockStep {
            machine: draw_coordinator(random, fleet),
            by_ms: random.random_range(-30..30),
        },
        24 => Fault::LateOrders {
            machine: draw_side_machine(random, fleet),
            delay_ms: random.random_range(0..100),
            loss_per_thousand: random.random_range(0..900),
            for_ms: draw_duration_ms(random),
        },
        _ => Fault::CancelBatch {
            count: random.random_range(1..40),
        },
    }
}

fn draw_behaviour(random: &mut ChaCha8Rng) -> Behaviour {
    let all = [
        Behaviour::FailsHalf,
        Behaviour::FailsAll,
        Behaviour::Slow,
        Behaviour::Stuck,
    ];
    all.choose(random).copied().unwrap_or(Behaviour::Slow)
}

fn draw_down_ms(random: &mut ChaCha8Rng) -> u64 {
    random.random_range(0..MAX_DOWN_MS)
}

fn draw_duration_ms(random: &mut ChaCha8Rng) -> u64 {
    random.random_range(200..MAX_FAULT_MS)
}

fn draw_machine(random: &mut ChaCha8Rng, fleet: &FleetSize) -> String {
    match random.random_range(0..3) {
        0 => draw_coordinator(random, fleet),
        1 => format!("gateway-{}", random.random_range(0..fleet.gateways)),
        _ => draw_side_machine(random, fleet),
    }
}

fn draw_coordinator(random: &mut ChaCha8Rng, fleet: &FleetSize) -> String {
    format!("coordinator-{}", random.random_range(0..fleet.coordinators))
}

/// Draws a zone and returns the names of its machines.
fn draw_zone(random: &mut ChaCha8Rng, fleet: &FleetSize) -> Vec<String> {
    let zone = random.random_range(0..crate::fleet::ZONES);
    let names = fleet.machine_names().into_iter().enumerate();
    names
        .filter(|(position, _)| position % crate::fleet::ZONES == zone)
        .map(|(_, name)| name)
        .collect()
}

fn draw_side_machine(random: &mut ChaCha8Rng, fleet: &FleetSize) -> String {
    let sides = fleet.media_runners + fleet.documents_runners;
    format!("side-{}", random.random_range(0..sides))
}
