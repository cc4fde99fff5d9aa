//! Fleet of real daemons on the local machine.

mod member;
mod plan;
mod status;

pub use member::{Member, MemberId};
pub use plan::FleetPlan;

use crate::LabError;
use crate::ports::Addresses;
use crate::process::{Process, Program};
use cypressdrum::client::{Connection, GatewayClient};
use cypressdrum::output::OutputFormat;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use types::Role;

/// Interval at which an awaited condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one request to a gateway, in milliseconds.
const COMMAND_TIMEOUT_MS: u64 = 3_000;
/// Cluster secret of every trial. It is public: the daemons listen on loopback
/// addresses only.
const CLUSTER_SECRET: &str = "a-secret-for-trials-on-one-machine-only";

/// Fleet of real daemons on the local machine; dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    program: Program,
    folder: PathBuf,
    addresses: Addresses,
    seeds: Vec<SocketAddr>,
    key: PathBuf,
    members: Vec<Member>,
}

impl Fleet {
    /// Creates the folder, assigns addresses and writes settings files. Starts no
    /// daemon.
    ///
    /// # Errors
    ///
    /// Fails if sockets, keys or settings files cannot be made.
    pub fn build(plan: &FleetPlan, program: Program, folder: &Path) -> Result<Self, LabError> {
        std::fs::create_dir_all(folder).map_err(LabError::file(folder))?;
        let key = folder.join("cluster.key");
        std::fs::write(&key, CLUSTER_SECRET).map_err(LabError::file(&key))?;
        let addresses = Addresses::default();
        let members = plan.members(&addresses, folder)?;
        let seeds = plan::seeds(&members);
        for member in &members {
            member.write_settings(&seeds, &key)?;
        }
        Ok(Self {
            program,
            folder: folder.to_owned(),
            addresses,
            seeds,
            key,
            members,
        })
    }

    /// Adds a daemon of a role with its own address and an empty data folder.
    /// Does not start it.
    ///
    /// # Errors
    ///
    /// Fails if no socket is free or the settings cannot be written.
    pub fn add(&mut self, role: Role) -> Result<MemberId, LabError> {
        let count = self.of_role(role).count();
        let ordinal = u8::try_from(count + 1).unwrap_or(u8::MAX);
        let id = MemberId { role, ordinal };
        let member = plan::member(id, &self.addresses, &self.folder)?;
        member.write_settings(&self.seeds, &self.key)?;
        self.members.push(member);
        Ok(id)
    }

