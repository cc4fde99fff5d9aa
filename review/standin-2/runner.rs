//! A runner as PROTOCOL.md describes it, with `admission-check` true.
//!
//! What the pages leave open is decided for the system: a lease that is over and a stop end
//! a run at once, a call is answered at once, and a heartbeat that fails is sent again.

use crate::http::{self, Request};
use crate::json::{quote, Json};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Needs {
    pub cpu: u64,
    pub mem: u64,
    pub gpus: u64,
}

impl Needs {
    pub fn plus(self, other: Needs) -> Needs {
        Needs {
            cpu: self.cpu + other.cpu,
            mem: self.mem + other.mem,
            gpus: self.gpus + other.gpus,
        }
    }

    pub fn times(self, factor: u64) -> Needs {
        Needs {
            cpu: self.cpu * factor,
            mem: self.mem * factor,
            gpus: self.gpus * factor,
        }
    }

    pub fn fits_in(self, room: Needs) -> bool {
        self.cpu <= room.cpu && self.mem <= room.mem && self.gpus <= room.gpus
    }

    pub fn minus(self, other: Needs) -> Needs {
        Needs {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// What a runner has to know of a step of a job to work on its tasks.
#[derive(Debug, Clone)]
pub struct Step {
    pub count: u64,
    pub needs: Needs,
    pub work: Duration,
    pub label: &'static str,
    pub gang: bool,
    pub lasting: bool,
}

/// Jobs that were handed in, by identifier. Times are not used, so `K` is always 0.
pub type Jobs = Arc<Mutex<BTreeMap<String, Vec<Step>>>>;

struct Run {
    started: Instant,
    /// Since when all members of the gang are present; the start for other tasks.
    working: Option<Instant>,
    step: Step,
    fails: bool,
}

#[derive(Default)]
struct Runs {
    running: BTreeMap<(String, u64), Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest attempt of a task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    /// Tasks whose end as `done` was taken note of: `last-seen` has reached it.
    noted_done: Vec<String>,
    /// Starts in order: task and time.
    starts: Vec<(String, Instant)>,
    fence: u64,
    deadline_ms: u64,
    draining: bool,
    gone: bool,
}

/// Properties of a runner.
#[derive(Clone)]
pub struct Place {
    pub id: String,
    pub service: &'static str,
    pub labels: [String; 2],
    pub capacity: Needs,
    /// Address for calls.
    pub app: SocketAddr,
    /// Address of the agent on the same machine.
    pub control: SocketAddr,
}

pub struct Runner {
    pub place: Place,
    started: Instant,
    runs: Mutex<Runs>,
    changed: Condvar,
    /// While true, every run that starts ends `failed` after a moment.
    pub fails_all: AtomicBool,
    jobs: Jobs,
    record: Record,
}

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HOLD_MAX_MS: u64 = 6_000;
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const FAILURE_AFTER: Duration = Duration::from_millis(150);
const STEP: Duration = Duration::from_millis(10);

impl Runner {
    pub fn start(place: Place, jobs: Jobs, record: Record) -> std::io::Result<Arc<Runner>> {
        let runner = Arc::new(Runner {
            started: Instant::now(),
            runs: Mutex::default(),
            changed: Condvar::new(),
            fails_all: AtomicBool::new(false),
            jobs,
            record,
            place,
        });
        let served = runner.clone();
        http::serve(
            runner.place.app,
            Arc::new(move |request: &Request| served.answer(request)),
        )?;
        let registered = runner.clone();
        std::thread::spawn(move || registered.register());
        let worked = runner.clone();
        std::thread::spawn(move || loop {
            worked.work();
            std::thread::sleep(STEP);
        });
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The runner's steady clock.
    fn now_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn register(&self) {
        let mut sequence = 0;
        while !self.lock().gone {
            sequence += 1;
            let state = if self.lock().draining {
                "draining"
            } else {
                "ready"
            };
            let Place {
                service,
                labels,
                capacity,
                app,
                ..
            } = &self.place;
            let body = format!(
                "{{\"service\":{},\"address\":{},\"zone\":\"salamanca-hall\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{state}\",\"cold-left-ms\":0,\
                 \"capacity\":{{\"cpu\":{},\"mem-mb\":{},\"gpus\":{}}},\
                 \"labels\":[{},{}],\"now-ms\":{},\"call-seq\":{sequence}}}",
                quote(service),
                quote(&app.to_string()),
                capacity.cpu,
                capacity.mem,
                capacity.gpus,
                quote(&labels[0]),
                quote(&labels[1]),
                self.now_ms(),
            );
            let path = format!("/-/Instances.Heartbeat/{}", self.place.id);
            let answer = self.call_agent(&path, &body);
            let pause = if answer {
                HEARTBEAT
            } else {
                Duration::from_millis(200)
            };
            std::thread::sleep(pause);
        }
    }

    fn call_agent(&self, path: &str, body: &str) -> bool {
        let timeout = Duration::from_secs(1);
        let answer = http::call(self.place.control, "POST", path, &[], body, timeout);
        answer.is_some_and(|(status, _)| status / 100 == 2)
    }

    /// Says `draining`, serves on for `drain`, deregisters and ends.
    pub fn leave(&self, drain: Duration) {
        self.lock().draining = true;
        self.record
            .write(&format!("runner {} says draining", self.place.id));
        std::thread::sleep(HEARTBEAT + drain);
        self.call_agent(&format!("/-/Instances.Deregister/{}", self.place.id), "{}");
        self.lock().gone = true;
        self.record.write(&format!(
            "runner {} has deregistered and ended",
            self.place.id
        ));
    }

    /// Returns whether the runner is up and not draining.
    pub fn is_ready(&self) -> bool {
        let runs = self.lock();
        !runs.draining && !runs.gone
    }

    /// Returns the names of the tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let runs = self.lock();
        let keys = runs.running.keys();
        keys.map(|(task, _)| task.clone()).collect()
    }

    /// Returns the tasks whose end as `done` was taken note of.
    pub fn noted_done(&self) -> Vec<String> {
        self.lock().noted_done.clone()
    }

    /// Returns the tasks that were started here after `since`.
    pub fn started_after(&self, since: Instant) -> Vec<String> {
        let runs = self.lock();
        let starts = runs.starts.iter().filter(|(_, at)| *at > since);
        starts.map(|(task, _)| task.clone()).collect()
    }

    pub fn used(&self) -> Needs {
        used(&self.lock())
    }

    fn work(&self) {
        let mut runs = self.lock();
        let over = runs.deadline_ms <= self.now_ms();
        let keys: Vec<(String, u64)> = runs.running.keys().cloned().collect();
        for key in keys {
            let Some(run) = runs.running.get(&key) else {
                continue;
            };
            let age = run.started.elapsed();
            let how = if over {
                "lapsed"
            } else if run.fails && age >= FAILURE_AFTER {
                "failed"
            } else if run.step.gang && run.working.is_none() && age >= GANG_TIMEOUT {
                "alone"
            } else if !run.step.lasting
                && run
                    .working
                    .is_some_and(|since| since.elapsed() >= run.step.work)
            {
                "done"
            } else {
                continue;
            };
            self.end(&mut runs, &key, how);
        }
    }

    /// Marks the members of a gang that run here as at work.
    pub fn gang_present(&self, members: &[(String, u64)]) {
        let mut runs = self.lock();
        for member in members {
            if let Some(run) = runs.running.get_mut(member) {
                run.working.get_or_insert(Instant::now());
            }
        }
    }

    /// Returns the members of gangs that wait here for the others, with the gang's size.
    pub fn waiting_members(&self) -> Vec<((String, u64), u64)> {
        let runs = self.lock();
        let waiting = runs.running.iter().filter(|(_, run)| run.step.gang);
        waiting
            .map(|(key, run)| (key.clone(), run.step.count))
            .collect()
    }

    fn end(&self, runs: &mut Runs, key: &(String, u64), how: &'static str) {
        runs.running.remove(key);
        runs.ends += 1;
        let number = runs.ends;
        runs.finished.push((number, key.0.clone(), key.1, how));
        let closed = runs.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        self.record.write(&format!(
            "runner {} ends {} attempt {}: {how}",
            self.place.id, key.0, key.1
        ));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if self.lock().gone {
            return (503, "{}".to_owned());
        }
        let expected = request.headers.get("expect-instance");
        if expected.is_some_and(|expected| *expected != self.place.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let fence = body.get("fence-token").number().unwrap_or(0);
        let mut runs = self.lock();
        if fence < runs.fence {
            return self.reject("fence");
        }
        runs.fence = fence;
        match request.path.as_str() {
            "/-/run-start" => self.start_run(runs, &body),
            "/-/run-stop" => self.stop_run(runs, &body),
            "/-/hold" => self.hold(runs, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reject(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!("{{\"now-ms\":{},\"reason\":\"{reason}\"}}", self.now_ms()),
        )
    }

    fn accept(&self) -> (u16, String) {
        (200, format!("{{\"now-ms\":{}}}", self.now_ms()))
    }

    fn extend(&self, runs: &mut Runs, body: &Json) {
        if let Some(deadline) = body.get("deadline-ms").number() {
            let most = self.now_ms() + HOLD_MAX_MS;
            runs.deadline_ms = runs.deadline_ms.max(deadline.min(most));
        }
    }

    fn start_run(&self, mut runs: MutexGuard<'_, Runs>, body: &Json) -> (u16, String) {
        let key = run_key(body);
        let what = format!(
            "runner {} is told to start {} attempt {}",
            self.place.id, key.0, key.1
        );
        let deadline = body.get("deadline-ms").number().unwrap_or(0);
        if deadline <= self.now_ms() {
            self.record.write(&format!("{what}: late"));
            return self.reject("late");
        }
        self.extend(&mut runs, body);
        if runs.running.contains_key(&key) {
            return self.accept();
        }
        if runs
            .closed
            .get(&key.0)
            .is_some_and(|closed| key.1 <= *closed)
        {
            self.record.write(&format!("{what}: old"));
            return self.reject("old");
        }
        let Some(step) = self.step_of(&key.0) else {
            self.record.write(&format!("{what}: not known"));
            return (400, "{}".to_owned());
        };
        if !used(&runs).plus(step.needs).fits_in(self.place.capacity) {
            self.record.write(&format!("{what}: room"));
            return self.reject("room");
        }
        self.record.write(&format!("{what}: started"));
        let run = Run {
            started: Instant::now(),
            working: (!step.gang).then(Instant::now),
            step,
            fails: self.fails_all.load(Ordering::Relaxed),
        };
        runs.starts.push((key.0.clone(), run.started));
        runs.running.insert(key, run);
        self.accept()
    }

    /// Returns the step of the task `ID.K.STEP.INDEX`.
    fn step_of(&self, task: &str) -> Option<Step> {
        let parts: Vec<&str> = task.split('.').collect();
        let [id, _, step, _] = parts.as_slice() else {
            return None;
        };
        let jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.get(*id)?.get(step.parse::<usize>().ok()?).cloned()
    }

    fn stop_run(&self, mut runs: MutexGuard<'_, Runs>, body: &Json) -> (u16, String) {
        let key = run_key(body);
        self.record.write(&format!(
            "runner {} is told to stop {} attempt {}",
            self.place.id, key.0, key.1
        ));
        if runs.running.contains_key(&key) {
            self.end(&mut runs, &key, "stopped");
        } else {
            let closed = runs.closed.entry(key.0).or_default();
            *closed = (*closed).max(key.1);
        }
        self.accept()
    }

    fn hold(&self, mut runs: MutexGuard<'_, Runs>, body: &Json) -> (u16, String) {
        self.extend(&mut runs, body);
        let seen = body.get("last-seen").number().unwrap_or(0);
        let noted = runs
            .finished
            .iter()
            .filter(|(number, _, _, how)| *number <= seen && *how == "done");
        let noted: Vec<String> = noted.map(|(_, task, ..)| task.clone()).collect();
        runs.noted_done.extend(noted);
        runs.finished.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(body.get("wait-ms").number().unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        while runs.finished.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(runs, left);
            runs = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let running = runs.running.iter().map(|((task, attempt), run)| {
            format!("[{},{attempt},\"\",{}]", quote(task), percent(run))
        });
        let running: Vec<String> = running.collect();
        let finished = runs.finished.iter().take(500);
        let finished = finished.map(|(number, task, attempt, how)| {
            format!("[{number},{},{attempt},\"{how}\",\"\"]", quote(task))
        });
        let finished: Vec<String> = finished.collect();
        let answer = format!(
            "{{\"now-ms\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.now_ms(),
            running.join(","),
            finished.join(",")
        );
        (200, answer)
    }
}

fn used(runs: &Runs) -> Needs {
    let needs = runs.running.values().map(|run| run.step.needs);
    needs.fold(Needs::default(), Needs::plus)
}

fn run_key(body: &Json) -> (String, u64) {
    let attempt = body.get("attempt").number().unwrap_or(0);
    (body.get("task").text().to_owned(), attempt)
}

/// Progress in percent. A lasting task is at work after its short start: 100.
fn percent(run: &Run) -> u64 {
    let worked = run.working.map_or(Duration::ZERO, |since| since.elapsed());
    let share = worked.as_secs_f64() / run.step.work.as_secs_f64().max(0.001);
    (share * 100.0).min(if run.step.lasting { 100.0 } else { 99.0 }) as u64
}
