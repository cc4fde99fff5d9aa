//! Job mixes: the jobs they draw, and that the fleet has capacity for them.

use api::configuration::ConfigurationBody;
use emulator::fleet::ACCELERATED_SEATS;
use emulator::workload::{Mix, Workload, example_configuration, pool_runners};
use state_machine::{Command, CommandReply, StateMachine};
use std::collections::BTreeSet;
use types::{ConfigurationVersion, JobSpec, Resources, Urgency, WallTime};

const MIXES: [Mix; 2] = [Mix::Media, Mix::Documents];
const DRAWS: usize = 20_000;

fn draw(mix: Mix, seed: u64) -> Vec<JobSpec> {
    let mut workload = Workload::new(mix, "trial", seed);
    (0..DRAWS).map(|_| workload.next_job()).collect()
}

fn duration_ms(payload: &str) -> u64 {
    let payload: serde_json::Value = serde_json::from_str(payload).unwrap();
    payload["duration_ms"].as_u64().unwrap()
}

fn slot_seconds(job: &JobSpec) -> f64 {
    let steps = job.steps.iter();
    let milliseconds: u64 = steps
        .map(|step| u64::from(step.tasks) * duration_ms(&step.payload))
        .sum();
    milliseconds as f64 / 1_000.0
}

#[test]
fn equal_seeds_draw_equal_jobs() {
    for mix in MIXES {
        assert_eq!(draw(mix, 3), draw(mix, 3));
        assert_ne!(draw(mix, 3), draw(mix, 4));
    }
}

#[test]
fn rates_match_the_example_deployments() {
    let rate = |mix| Workload::new(mix, "trial", 1).jobs_per_second();
    assert!((rate(Mix::Media) - 43.0).abs() < 0.5);
    assert!((rate(Mix::Documents) - 52.0).abs() < 0.5);
}

#[test]
fn most_jobs_are_urgent_and_three_tenants_submit_them() {
    for mix in MIXES {
        let jobs = draw(mix, 1);
        let urgent = jobs.iter().filter(|job| job.urgency == Urgency::Urgent);
        assert!(urgent.count() > DRAWS * 3 / 4);
        let tenants: BTreeSet<_> = jobs.iter().map(|job| &job.tenant).collect();
        assert_eq!(tenants.len(), 3);
        let job_ids: BTreeSet<_> = jobs.iter().map(|job| &job.job).collect();
        assert_eq!(job_ids.len(), DRAWS);
    }
}

#[test]
fn mean_load_uses_about_half_of_the_slots() {
    for mix in MIXES {
        let jobs = draw(mix, 1);
        let mean = jobs.iter().map(slot_seconds).sum::<f64>() / DRAWS as f64;
        let busy_slots = mean * Workload::new(mix, "trial", 1).jobs_per_second();
        let slots = pool_runners(mix).len() as f64 * 8.0;
        let used = busy_slots / slots;
        assert!((0.4..0.6).contains(&used), "{mix:?} uses {used:.2}");
    }
}

/// Returns the mean number of licence seats that a mix uses.
fn mean_seats(mix: Mix) -> f64 {
    let jobs = draw(mix, 1);
    let steps = jobs.iter().flat_map(|job| &job.steps);
    let licensed = steps.filter(|step| step.rules.licence.is_some());
    let milliseconds: u64 = licensed
        .map(|step| u64::from(step.tasks) * duration_ms(&step.payload))
        .sum();
    let mean_seconds = milliseconds as f64 / 1_000.0 / DRAWS as f64;
    mean_seconds * Workload::new(mix, "trial", 1).jobs_per_second()
}

#[test]
fn the_mean_load_leaves_seats_free_yet_they_bind_at_times() {
    let seats = f64::from(ACCELERATED_SEATS);
    let mean: f64 = MIXES.into_iter().map(mean_seats).sum();
    let used = mean / seats;
    assert!((0.7..0.9).contains(&used), "{mean:.1} of {seats} seats");

    let runners = MIXES.into_iter().flat_map(pool_runners);
    let accelerators: u32 = runners.map(|runner| runner.capacity.gpus).sum();
    assert!(ACCELERATED_SEATS < accelerators);
}

