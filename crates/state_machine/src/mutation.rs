//! Mutations: checks of the state machine that a test may switch off.

/// A check that a mutation test switches off to prove that the checkers notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// A configuration is applied under any version.
    AnyConfigurationVersion,
    /// A resent submit becomes a further job.
    ResentSubmitIsNew,
    /// A reservation is accepted without a check of its task, runner, queue and
    /// tenant.
    SkipReservationCheck,
    /// Failed runs do not count.
    ForgetFailures,
    /// The other runs of a gang go on after one has failed.
    KeepRestOfGang,
}
