//! Guards of the record that a proof may leave out.

/// A guard left out, to prove that a checker notices; none outside proofs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// A configuration is taken under any version.
    AnyConfigurationVersion,
    /// A resent submit becomes a further job.
    ResentSubmitIsNew,
    /// A reservation is taken without looking at its task, runner, queue and
    /// tenant again.
    SkipReservationCheck,
    /// Failed runs do not use up the allowance of their task.
    ForgetFailures,
    /// The end of one member does not end the rest of its gang.
    KeepRestOfGang,
}
