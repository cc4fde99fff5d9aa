//! What a trial measured, as JSON and as a table.

use super::figures::{Line, Spread};
use super::plan::Size;
use super::traffic::Traffic;
use super::usage::Share;
use serde::Serialize;
use std::fmt::Write;

/// Roles in the order of the table.
const ROLES: [&str; 4] = ["leader", "follower", "gateway", "agent"];

/// What one trial measured.
#[derive(Debug, Clone, Serialize)]
pub struct Measured {
    /// Size and load.
    pub size: Size,
    /// Length of the window.
    pub seconds: f64,
    /// The machine's load average at the end of the window.
    pub machine_load: f64,
    /// Every real daemon.
    pub members: Vec<MemberFigures>,
    /// The lab process: all hollow workers and callers.
    pub hollow: Share,
    /// Task starts a second on hollow runners.
    pub starts_per_second: f64,
    /// Starts the hollow runners rejected in the window.
    pub not_started: u64,
    /// Sessions the hollow agents lost in the window.
    pub sessions_lost: u64,
    /// Open runs at the leader, at the end of the window.
    pub open_runs: f64,
    /// Jobs acknowledged, warm-up included.
    pub jobs_acknowledged: u64,
    /// Jobs rejected or not answered, warm-up included.
    pub jobs_unacknowledged: u64,
    /// Jobs the callers could not send, warm-up included.
    pub jobs_unsent: u64,
    /// From submit to start of each ordinary task.
    pub ordinary_start_ms: Spread,
    /// From submit to start of each urgent task.
    pub urgent_start_ms: Spread,
    /// From put to the last hollow agent.
    pub configuration_ms: Spread,
    /// Configurations put that had not reached every hollow agent at the end.
    pub configurations_incomplete: usize,
    /// The election after the window, if the leader was killed.
    pub election: Option<Election>,
}

/// An election.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Election {
    /// From the leader's end to the first start under the next one.
    pub to_first_start_ms: u64,
}

/// What one daemon used.
#[derive(Debug, Clone, Serialize)]
pub struct MemberFigures {
    /// Which one.
    pub member: String,
    /// Its part in the window.
    pub role: String,
    /// Processor and memory.
    pub share: Share,
    /// Messages and bytes.
    pub traffic: Traffic,
}

/// Means over the daemons of one role.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoleFigures {
    /// Percent of a core.
    pub cpu_percent: f64,
    /// Resident MiB.
    pub resident_mib: f64,
    /// Messages a second, both ways.
    pub messages: f64,
    /// KB a second, both ways.
    pub kilobytes: f64,
}

impl Measured {
    /// Means over the daemons of a role; none if there are none.
    pub fn role(&self, role: &str) -> Option<RoleFigures> {
        let members: Vec<_> = self.members.iter().filter(|m| m.role == role).collect();
        let count = members.len() as f64;
        if members.is_empty() {
            return None;
        }
        let mean = |value: &dyn Fn(&MemberFigures) -> f64| {
            members.iter().map(|member| value(member)).sum::<f64>() / count
        };
        Some(RoleFigures {
            cpu_percent: mean(&|member| member.share.cpu_percent),
            resident_mib: mean(&|member| member.share.resident_mib),
            messages: mean(&|member| member.traffic.total().messages),
            kilobytes: mean(&|member| member.traffic.total().bytes) / 1_000.0,
        })
    }

    /// The trial as lines of text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        let size = &self.size;
        writeln!(
            text,
            "workers {} tenants {} offered {}/s running {} | window {:.1} s, machine load {:.1}",
            size.workers,
            size.tenants,
            size.starts_per_second,
            size.running,
            self.seconds,
            self.machine_load
        )?;
        for role in ROLES {
            let Some(figures) = self.role(role) else {
                continue;
            };
            writeln!(
                text,
                "  {role:<9} cpu {:>6.1} %  memory {:>6.1} MiB  {:>8.0} messages/s  {:>8.1} KB/s",
                figures.cpu_percent, figures.resident_mib, figures.messages, figures.kilobytes
            )?;
        }
        writeln!(
            text,
            "  hollow    cpu {:>6.1} %  memory {:>6.1} MiB  sessions lost {}",
            self.hollow.cpu_percent, self.hollow.resident_mib, self.sessions_lost
        )?;
        writeln!(
            text,
            "  starts {:.0}/s, refused {}, open runs {}, jobs acknowledged {} not {} unsent {}",
            self.starts_per_second,
            self.not_started,
            self.open_runs,
            self.jobs_acknowledged,
            self.jobs_unacknowledged,
            self.jobs_unsent
        )?;
        writeln!(
            text,
            "  submit to start: {}; urgent: {}",
            spread(&self.ordinary_start_ms),
            spread(&self.urgent_start_ms)
        )?;
        writeln!(
            text,
            "  configuration everywhere: {}, incomplete {}",
            spread(&self.configuration_ms),
            self.configurations_incomplete
        )?;
        if let Some(election) = self.election {
            let length = election.to_first_start_ms;
            writeln!(text, "  leader killed: first start after {length} ms")?;
        }
        self.write_leader_kinds(text)
    }

    fn write_leader_kinds(&self, text: &mut String) -> std::fmt::Result {
        for member in self.members.iter().filter(|m| m.role == "leader") {
            for (direction, flows) in [
                ("sent", &member.traffic.sent),
                ("received", &member.traffic.received),
            ] {
                for (kind, flow) in flows.iter().filter(|(_, flow)| flow.messages > 0.0) {
                    writeln!(
                        text,
                        "  leader {direction:<8} {kind:<14} {:>8.1}/s  {:>9.1} KB/s  {:>7.0} B each",
                        flow.messages,
                        flow.bytes / 1_000.0,
                        flow.bytes / flow.messages
                    )?;
                }
            }
        }
        Ok(())
    }
}

/// How each role's figures grow with `place` over several trials, as text.
pub fn render_slopes(trials: &[Measured], place: fn(&Size) -> f64, name: &str) -> String {
    let mut text = String::new();
    for role in ROLES {
        for (figure, value) in [
            ("cpu %", (|f| f.cpu_percent) as fn(&RoleFigures) -> f64),
            ("MiB", |f| f.resident_mib),
            ("messages/s", |f| f.messages),
            ("KB/s", |f| f.kilobytes),
        ] {
            let points: Vec<_> = trials
                .iter()
                .filter_map(|trial| Some((place(&trial.size), value(&trial.role(role)?))))
                .collect();
            if let Some(line) = Line::through(&points) {
                // Writing to a string cannot fail.
                let _ = writeln!(
                    text,
                    "{role:<9} {figure:<10} = {:.3} + {:.6} x {name}  (fit {:.3}, {} points)",
                    line.intercept,
                    line.slope,
                    line.fit,
                    points.len()
                );
            }
        }
    }
    text
}

fn spread(spread: &Spread) -> String {
    match (spread.p50, spread.p99, spread.max) {
        (Some(p50), Some(p99), Some(max)) => {
            format!("p50 {p50} p99 {p99} max {max} ms of {}", spread.count)
        }
        _ => "none".to_owned(),
    }
}
