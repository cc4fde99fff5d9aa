//! Draw among runnable tenant lists.
//!
//! A pull draws lists of one priority, each list at most once. By default every
//! list is equally likely, as in the Job Pump.

use crate::index::{ListIndex, PoolIndex, QueueIndex};
use crate::policy::Draw;
use crate::pull::RunKind;
use crate::view::View;
use rand::Rng;

/// State of one pull's draws among the queues of one priority.
#[derive(Debug, Clone)]
pub(crate) struct DrawState {
    kind: RunKind,
    queues: Vec<QueueDraws>,
}

/// Draws from one queue.
#[derive(Debug, Clone, Copy)]
struct QueueDraws {
    queue: QueueIndex,
    /// Number of lists that may be drawn, drawn ones included.
    drawable: usize,
    drawn: usize,
}

impl QueueDraws {
    fn remaining(&self) -> usize {
        self.drawable - self.drawn
    }
}

impl View {
    /// Starts the draws of a pull among queues of one priority.
    pub(crate) fn start_draw(&self, priority: u8, kind: RunKind, pool: PoolIndex) -> DrawState {
        let queues = self.pools[pool].queues.iter().copied();
        let queues = queues
            .filter(|queue| self.queues[*queue].priority == priority)
            .map(|queue| QueueDraws {
                queue,
                drawable: self.queues[queue].drawable_count(kind),
                drawn: 0,
            })
            .collect();
        DrawState { kind, queues }
    }

    /// Draws the next list; returns `None` when none remains. The runnable sets
    /// must not change between the draws of one pull.
    pub(crate) fn draw_list(&mut self, state: &mut DrawState) -> Option<ListIndex> {
        let remaining: usize = state.queues.iter().map(QueueDraws::remaining).sum();
        if remaining == 0 {
            return None;
        }
        match self.options.policy.draw {
            Draw::Oldest => self.take_oldest_list(state),
            Draw::Uniform => self.draw_uniformly(state, remaining),
        }
    }

    fn draw_uniformly(&mut self, state: &mut DrawState, remaining: usize) -> Option<ListIndex> {
        let mut chosen = self.random.random_range(0..remaining);
        for draws in &mut state.queues {
            if chosen >= draws.remaining() {
                chosen -= draws.remaining();
                continue;
            }
            let lists = self.queues[draws.queue].runnable_mut(state.kind);
            let list = lists.draw(draws.drawn, &mut self.random);
            draws.drawn += 1;
            return list;
        }
        None
    }

    /// Takes the list whose first task is the oldest among those not drawn yet.
    fn take_oldest_list(&mut self, state: &mut DrawState) -> Option<ListIndex> {
        let queues = state.queues.iter().enumerate();
        let (_, position, list) = queues
            .filter(|(_, draws)| draws.drawable > 0)
            .flat_map(|(position, draws)| {
                let lists = self.queues[draws.queue].runnable(state.kind);
                let remaining = lists.remaining(draws.drawn);
                remaining.map(move |list| (position, list))
            })
            .filter_map(|(position, list)| {
                let first = self.lists[list].startable(state.kind).first()?;
                Some((first, position, list))
            })
            .min()?;
        let draws = &mut state.queues[position];
        let lists = self.queues[draws.queue].runnable_mut(state.kind);
        lists.mark_drawn(list, draws.drawn);
        draws.drawn += 1;
        Some(list)
    }

    /// Returns the number of lists that pulls of a pool may draw.
    pub(crate) fn runnable_count(&self, pool: PoolIndex, kind: RunKind) -> u32 {
        let queues = self.pools[pool].queues.iter();
        let count: usize = queues
            .map(|queue| self.queues[*queue].drawable_count(kind))
            .sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
