//! Reaction of a daemon process to signals: SIGTERM drains it, SIGHUP reloads its
//! settings.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Lines};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

/// A gateway process without a cluster: it is alive, but never ready.
struct Daemon {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    settings: PathBuf,
}

/// Returns five unused sockets on a loopback address that only one test uses: two
/// for the daemon and three seeds that no process listens on.
fn unused_sockets(host: u8) -> [SocketAddr; 5] {
    let any = SocketAddr::from(([127, 0, 7, host], 0));
    let listeners = [(); 5].map(|()| TcpListener::bind(any).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

fn settings_text(folder: &Path, host: u8) -> String {
    let key = folder.join("cluster.key");
    std::fs::write(&key, "k".repeat(32)).unwrap();
    let [peer, http, seeds @ ..] = unused_sockets(host);
    let seeds = seeds.map(|socket| format!("\"{socket}\"")).join(", ");
    format!(
        "zone = \"a\"\nlisten = \"{peer}\"\nhttp_listen = \"{http}\"\nseeds = [{seeds}]\n\
         cluster_key_file = {key:?}\n[log]\nformat = \"plain\"\nlevel = \"info\"\n"
    )
}

impl Daemon {
    fn start(name: &str, host: u8) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("gateway.toml");
        std::fs::write(&settings, settings_text(&folder, host)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cypressdrum"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut daemon = Self {
            child,
            log,
            settings,
        };
        daemon.wait_for("starting");
        daemon
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id().cast_signed()), signal).unwrap();
    }

    /// Reads the log up to the first line that contains `text`, and returns it.
    fn wait_for(&mut self, text: &str) -> String {
        let mut seen = Vec::new();
        for line in &mut self.log {
            let line = line.unwrap();
            if line.contains(text) {
                return line;
            }
            seen.push(line);
        }
        panic!("the log ended without a line that contains {text:?}: {seen:#?}");
    }

    fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        assert!(text.contains(from));
        std::fs::write(&self.settings, text.replace(from, to)).unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn sigterm_drains_and_exits_with_code_zero() {
    let mut daemon = Daemon::start("terminate", 1);
    daemon.signal(Signal::SIGTERM);
    daemon.wait_for("graceful shutdown started");
    daemon.wait_for("stopped");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
}

#[test]
fn reload_applies_log_level() {
    let mut daemon = Daemon::start("level", 2);
    daemon.change_settings("\"info\"", "\"debug\"");
    daemon.signal(Signal::SIGHUP);
    let line = daemon.wait_for("settings reloaded");
    assert!(line.contains("level=debug"), "{line}");
    assert!(line.contains("needs_restart=false"), "{line}");
}

#[test]
fn reload_of_other_settings_reports_required_restart() {
    let mut daemon = Daemon::start("restart", 3);
    daemon.change_settings("zone = \"a\"", "zone = \"b\"");
    daemon.signal(Signal::SIGHUP);
    let line = daemon.wait_for("settings reloaded");
    assert!(line.contains("needs_restart=true"), "{line}");
}

#[test]
fn reload_of_invalid_file_keeps_previous_settings() {
    let mut daemon = Daemon::start("invalid", 4);
    daemon.change_settings("zone = \"a\"", "colour = \"green\"");
    daemon.signal(Signal::SIGHUP);
    daemon.wait_for("previous settings stay in force");
    daemon.change_settings("colour = \"green\"", "zone = \"a\"");
    daemon.signal(Signal::SIGHUP);
    let line = daemon.wait_for("settings reloaded");
    assert!(line.contains("needs_restart=false"), "{line}");
}
