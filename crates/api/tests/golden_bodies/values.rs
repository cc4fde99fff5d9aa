//! Values that several bodies share.

use std::fmt::Debug;
use std::str::FromStr;
use types::{Address, JobKey, JobNumber, Labels, NodeId, Resources, Role, RunId, TaskRef, Term};

pub const RUN: RunId = RunId {
    term: Term(4),
    sequence: 17,
};
pub const TASK: TaskRef = TaskRef {
    job: JobNumber(42),
    step: 1,
    task: 5,
};

pub fn name<Name: FromStr<Err: Debug>>(text: &str) -> Name {
    text.parse().unwrap()
}

pub fn job() -> JobKey {
    JobKey {
        tenant: name("poster"),
        job: name("sheet-17"),
    }
}

pub fn labels() -> Labels {
    let pairs = [("disk", "fast"), ("glass", "low")];
    pairs
        .map(|(label, value)| (label.to_owned(), value.to_owned()))
        .into()
}

/// Four amounts, each another: `first` and the three numbers after it.
pub fn resources(first: u32) -> Resources {
    Resources {
        slots: first,
        cpu_milli: first + 1,
        memory_mib: first + 2,
        gpus: first + 3,
    }
}

pub fn address(node: u64, role: Role) -> Address {
    Address {
        node: NodeId(node),
        role,
        zone: name("zone-b"),
        socket: "127.0.1.2:7101".parse().unwrap(),
    }
}
