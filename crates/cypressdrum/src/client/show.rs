//! Text output of the gateway's responses.

use crate::output::{Show, Table};
use api::cancel::{CancelledBody, JobKeyBody};
use api::configuration::{CapacityBody, ResourceLimitBody};
use api::decision::{DecisionLine, EventBody};
use api::operator::{
    AcceptedBody, LicencesBody, LinkHealthBody, MembersBody, QueuesBody, RunnersBody, RunsLostBody,
    TenantsBody,
};
use api::version::{ConfigurationStatusBody, ConfiguredBody};
use api::view::{ExplainedBody, JobViewBody, JobsBody, SubmittedBody};
use serde::Serialize;

/// Text of a cell without a value.
const NONE: &str = "-";

/// Returns the JSON name of an enum value, such as `running`.
pub(crate) fn json_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(text)) => text,
        _ => NONE.to_owned(),
    }
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn format_amounts(amounts: [(&str, Option<u32>); 4]) -> String {
    let shown = amounts.into_iter().filter_map(|(name, amount)| {
        let amount = amount.filter(|amount| *amount > 0)?;
        Some(format!("{name}={amount}"))
    });
    let shown: Vec<_> = shown.collect();
    if shown.is_empty() {
        NONE.to_owned()
    } else {
        shown.join(",")
    }
}

fn capacity(body: &CapacityBody) -> String {
    format_amounts([
        ("slots", Some(body.slots)),
        ("cpu_milli", Some(body.cpu_milli)),
        ("memory_mib", Some(body.memory_mib)),
        ("gpus", Some(body.gpus)),
    ])
}

fn resource_limit(body: &ResourceLimitBody) -> String {
    format_amounts([
        ("slots", body.slots),
        ("cpu_milli", body.cpu_milli),
        ("memory_mib", body.memory_mib),
        ("gpus", body.gpus),
    ])
}

fn job_name(key: &JobKeyBody) -> String {
    format!("{}/{}", key.tenant, key.job)
}

impl Show for SubmittedBody {
    fn table(&self) -> String {
        let result = if self.known { "known already" } else { "taken" };
        format!("job {} {result}\n", self.number)
    }
}

impl Show for JobViewBody {
    fn table(&self) -> String {
        let mut text = format!(
            "job     {}/{}\nqueue   {}\nstate   {}\n",
            self.tenant,
            self.job,
            self.queue,
            json_name(&self.state)
        );
        if let Some(reason) = &self.reason {
            text.push_str(&format!("reason  {reason}\n"));
        }
        let mut steps = Table::new(&["STEP", "TASKS", "DONE", "RUNNING", "FAILED", "FAILED RUNS"]);
        for step in &self.steps {
            let counts = [
                step.tasks,
                step.done,
                step.running,
                step.failed,
                step.failed_runs,
            ];
            let counts = counts.map(|count| count.to_string());
            steps.row(std::iter::once(step.name.to_string()).chain(counts));
        }
        text + &steps.render()
    }
}

impl Show for JobsBody {
    fn table(&self) -> String {
        let mut table = Table::new(&["JOB", "QUEUE", "STATE", "DONE"]);
        for job in &self.jobs {
            let done: u32 = job.steps.iter().map(|step| step.done).sum();
            let tasks: u32 = job.steps.iter().map(|step| step.tasks).sum();
            table.row([
                format!("{}/{}", job.tenant, job.job),
                job.queue.to_string(),
                json_name(&job.state),
                format!("{done}/{tasks}"),
            ]);
        }
        let mut text = table.render();
        if let Some(next) = self.next {
            text.push_str(&format!("more with --after {next}\n"));
        }
        text
    }
}

impl Show for ExplainedBody {
    fn table(&self) -> String {
        self.lines.iter().map(|line| format!("{line}\n")).collect()
    }
}

impl Show for CancelledBody {
    fn table(&self) -> String {
        let mut text = format!(
            "{} cancelled, {} had ended already\n",
            self.cancelled, self.finished
        );
        for key in &self.unknown {
            text.push_str(&format!("unknown: {}\n", job_name(key)));
        }
        text
    }
}

impl Show for QueuesBody {
    fn table(&self) -> String {
        let mut table = Table::new(&["QUEUE", "POOL", "MODE", "JOBS", "READY TASKS", "RUNS"]);
        for queue in &self.queues {
            table.row([
                queue.queue.to_string(),
                queue.pool.to_string(),
                json_name(&queue.mode),
                queue.unfinished_jobs.to_string(),
                queue.ready_tasks.to_string(),
                queue.open_runs.to_string(),
            ]);
        }
        table.render()
    }
}

impl Show for LicencesBody {
    fn table(&self) -> String {
        let mut table = Table::new(&["LICENCE", "SEATS", "TAKEN", "WAITING"]);
        for licence in &self.licences {
            table.row([
                licence.licence.to_string(),
                licence.seats.to_string(),
                licence.used.to_string(),
                licence.waiting.to_string(),
            ]);
        }
        table.render()
    }
}

