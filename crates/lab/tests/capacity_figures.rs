//! Arithmetic of the capacity figures, and the load that follows from a size.

use clap::Parser;
use lab::capacity::CapacityArguments;
use lab::capacity::figures::{LinearFit, Percentiles, quantile};
use lab::capacity::plan::Size;
use lab::capacity::traffic::Counters;
use lab::capacity::usage::{parse_resident, parse_ticks};
use types::Milliseconds;

fn size(workers: usize, starts_per_second: u64, running: u64) -> Size {
    Size {
        workers,
        tenants: 80,
        starts_per_second,
        running,
        tasks_per_job: 50,
        urgent_per_second: 1,
        configurations_per_minute: 4,
    }
}

#[test]
fn quantile_is_value_of_nearest_rank() {
    let values: Vec<u64> = (1..=100).rev().collect();
    assert_eq!(quantile(&values, 500), Some(50));
    assert_eq!(quantile(&values, 990), Some(99));
    assert_eq!(quantile(&values, 991), Some(100));
    assert_eq!(quantile(&values, 1_000), Some(100));
    assert_eq!(quantile(&values, 0), Some(1));
}

#[test]
fn quantile_of_single_value_is_that_value_and_of_no_values_is_none() {
    assert_eq!(quantile(&[7], 10), Some(7));
    assert_eq!(quantile(&[7], 990), Some(7));
    assert_eq!(quantile(&[], 500), None);
    let empty = Percentiles::of(&[]);
    assert_eq!((empty.count, empty.p50, empty.max), (0, None, None));
}

#[test]
fn linear_fit_recovers_slope_and_intercept_of_exact_line() {
    let points: Vec<_> = [100.0, 400.0, 1_000.0].map(|x| (x, 3.0 + 0.25 * x)).into();
    let fit = LinearFit::of(&points).expect("three distinct x values");
    assert!((fit.slope - 0.25).abs() < 1e-9);
    assert!((fit.intercept - 3.0).abs() < 1e-9);
    assert!((fit.fit - 1.0).abs() < 1e-9);
    assert!((fit.at(3_300.0) - 828.0).abs() < 1e-9);
}

#[test]
fn fit_of_nonlinear_points_is_below_one() {
    let squares = [(1.0, 1.0), (2.0, 4.0), (3.0, 9.0), (4.0, 16.0)];
    let fit = LinearFit::of(&squares).expect("four distinct x values");
    // Computed by hand. The means are 2.5 and 7.5; the sums of the deviations'
    // products are 25 (xy), 5 (xx) and 129 (yy).
    assert!((fit.slope - 5.0).abs() < 1e-9);
    assert!((fit.intercept + 5.0).abs() < 1e-9);
    assert!((fit.fit - 625.0 / (5.0 * 129.0)).abs() < 1e-9);
}

#[test]
fn linear_fit_needs_two_distinct_x_values() {
    assert_eq!(LinearFit::of(&[]), None);
    assert_eq!(LinearFit::of(&[(1.0, 2.0)]), None);
    assert_eq!(LinearFit::of(&[(1.0, 2.0), (1.0, 3.0)]), None);
}

#[test]
fn ticks_are_parsed_after_command_with_blanks_and_brackets() {
    let stat = "42 (a) b (c)) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0";
    assert_eq!(parse_ticks(stat), Some(300));
    assert_eq!(parse_ticks("42 no brackets"), None);
    assert_eq!(parse_ticks("42 (short) S 1"), None);
}

#[test]
fn resident_memory_is_parsed_from_vmrss() {
    let status = "Name:\tx\nVmHWM:\t  900 kB\nVmRSS:\t  800 kB\n";
    assert_eq!(parse_resident(status), Some(800));
    assert_eq!(parse_resident("Name:\tx\n"), None);
}

#[test]
fn traffic_is_counter_difference_per_second() {
    let page = |messages: u64, bytes: u64| {
        Counters::parse(&format!(
            "# TYPE cypressdrum_peer_kind_sent_total counter\n\
             cypressdrum_peer_kind_sent_total{{kind=\"hello\"}} {messages}\n\
             cypressdrum_peer_kind_sent_bytes_total{{kind=\"hello\"}} {bytes}\n\
             cypressdrum_open_runs 17\n"
        ))
    };
    let (before, after) = (page(10, 1_000), page(50, 3_000));
    let traffic = after.traffic_since(&before, 4.0);
    assert_eq!(traffic.sent.len(), 1);
    assert_eq!(traffic.sent["hello"].messages, 10.0);
    assert_eq!(traffic.sent["hello"].bytes, 500.0);
    assert!(traffic.received.is_empty());
    assert_eq!(traffic.total().bytes, 500.0);
    assert_eq!(after.get("cypressdrum_open_runs"), 17.0);
    assert_eq!(after.get("nothing"), 0.0);
}

#[test]
fn task_length_follows_from_running_tasks_and_start_rate() {
    assert_eq!(
        size(3_300, 3_100, 15_000).task_length(),
        Milliseconds(4_838)
    );
    assert_eq!(size(100, 100, 0).task_length(), Milliseconds(100));
    assert_eq!(size(100, 0, 500).task_length(), Milliseconds(1_800_000));
}

#[test]
fn runners_have_capacity_for_one_and_a_half_times_the_running_tasks() {
    assert_eq!(size(3_300, 3_100, 15_000).capacity().slots, 8);
    assert_eq!(size(100, 3_100, 15_000).capacity().slots, 225);
    assert_eq!(size(0, 1, 0).capacity().slots, 8);
}

#[test]
fn configuration_versions_are_valid_and_differ() {
    let size = size(3_300, 3_100, 15_000);
    let documents = [1, 2].map(|version| size.document(version).expect("valid names"));
    for document in &documents {
        assert_eq!(configuration::validate(document), Vec::new());
        assert_eq!(document.tenants.len(), 80);
    }
    assert_ne!(documents[0], documents[1]);
}

#[test]
fn argument_lists_expand_to_all_combinations() {
    #[derive(Parser)]
    struct CommandLine {
        #[command(flatten)]
        capacity: CapacityArguments,
    }
    let arguments = ["lab", "--workers", "100,400", "--tenants", "1,6,80"];
    let parsed = CommandLine::try_parse_from(arguments).expect("valid arguments");
    let sizes = parsed.capacity.sizes();
    let combinations: Vec<_> = sizes.iter().map(|s| (s.workers, s.tenants)).collect();
    let expected = [(100, 1), (100, 6), (100, 80), (400, 1), (400, 6), (400, 80)];
    assert_eq!(combinations, expected);
}
