//! Encoding of commands: equal to the bytes that earlier builds wrote to the log.

mod golden;

use configuration::{KeyRole, LeftOutQueues, QueueMode};
use golden::bytes::{Codec, Sample, assert_recorded, variants};
use golden::samples::{
    QUEUE_MODES, closes, document, job, key, key_roles, name, outcomes, plain_job, reservations,
    run, update,
};
use state_machine::{CancelSelector, ClosedRun, Command};
use types::{ConfigurationVersion, EntryAddress, JobAccess, Outcome, RunClose, Urgency, WallTime};

const RECORDED: &str = include_str!("golden/commands.txt");
const AT: WallTime = WallTime(1_700_000_000_333);
const LEFT_OUT: [LeftOutQueues; 2] = [LeftOutQueues::Refuse, LeftOutQueues::Drain];
const URGENCIES: [Urgency; 2] = [Urgency::Urgent, Urgency::Normal];

fn submits() -> Vec<Sample<Command>> {
    let [urgent, normal] = URGENCIES.map(job);
    let names = ["submit.urgent", "submit.normal", "submit.plain"];
    let samples = names.into_iter().zip([urgent, normal, plain_job()]);
    samples
        .map(|(name, spec)| Sample {
            name,
            value: Command::Submit { spec, at: AT },
        })
        .collect()
}

fn selectors() -> [CancelSelector; 3] {
    [
        CancelSelector::Jobs(vec![key("acorn", "birch-3"), key("aspen", "birch-4")]),
        CancelSelector::Tenant {
            tenant: name("acorn"),
            queue: Some(name("hazel")),
        },
        CancelSelector::Tenant {
            tenant: name("acorn"),
            queue: None,
        },
    ]
}

fn cancels() -> Vec<Sample<Command>> {
    let names = ["cancel.jobs", "cancel.one-queue", "cancel.all-queues"];
    let samples = names.into_iter().zip(selectors());
    samples
        .map(|(name, selector)| Sample {
            name,
            value: Command::Cancel { selector, at: AT },
        })
        .collect()
}

/// Returns samples of the commands on jobs that are submitted by entries.
fn entry_commands() -> Vec<Sample<Command>> {
    let entry = EntryAddress::new("one.example/hazel/");
    let access = JobAccess {
        tenants: vec![name("acorn"), name("aspen")],
        open_entry: Some(entry.clone()),
    };
    let closed = JobAccess {
        open_entry: None,
        ..access.clone()
    };
    let submit = Command::SubmitByEntry {
        spec: plain_job(),
        entry,
        access,
        at: AT,
    };
    let cancel = Command::CancelAccessible {
        job: name("birch-5"),
        access: closed,
        at: AT,
    };
    let samples = ["submit.by-entry", "cancel.accessible"]
        .into_iter()
        .zip([submit, cancel]);
    samples
        .map(|(name, value)| Sample { name, value })
        .collect()
}

/// Returns one run for each reason to close it, alternately with and without a
/// checkpoint.
fn closed_runs() -> Vec<ClosedRun> {
    let numbered = (50..).zip(closes());
    let runs = numbered.map(|(number, close)| ClosedRun {
        run: run(number),
        close,
        checkpoint: (number % 2 == 0).then(|| format!("half way {number}")),
    });
    runs.collect()
}

fn configurations() -> Vec<Sample<Command>> {
    let names = ["put.refuse", "put.drain"];
    let samples = names.into_iter().zip(LEFT_OUT.map(document));
    samples
        .map(|(name, document)| Sample {
            name,
            value: Command::PutConfiguration {
                version: ConfigurationVersion(17),
                document,
                at: AT,
            },
        })
        .collect()
}

fn other_commands() -> Vec<Sample<Command>> {
    let reserve = Command::Reserve {
        reservations: reservations(),
        at: AT,
    };
    let close = Command::CloseRuns {
        runs: closed_runs(),
        at: AT,
    };
    let drain = Command::SetRunnerDraining {
        runner: name("rowan"),
        draining: true,
        at: AT,
    };
    let forget = Command::Forget {
        ended_before: AT,
        limit: 128,
    };
    let update = Command::UpdateConfiguration {
        version: ConfigurationVersion(19),
        update: update(),
        at: AT,
    };
    let names = ["reserve", "close", "drain", "forget", "update"];
    let samples = names
        .into_iter()
        .zip([reserve, close, drain, forget, update]);
    samples
        .map(|(name, value)| Sample { name, value })
        .collect()
}

fn samples() -> Vec<Sample<Command>> {
    let groups = [
        submits(),
        cancels(),
        entry_commands(),
        configurations(),
        other_commands(),
    ];
    groups.into_iter().flatten().collect()
}

#[test]
fn every_command_encodes_to_recorded_bytes() {
    let codec = Codec {
        encode: |command: &Command| command.encode().unwrap(),
        decode: |bytes| Command::decode(bytes).unwrap(),
    };
    assert_recorded(RECORDED, &samples(), &codec);
}

#[test]
fn samples_cover_every_variant() {
    let samples = samples();
    let commands = samples.iter().map(|sample| &sample.value);
    variants!(Command {
        Submit,
        Cancel,
        Reserve,
        CloseRuns,
        PutConfiguration,
        SetRunnerDraining,
        Forget,
        UpdateConfiguration,
        SubmitByEntry,
        CancelAccessible,
    })
    .assert_covered(commands);
    variants!(CancelSelector { Jobs, Tenant }).assert_covered(&selectors());
    variants!(Urgency { Urgent, Normal }).assert_covered(&URGENCIES);
    variants!(LeftOutQueues { Refuse, Drain }).assert_covered(&LEFT_OUT);
    variants!(QueueMode {
        Shadow,
        Active,
        Paused,
        Draining
    })
    .assert_covered(&QUEUE_MODES);
    variants!(KeyRole {
        Caller,
        Operator,
        Runner
    })
    .assert_covered(&key_roles("acorn"));
    variants!(Outcome {
        Done,
        Failed,
        Stopped
    })
    .assert_covered(&outcomes());
    variants!(RunClose {
        Ended,
        Revoked,
        Lost,
        Rejected,
        TimedOut
    })
    .assert_covered(&closes());
}