    /// Returns the folder with the fleet's settings, data and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns all daemons, running or not.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the daemons of a role, ordered by ordinal.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(move |member| member.id.role == role)
    }

    /// Returns the ids of a role's daemons, ordered by ordinal.
    pub fn ids_of_role(&self, role: Role) -> Vec<MemberId> {
        self.of_role(role).map(|member| member.id).collect()
    }

    /// Returns the base URLs of all gateways.
    pub fn gateway_urls(&self) -> Vec<String> {
        self.of_role(Role::Gateway).map(Member::http_url).collect()
    }

    /// Builds a client that can use every gateway.
    ///
    /// # Errors
    ///
    /// Fails if the fleet has no gateway or the client cannot be built.
    pub fn client(&self) -> Result<GatewayClient, LabError> {
        let connection = Connection {
            gateway: self.gateway_urls(),
            key_file: None,
            timeout_ms: COMMAND_TIMEOUT_MS,
            output: OutputFormat::Json,
        };
        Ok(GatewayClient::connect(&connection)?)
    }

    /// Starts every daemon that has no process.
    ///
    /// # Errors
    ///
    /// Fails if a daemon cannot be started.
    pub fn start_all(&mut self) -> Result<(), LabError> {
        let ids: Vec<_> = self.members.iter().map(|member| member.id).collect();
        ids.into_iter().try_for_each(|id| self.start(id))
    }

    /// Starts one daemon on the current content of its data folder.
    ///
    /// # Errors
    ///
    /// Fails if there is no such member or its program cannot be started.
    pub fn start(&mut self, id: MemberId) -> Result<(), LabError> {
        let program = self.program.clone();
        self.start_with(id, &program)
    }

    /// Starts one daemon like [`Fleet::start`], but with another program. Later
    /// starts use the fleet's program again.
    ///
    /// # Errors
    ///
    /// Fails if there is no such member or the program cannot be started.
    pub fn start_with(&mut self, id: MemberId, program: &Program) -> Result<(), LabError> {
        let member = self.member_mut(id)?;
        if member.process.is_some() {
            return Ok(());
        }
        let arguments = member.arguments();
        member.process = Some(Process::start(program, &arguments, &member.log)?);
        Ok(())
    }

    /// Kills one daemon with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails if there is no such member or the signal cannot be sent.
    pub fn kill(&mut self, id: MemberId) -> Result<(), LabError> {
        let member = self.member_mut(id)?;
        match member.process.take() {
            Some(mut process) => {
                process.kill();
                Ok(())
            }
            None => Err(LabError::NotRunning(id.to_string())),
        }
    }

    /// Requests a graceful shutdown of one daemon with SIGTERM and waits until it
    /// has exited.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent or the daemon does not exit in time.
    pub async fn terminate(&mut self, id: MemberId, timeout: Duration) -> Result<(), LabError> {
        self.signal(id, Signal::SIGTERM)?;
        let started = Instant::now();
        loop {
            let member = self.member_mut(id)?;
            let exit_status = member.process.as_mut().and_then(Process::exit_status);
            if exit_status.is_some() {
                member.process = None;
                return Ok(());
            }
            if started.elapsed() > timeout {
                return Err(timed_out(format!("{id} to drain"), timeout));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Freezes one daemon with SIGSTOP, as a frozen machine would.
    ///
    /// # Errors
    ///
    /// Fails if there is no such member or the signal cannot be sent.
    pub fn freeze(&self, id: MemberId) -> Result<(), LabError> {
        self.signal(id, Signal::SIGSTOP)
    }

    /// Resumes a frozen daemon with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if there is no such member or the signal cannot be sent.
    pub fn resume(&self, id: MemberId) -> Result<(), LabError> {
        self.signal(id, Signal::SIGCONT)
    }

    /// Removes the data folder of a daemon, which must not be running.
    ///
    /// # Errors
    ///
    /// Fails if there is no such member or its folder cannot be removed.
    pub fn wipe(&self, id: MemberId) -> Result<(), LabError> {
        let member = self.member(id)?;
        if member.data.exists() {
            std::fs::remove_dir_all(&member.data).map_err(LabError::file(&member.data))?;
        }
        Ok(())
    }

    /// Waits until the daemon's readiness check succeeds.
    ///
    /// # Errors
    ///
    /// Fails if the daemon ends or is not ready in time.
    pub async fn wait_ready(&mut self, id: MemberId, timeout: Duration) -> Result<(), LabError> {
        let url = self.member(id)?.ready_url();
        let started = Instant::now();
        loop {
            self.check_alive(id)?;
            if is_ready(&url).await {
                return Ok(());
            }
            if started.elapsed() > timeout {
                return Err(timed_out(format!("{id} to be ready"), timeout));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the readiness checks of all daemons succeed. The timeout is for
    /// all together.
    ///
    /// # Errors
    ///
    /// Fails if a daemon ends or is not ready in time.
    pub async fn wait_all_ready(&mut self, timeout: Duration) -> Result<(), LabError> {
        let started = Instant::now();
        let ids: Vec<_> = self.members.iter().map(|member| member.id).collect();
        for id in ids {
            let left = timeout.saturating_sub(started.elapsed());
            self.wait_ready(id, left).await?;
        }
        Ok(())
    }

    /// Kills all daemons with SIGKILL.
    pub fn kill_all(&mut self) {
        for member in &mut self.members {
            member.process = None;
        }
    }

    /// Returns an error if a daemon that should run has exited.
    ///
    /// # Errors
    ///
    /// Fails if the daemon was not started or has exited.
    pub fn check_alive(&mut self, id: MemberId) -> Result<(), LabError> {
        let member = self.member_mut(id)?;
        let Some(process) = &mut member.process else {
            return Err(LabError::NotRunning(id.to_string()));
        };
        match process.exit_status() {
            None => Ok(()),
            Some(status) => Err(LabError::Ended {
                member: id.to_string(),
                status: status.to_string(),
                log: member.log.clone(),
            }),
        }
    }

    fn signal(&self, id: MemberId, signal: Signal) -> Result<(), LabError> {
        match &self.member(id)?.process {
            Some(process) => process.signal(signal),
            None => Err(LabError::NotRunning(id.to_string())),
        }
    }

    fn member(&self, id: MemberId) -> Result<&Member, LabError> {
        let found = self.members.iter().find(|member| member.id == id);
        found.ok_or_else(|| LabError::NotRunning(id.to_string()))
    }

    fn member_mut(&mut self, id: MemberId) -> Result<&mut Member, LabError> {
        let found = self.members.iter_mut().find(|member| member.id == id);
        found.ok_or_else(|| LabError::NotRunning(id.to_string()))
    }
}

/// Returns the error of a condition that was not met before its timeout.
pub fn timed_out(what: impl Into<String>, timeout: Duration) -> LabError {
    LabError::TimedOut {
        what: what.into(),
        seconds: timeout.as_secs(),
    }
}

async fn is_ready(url: &str) -> bool {
    match reqwest::get(url).await {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    }
}
