//! Mutations: checks of the state machine that a mutation test disables.

/// Check that a mutation test disables to prove that the checkers detect the
/// resulting fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// Configurations are applied without a comparison of versions.
    AnyConfigurationVersion,
    /// A resent submission creates a further job.
    ResentSubmitIsNew,
    /// A reservation is accepted without a check of its task, runner, queue and
    /// tenant.
    SkipReservationCheck,
    /// Failed runs are not counted.
    ForgetFailures,
    /// The other runs of a gang continue after one has failed.
    KeepRestOfGang,
}