impl Show for TenantsBody {
    fn table(&self) -> String {
        let mut table = Table::new(&[
            "TENANT",
            "JOBS",
            "READY TASKS",
            "HOLDS",
            "CEILING",
            "ENDED",
            "LATE",
            "FAILED",
            "BUDGET USED UP",
        ]);
        for tenant in &self.tenants {
            table.row([
                tenant.tenant.to_string(),
                tenant.unfinished_jobs.to_string(),
                tenant.ready_tasks.to_string(),
                capacity(&tenant.usage),
                resource_limit(&tenant.resource_limit),
                tenant.ended_jobs.to_string(),
                tenant.late_jobs.to_string(),
                tenant.failed_jobs.to_string(),
                yes_no(tenant.budget_exceeded),
            ]);
        }
        table.render()
    }
}

impl Show for RunnersBody {
    fn table(&self) -> String {
        let mut table = Table::new(&[
            "RUNNER",
            "POOL",
            "RACK",
            "RUNS",
            "ROOM",
            "DRAINING",
            "PROBATION",
            "SILENT MS",
        ]);
        for runner in &self.runners {
            table.row([
                runner.runner.to_string(),
                runner.pool.to_string(),
                runner.rack.to_string(),
                runner.open_runs.to_string(),
                capacity(&runner.room),
                yes_no(runner.draining),
                yes_no(runner.on_probation),
                runner.since_last_contact_ms.to_string(),
            ]);
        }
        table.render()
    }
}

impl Show for MembersBody {
    fn table(&self) -> String {
        let mut table = Table::new(&[
            "NODE",
            "ROLE",
            "ZONE",
            "SOCKET",
            "STANDING",
            "SILENT MS",
            "CONFIGURATION",
            "LINKS GOOD/BAD",
        ]);
        for member in &self.members {
            table.row([
                member.node.clone(),
                member.role.clone(),
                member.zone.clone(),
                member.socket.clone(),
                member.status.clone(),
                member.since_last_contact_ms.to_string(),
                format_version(member.configuration),
                member.links.map_or_else(|| "-".to_owned(), format_links),
            ]);
        }
        table.render()
    }
}

/// Returns the counts of good and bad links of a voter, and other reasons why it
/// is no target of a leadership transfer: a slow disk or a recent transfer.
fn format_links(links: LinkHealthBody) -> String {
    let mut text = format!("{}/{}", links.good, links.bad);
    if links.slow_disk {
        text.push_str(" slow disk");
    }
    if links.recently_transferred {
        text.push_str(" gave way");
    }
    text
}

impl Show for AcceptedBody {
    fn table(&self) -> String {
        "accepted\n".to_owned()
    }
}

impl Show for RunsLostBody {
    fn table(&self) -> String {
        let count = self.runs.len();
        let runs: String = self.runs.iter().map(|run| format!("  {run}\n")).collect();
        format!("{count} runs closed as lost\n{runs}")
    }
}

impl Show for ConfiguredBody {
    fn table(&self) -> String {
        let result = if self.known {
            "was taken already"
        } else {
            "is taken"
        };
        format!("version {} {result}\n", self.version)
    }
}

/// Returns the text of a configuration version; `-` if the member has reported
/// none.
fn format_version(reported: Option<u64>) -> String {
    reported.map_or(NONE.to_owned(), |version| version.to_string())
}

impl Show for ConfigurationStatusBody {
    fn table(&self) -> String {
        let mut table = Table::new(&["NODE", "ROLE", "ZONE", "VERSION"]);
        for member in &self.members {
            table.row([
                member.node.clone(),
                member.role.clone(),
                member.zone.clone(),
                format_version(member.version),
            ]);
        }
        let progress = if self.everywhere {
            "everywhere"
        } else {
            "not everywhere yet"
        };
        format!("version {} {progress}\n{}", self.newest, table.render())
    }
}

impl Show for DecisionLine {
    fn table(&self) -> String {
        let job = self.job.as_ref().map_or(NONE.to_owned(), job_name);
        let event = describe_event(&self.event);
        format!("{} term {} {job}: {event}\n", self.number, self.term)
    }
}

fn describe_event(event: &EventBody) -> String {
    match event {
        EventBody::Placed {
            queue,
            tenant,
            task,
            run,
            runner,
            runnable_tenants,
            shadow,
        } => {
            let shadow = if *shadow { " (shadow)" } else { "" };
            format!(
                "task {task} of {tenant} in {queue} placed on {runner} as run {run}, \
                 drawn among {runnable_tenants} tenants{shadow}"
            )
        }
        EventBody::NotPlaced { task, message, .. } => format!("task {task} stays: {message}"),
        EventBody::Ordered { run, task, runner } => {
            format!("run {run} of task {task} ordered on {runner}")
        }
        EventBody::Closed {
            run,
            task,
            runner,
            outcome,
            message,
        } => {
            let message = message
                .as_ref()
                .map_or(String::new(), |text| format!(": {text}"));
            format!(
                "run {run} of task {task} on {runner} closed, {}{message}",
                json_name(outcome)
            )
        }
        EventBody::JobEnded { state } => format!("job ended, {}", json_name(state)),
    }
}