#[test]
fn fleet_has_the_specified_sizes() {
    for (mix, runners) in MIXES.into_iter().zip([5, 6]) {
        let fleet = pool_runners(mix);
        assert_eq!(fleet.len(), runners);
        for runner in &fleet {
            assert_eq!(runner.capacity.slots, 8);
            assert!((16_000..=128_000).contains(&runner.capacity.cpu_milli));
            let accelerated = runner.labels.contains_key("gpu");
            assert_eq!(runner.capacity.gpus, if accelerated { 8 } else { 0 });
        }
        assert!(fleet.iter().any(|runner| runner.capacity.gpus == 8));
    }
}

#[test]
fn every_job_matches_the_configuration_and_fits_a_runner() {
    let configuration = example_configuration();
    for mix in MIXES {
        let fleet = pool_runners(mix);
        for job in draw(mix, 2) {
            assert!(configuration.tenants.contains_key(&job.tenant));
            let queue = &configuration.queues[&job.queue];
            assert_eq!(queue.pool.as_str(), mix.pool());
            for step in &job.steps {
                assert!(fleet.iter().any(|runner| {
                    step.resources.fits_in(&runner.capacity)
                        && step
                            .labels
                            .iter()
                            .all(|label| runner.labels.get(label.0) == Some(label.1))
                }));
            }
        }
    }
}

#[test]
fn shares_of_a_pool_add_up_to_100_and_every_runner_fits_eight_strip_tasks() {
    let configuration = example_configuration();
    assert_eq!(configuration.pools.len(), 2);
    assert_eq!(configuration.tenants.len(), 6);
    assert!(configuration.keys.is_empty());
    for mix in MIXES {
        let tenants: BTreeSet<_> = draw(mix, 1).into_iter().map(|job| job.tenant).collect();
        let shares = tenants.iter().map(|tenant| &configuration.tenants[tenant]);
        assert_eq!(shares.map(|tenant| tenant.share_percent).sum::<u32>(), 100);
        let largest = &configuration.pools.values().next().unwrap().largest_runner;
        for runner in pool_runners(mix) {
            assert!(runner.capacity.fits_in(largest));
            let eight_strip_tasks = Resources {
                slots: 8,
                cpu_milli: 16_000,
                memory_mib: 8_192,
                gpus: 0,
            };
            assert!(eight_strip_tasks.fits_in(&runner.capacity));
        }
    }
}

#[test]
fn example_files_contain_the_example_configuration() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let json = std::fs::read(folder.join("configuration.json")).unwrap();
    let toml = std::fs::read_to_string(folder.join("configuration.toml")).unwrap();
    let from_json: ConfigurationBody = api::parse_json(&json).unwrap();
    let from_toml: ConfigurationBody = api::parse_toml(&toml).unwrap();
    let expected = example_configuration();
    assert_eq!(from_json.into_document().unwrap(), expected);
    assert_eq!(from_toml.into_document().unwrap(), expected);
}

#[test]
fn state_machine_accepts_the_example_configuration_and_every_job() {
    let configuration = example_configuration();
    assert_eq!(configuration::validate(&configuration), []);
    let mut state_machine = StateMachine::new();
    state_machine.apply(&Command::PutConfiguration {
        version: ConfigurationVersion(1),
        document: configuration,
        at: WallTime(0),
    });
    for mix in MIXES {
        for spec in draw(mix, 3).into_iter().take(2_000) {
            let submit = Command::Submit {
                spec,
                at: WallTime(1),
            };
            let reply = state_machine.apply(&submit).reply;
            let accepted = matches!(reply, CommandReply::Submitted { known: false, .. });
            assert!(accepted, "{reply:?}");
        }
    }
}
