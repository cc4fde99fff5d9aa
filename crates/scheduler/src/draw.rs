//! The draw among runnable tenant lists.
//!
//! A pull draws lists of one priority, never one twice. By default every list is
//! equally likely, as in the source.

use crate::index::{ListIndex, PoolIndex, QueueIndex};
use crate::policy::Draw;
use crate::pull::RunKind;
use crate::view::View;
use rand::Rng;

/// The state of one pull's draws within one priority.
#[derive(Debug, Clone)]
pub(crate) struct DrawState {
    priority: u8,
    kind: RunKind,
    pool: PoolIndex,
    /// Number of lists drawn, by position of the queue in its pool.
    drawn: Vec<usize>,
}

impl View {
    /// Starts the draws of a pull among queues of one priority.
    pub(crate) fn start_draw(&self, priority: u8, kind: RunKind, pool: PoolIndex) -> DrawState {
        DrawState {
            priority,
            kind,
            pool,
            drawn: vec![0; self.pools[pool].queues.len()],
        }
    }

    /// Draws the next list; returns `None` when none remains.
    pub(crate) fn draw_list(&mut self, state: &mut DrawState) -> Option<ListIndex> {
        let remaining = self.remaining_by_queue(state);
        let total: usize = remaining.iter().map(|(_, remaining)| remaining).sum();
        if total == 0 {
            return None;
        }
        match self.options.policy.draw {
            Draw::Oldest => self.take_oldest_list(state),
            Draw::Uniform => self.draw_uniformly(state, &remaining, total),
        }
    }

    /// Returns the positions of the queues of the draw's priority in their pool,
    /// each with its number of lists not drawn yet.
    fn remaining_by_queue(&self, state: &DrawState) -> Vec<(usize, usize)> {
        let queues = self.pools[state.pool].queues.iter().enumerate();
        queues
            .filter(|(_, queue)| self.queues[**queue].priority == state.priority)
            .map(|(position, queue)| {
                let drawable = self.queues[*queue].drawable_count(state.kind);
                (position, drawable - state.drawn[position])
            })
            .collect()
    }

    fn draw_uniformly(
        &mut self,
        state: &mut DrawState,
        remaining: &[(usize, usize)],
        total: usize,
    ) -> Option<ListIndex> {
        let mut chosen = self.random.random_range(0..total);
        for &(position, in_queue) in remaining {
            if chosen >= in_queue {
                chosen -= in_queue;
                continue;
            }
            let queue = self.pools[state.pool].queues[position];
            let lists = self.queues[queue].runnable_mut(state.kind);
            let list = lists.draw(state.drawn[position], &mut self.random);
            state.drawn[position] += 1;
            return list;
        }
        None
    }

    /// Takes the list whose first task is the oldest among those not drawn yet.
    fn take_oldest_list(&mut self, state: &mut DrawState) -> Option<ListIndex> {
        let queues = self.pools[state.pool].queues.iter().enumerate();
        let (_, position, queue, list) = queues
            .filter(|(_, queue)| {
                let queue = &self.queues[**queue];
                queue.priority == state.priority && queue.drawable_count(state.kind) > 0
            })
            .flat_map(|(position, queue)| {
                let lists = self.queues[*queue].runnable(state.kind);
                let remaining = lists.remaining(state.drawn[position]);
                remaining.map(move |list| (position, *queue, list))
            })
            .filter_map(|(position, queue, list)| {
                let first = self.lists[list].startable(state.kind).first()?;
                Some((first, position, queue, list))
            })
            .min()?;
        let lists = self.queues[queue].runnable_mut(state.kind);
        lists.mark_drawn(list, state.drawn[position]);
        state.drawn[position] += 1;
        Some(list)
    }

    /// Returns the number of lists that pulls of a pool may draw.
    pub(crate) fn runnable_count(&self, pool: PoolIndex, kind: RunKind) -> u32 {
        let queues = self.pools[pool].queues.iter();
        let count: usize = queues
            .map(|queue: &QueueIndex| self.queues[*queue].drawable_count(kind))
            .sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
