//! Children of the lab: settings they accept, and no child left behind.

use lab::process::{Process, Program};
use lab::setup::TrialFolder;
use lab::{Fleet, FleetPlan};
use std::path::Path;
use std::process::{Command, Stdio};

fn folder(name: &str) -> TrialFolder {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    TrialFolder::create_at(path, false).unwrap()
}

#[test]
fn the_daemons_accept_the_settings_of_a_whole_fleet() {
    let folder = folder("settings");
    let program = Program::lab(env!("CARGO_BIN_EXE_lab"));
    let fleet = Fleet::build(&FleetPlan::TODAY, program, folder.path()).unwrap();
    assert_eq!(fleet.members().len(), 17);
    for member in fleet.members() {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lab"))
            .arg("daemon")
            .arg(member.id.role.to_string())
            .arg("--settings")
            .arg(&member.settings)
            .arg("--check")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // A daemon ends when this pipe does.
        let held_open = child.stdin.take();
        let checked = child.wait_with_output().unwrap();
        drop(held_open);
        let problems = String::from_utf8_lossy(&checked.stderr);
        assert!(checked.status.success(), "{}: {problems}", member.id);
    }
}

#[test]
fn a_dropped_process_has_ended() {
    let folder = folder("dropped");
    let program = Program {
        path: "/bin/sleep".into(),
        arguments: Vec::new(),
    };
    let log = folder.path().join("log");
    let process = Process::start(&program, &["600".to_owned()], &log).unwrap();
    let id = process.id();
    drop(process);
    assert!(!Path::new(&format!("/proc/{id}")).exists());
}

#[test]
fn the_folder_goes_with_the_trial_unless_it_is_kept() {
    let gone = folder("gone");
    let path = gone.path().to_owned();
    drop(gone);
    assert!(!path.exists());
    let kept = TrialFolder::create_at(path.clone(), true).unwrap();
    drop(kept);
    assert!(path.exists());
}

#[test]
fn a_daemon_ends_when_the_lab_is_gone() {
    let folder = folder("orphan");
    let program = Program::lab(env!("CARGO_BIN_EXE_lab"));
    let fleet = Fleet::build(&FleetPlan::TODAY, program, folder.path()).unwrap();
    let gateway = &fleet.of_role(types::Role::Gateway).next().unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_lab"))
        .args(["daemon", "gateway", "--settings"])
        .arg(&gateway.settings)
        .stdin(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    drop(child.stdin.take());
    let status = child.wait().unwrap();
    assert_eq!(status.code(), Some(3));
}
