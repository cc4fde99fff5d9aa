//! The virtual network: who reaches whom, when, and how often.

use crate::ids::{MachineIndex, Micros};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Delay within a zone.
const NEAR_MICROS: (Micros, Micros) = (150, 400);
/// Delay between zones, about 1 ms.
const FAR_MICROS: (Micros, Micros) = (900, 1_400);

/// Loss, doubling and delay of the whole network.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkConditions {
    /// Messages lost in a thousand.
    pub loss_per_thousand: u32,
    /// Messages doubled in a thousand.
    pub double_per_thousand: u32,
    /// Extra delay, up to this many milliseconds.
    pub delay_ms: u64,
}

/// Links of one machine that lose packets, as connections show it: a message whose
/// packet is lost comes later, and what follows on the same link waits for it.
#[derive(Debug, Clone, Copy)]
pub struct LossyLinks {
    /// Messages in a thousand whose packet is lost.
    pub lost_per_thousand: u32,
    /// Time until a lost packet comes again.
    pub wait_ms: u64,
    /// When the links are whole again.
    pub until: Micros,
}

/// Cuts and weather.
#[derive(Debug, Default)]
pub struct Network {
    lossy: BTreeMap<MachineIndex, LossyLinks>,
    /// When what waits on a lossy link has come through.
    free_at: BTreeMap<(MachineIndex, MachineIndex), Micros>,
    cuts: BTreeMap<(MachineIndex, MachineIndex), Micros>,
    conditions: NetworkConditions,
    conditions_until: Micros,
}

impl Network {
    /// Cuts one direction until `until`; a longer cut stays.
    pub fn partition(&mut self, from: MachineIndex, to: MachineIndex, until: Micros) {
        let end = self.cuts.entry((from, to)).or_default();
        *end = (*end).max(until);
    }

    /// Sets the weather until `until`.
    pub fn set_conditions(&mut self, conditions: NetworkConditions, until: Micros) {
        self.conditions = conditions;
        self.conditions_until = until;
    }

    /// Has the links of a machine lose packets.
    pub fn set_lossy(&mut self, machine: MachineIndex, links: LossyLinks) {
        self.lossy.insert(machine, links);
    }

    /// Ends all cuts and bad weather.
    pub fn heal(&mut self) {
        self.lossy.clear();
        self.cuts.clear();
        self.conditions_until = 0;
    }

    /// Returns whether nothing gets through in this direction now.
    pub fn is_partitioned(&self, from: MachineIndex, to: MachineIndex, now: Micros) -> bool {
        self.cuts.get(&(from, to)).is_some_and(|until| now < *until)
    }

    /// Delays of the copies of one message that arrive; empty when it is lost.
    pub fn deliveries(
        &mut self,
        random: &mut ChaCha8Rng,
        now: Micros,
        from: MachineIndex,
        to: MachineIndex,
        same_zone: bool,
    ) -> Vec<Micros> {
        if self.is_partitioned(from, to, now) {
            return Vec::new();
        }
        let conditions = self.conditions_at(now);
        if per_thousand(random, conditions.loss_per_thousand) {
            return Vec::new();
        }
        let copies = if per_thousand(random, conditions.double_per_thousand) {
            2
        } else {
            1
        };
        let delays: Vec<Micros> = (0..copies)
            .map(|_| delay(random, same_zone, conditions.delay_ms))
            .collect();
        match self.lossy_link(from, to, now) {
            None => delays,
            Some(links) => delays
                .into_iter()
                .map(|delay| self.over_lossy_link(random, (from, to), now, delay, links))
                .collect(),
        }
    }

    fn lossy_link(&self, from: MachineIndex, to: MachineIndex, now: Micros) -> Option<LossyLinks> {
        let ends = [from, to].into_iter();
        ends.filter_map(|machine| self.lossy.get(&machine))
            .find(|links| now < links.until)
            .copied()
    }

    /// The delay of a message that would take `delay` over a whole link.
    fn over_lossy_link(
        &mut self,
        random: &mut ChaCha8Rng,
        link: (MachineIndex, MachineIndex),
        now: Micros,
        delay: Micros,
        links: LossyLinks,
    ) -> Micros {
        let lost = per_thousand(random, links.lost_per_thousand);
        let free_at = self.free_at.entry(link).or_default();
        let waits = *free_at > now;
        // What is lost while others wait comes again with them.
        if lost && !waits {
            *free_at = now + delay + links.wait_ms * 1_000;
        }
        (now + delay).max(*free_at) - now
    }

    fn conditions_at(&self, now: Micros) -> NetworkConditions {
        if now < self.conditions_until {
            self.conditions
        } else {
            NetworkConditions::default()
        }
    }
}

/// True in `chance` of a thousand draws. Draws nothing when it cannot happen.
pub fn per_thousand(random: &mut ChaCha8Rng, chance: u32) -> bool {
    chance > 0 && random.random_range(0..1_000) < chance
}

fn delay(random: &mut ChaCha8Rng, same_zone: bool, extra_ms: u64) -> Micros {
    let (low, high) = if same_zone { NEAR_MICROS } else { FAR_MICROS };
    let base = random.random_range(low..=high);
    let extra = if extra_ms > 0 {
        random.random_range(0..=extra_ms * 1_000)
    } else {
        0
    };
    base + extra
}
