//! The command line: daemons, operator and caller commands, toolbox.

fn main() {}
