//! Measurements of a trial, as JSON and as text.

use super::figures::{LinearFit, Percentiles};
use super::plan::Size;
use super::traffic::Traffic;
use super::usage::ResourceUsage;
use serde::Serialize;
use std::fmt::Write;

/// Roles in the order in which they are printed.
const ROLES: [&str; 4] = ["leader", "follower", "gateway", "agent"];

/// Measurements of one trial.
#[derive(Debug, Clone, Serialize)]
pub struct Measurements {
    /// Size and load of the trial.
    pub size: Size,
    /// Length of the measured window in seconds.
    pub seconds: f64,
    /// The machine's load average at the end of the window.
    pub machine_load: f64,
    /// Measurements of every real daemon that ran.
    pub members: Vec<MemberFigures>,
    /// UsageSample of the lab process, which runs all hollow workers and callers.
    pub hollow: ResourceUsage,
    /// Task starts per second on hollow runners, in the window.
    pub starts_per_second: f64,
    /// Number of start orders in the window that did not start a run.
    pub not_started: u64,
    /// Number of sessions that hollow agents lost in the window.
    pub sessions_lost: u64,
    /// Number of open runs at the leader at the end of the window; 0 without a
    /// leader.
    pub open_runs: f64,
    /// Number of jobs acknowledged, including the warm-up.
    pub jobs_acknowledged: u64,
    /// Number of submits rejected or not answered, including the warm-up.
    pub jobs_unacknowledged: u64,
    /// Number of jobs dropped because too many requests were open, including the
    /// warm-up.
    pub jobs_unsent: u64,
    /// Time from submit to start of the ordinary tasks, in milliseconds.
    pub ordinary_start_ms: Percentiles,
    /// Time from submit to start of the urgent tasks, in milliseconds.
    pub urgent_start_ms: Percentiles,
    /// Time from the put of a configuration to its arrival at the last hollow agent,
    /// in milliseconds.
    pub configuration_ms: Percentiles,
    /// Number of configurations that had not reached every hollow agent at the end
    /// of the window.
    pub configurations_incomplete: usize,
    /// Election after the window; `None` unless the leader was killed and a run
    /// started under the next one.
    pub election: Option<Election>,
}

/// Election after the kill of the leader.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Election {
    /// Time from the kill to the first start in a later term, in milliseconds.
    pub to_first_start_ms: u64,
}

/// Measurements of one daemon in the window.
#[derive(Debug, Clone, Serialize)]
pub struct MemberFigures {
    /// Id of the daemon, such as `gateway-2`.
    pub member: String,
    /// `leader`, `follower`, `gateway` or `agent`; the leader is the one at the end
    /// of the window.
    pub role: String,
    /// Processor and memory usage.
    pub share: ResourceUsage,
    /// Messages and bytes by kind.
    pub traffic: Traffic,
}

/// Means of the measurements over the daemons of one role.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoleFigures {
    /// Processor usage in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory at the end of the window, in MiB.
    pub resident_mib: f64,
    /// Messages per second, sent and received.
    pub messages: f64,
    /// Sent and received bytes per second, in units of 1,000 bytes.
    pub kilobytes: f64,
}

impl Measurements {
    /// Returns the means over the daemons of a role, or `None` if it has none.
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

    /// Renders the measurements as lines of text.
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
            render_percentiles(&self.ordinary_start_ms),
            render_percentiles(&self.urgent_start_ms)
        )?;
        writeln!(
            text,
            "  configuration everywhere: {}, incomplete {}",
            render_percentiles(&self.configuration_ms),
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

/// Fits each figure of each role against `dimension` over several trials, and renders
/// the fits as text. `name` is the printed name of the dimension.
pub fn render_slopes(trials: &[Measurements], dimension: fn(&Size) -> f64, name: &str) -> String {
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
                .filter_map(|trial| Some((dimension(&trial.size), value(&trial.role(role)?))))
                .collect();
            if let Some(fit) = LinearFit::of(&points) {
                // Writing to a string cannot fail.
                let _ = writeln!(
                    text,
                    "{role:<9} {figure:<10} = {:.3} + {:.6} x {name}  (fit {:.3}, {} points)",
                    fit.intercept,
                    fit.slope,
                    fit.fit,
                    points.len()
                );
            }
        }
    }
    text
}

fn render_percentiles(percentiles: &Percentiles) -> String {
    match (percentiles.p50, percentiles.p99, percentiles.max) {
        (Some(p50), Some(p99), Some(max)) => {
            format!("p50 {p50} p99 {p99} max {max} ms of {}", percentiles.count)
        }
        _ => "none".to_owned(),
    }
}
