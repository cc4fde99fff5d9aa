//! Child processes of the lab: the daemons accept their settings files, and no child
//! or folder outlives its trial.

use lab::process::{Process, Program};
use lab::setup::TrialFolder;
use lab::{Fleet, FleetPlan};
use std::path::Path;
use std::process::{Command, Stdio};

fn folder(name: &str) -> TrialFolder {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    TrialFolder::create_at(path, false).unwrap()
}

/// The lab writes the settings files itself. A key that a daemon rejects would fail every
/// trial at its start.
#[test]
fn daemons_accept_settings_of_whole_fleet() {
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
        // A daemon exits when this pipe is closed.
        let stdin = child.stdin.take();
        let checked = child.wait_with_output().unwrap();
        drop(stdin);
        let problems = String::from_utf8_lossy(&checked.stderr);
        assert!(checked.status.success(), "{}: {problems}", member.id);
    }
}

#[test]
fn dropped_process_has_exited() {
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
fn trial_folder_is_removed_on_drop_unless_kept() {
    let removed = folder("removed");
    let path = removed.path().to_owned();
    drop(removed);
    assert!(!path.exists());
    let kept = TrialFolder::create_at(path.clone(), true).unwrap();
    drop(kept);
    assert!(path.exists());
}

/// A lab that is killed cannot stop its children, so each daemon watches its standard
/// input for the end of the lab's pipe.
#[test]
fn daemon_exits_when_lab_closes_its_stdin() {
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
