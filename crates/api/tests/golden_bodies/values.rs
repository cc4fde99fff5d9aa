//! Values used in several bodies.

use std::fmt::Debug;
use std::str::FromStr;
use types::{Address, JobKey, JobNumber, Labels, NodeId, Resources, Role, RunId, TaskRef, Term};

/// Run with a term and a sequence that differ.
pub const RUN: RunId = RunId {
    term: Term(4),
    sequence: 17,
};
/// Task whose three numbers differ.
pub const TASK: TaskRef = TaskRef {
    job: JobNumber(42),
    step: 1,
    task: 5,
};

/// Parses a valid name or identifier.
pub fn name<Name: FromStr<Err: Debug>>(text: &str) -> Name {
    text.parse().unwrap()
}

/// Returns the key of the job that most bodies refer to.
pub fn job() -> JobKey {
    JobKey {
        tenant: name("poster"),
        job: name("sheet-17"),
    }
}

/// Returns two labels.
pub fn labels() -> Labels {
    let pairs = [("disk", "fast"), ("glass", "low")];
    pairs
        .map(|(label, value)| (label.to_owned(), value.to_owned()))
        .into()
}

/// Returns four different amounts: `first` and the next three numbers.
pub fn resources(first: u32) -> Resources {
    Resources {
        slots: first,
        cpu_milli: first + 1,
        memory_mib: first + 2,
        gpus: first + 3,
    }
}

/// Returns the address of a member.
pub fn address(node: u64, role: Role) -> Address {
    Address {
        node: NodeId(node),
        role,
        zone: name("zone-b"),
        socket: "127.0.1.2:7101".parse().unwrap(),
    }
}
