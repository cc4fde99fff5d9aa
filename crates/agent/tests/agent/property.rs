//! What holds of deliveries whatever arrives, in any order, after any pause.

use crate::bench::{Bench, FREEZE, order, report, update};
use agent::Input;
use proptest::prelude::*;
use std::collections::BTreeSet;
use transport::PeerMessage;
use types::{NodeId, OrderAnswer, OrderSequence, Term};

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Open(u64),
    Heartbeat,
    Orders {
        agent: u64,
        term: u64,
        from: u64,
        count: u64,
    },
    Update(u64),
    Answer {
        term: u64,
        sequence: u64,
    },
    NewLife(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let pause = prop_oneof![4 => 1..400_u64, 1 => FREEZE..5_000_u64];
    prop_oneof![
        3 => pause.prop_map(Step::Pass),
        2 => (1..4_u64).prop_map(Step::Open),
        3 => Just(Step::Heartbeat),
        6 => (49..52_u64, 1..5_u64, 1..30_u64, 1..20_u64).prop_map(
            |(agent, term, from, count)| Step::Orders { agent, term, from, count }
        ),
        1 => (1..4_u64).prop_map(Step::Update),
        2 => (1..4_u64, 1..30_u64)
            .prop_map(|(term, sequence)| Step::Answer { term, sequence }),
        1 => (3..5_u64).prop_map(Step::NewLife),
    ]
}

/// What must hold before an order may be delivered.
#[derive(Default)]
struct Permission {
    delivered: BTreeSet<(Term, OrderSequence)>,
    highest_term: Term,
    may_deliver: bool,
}

impl Permission {
    fn look(&mut self, bench: &Bench) {
        for (term, sequence) in bench.delivered_with_terms() {
            assert!(self.may_deliver, "delivered without session or heartbeat");
            assert!(term >= self.highest_term, "delivered under a lower term");
            assert!(self.delivered.insert((term, sequence)), "delivered twice");
        }
    }
}

/// The same cases in every run.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn each_order_goes_out_once_under_a_session_of_its_term(
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let mut bench = Bench::new();
        let mut permission = Permission::default();
        for step in steps {
            match step {
                Step::Pass(pause) => {
                    bench.at += pause;
                    // Nothing of before a freeze may go out, nor after it
                    // until the runner was heard in a new session.
                    permission.may_deliver &= pause < FREEZE;
                    bench.input(Input::Tick);
                }
                Step::Open(term) => {
                    bench.open(term);
                }
                Step::Heartbeat => {
                    permission.may_deliver |= bench.is_open();
                    bench.heartbeat();
                }
                Step::Orders { agent, term, from, count } => {
                    let orders = (from..from + count).map(|n| order(term, n)).collect();
                    bench.order_to(NodeId(agent), Term(term), orders);
                    if agent != 50 {
                        prop_assert!(bench.delivered().is_empty());
                    }
                }
                Step::Update(term) => {
                    bench.receive(crate::bench::leader(), PeerMessage::RunnerUpdate(update(term, 1)));
                }
                Step::Answer { term, sequence } => {
                    bench.answer(order(term, sequence), OrderAnswer::Revoked);
                }
                Step::NewLife(incarnation) => {
                    permission.may_deliver |= bench.is_open();
                    bench.input(Input::Heartbeat(report(incarnation, 1_000)));
                }
            }
            permission.look(&bench);
            permission.highest_term = permission.highest_term.max(bench.highest_term());
            permission.may_deliver &= bench.is_open();
        }
    }
}
