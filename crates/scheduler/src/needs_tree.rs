//! Index of tasks by the resources that they need.
//!
//! The tree answers "which is the first task in order whose needs fit in this
//! amount" without looking at the tasks that do not fit. It is a compressed
//! k-d trie (Bentley, "Multidimensional Binary Search Trees", 1975): the bits of
//! the four amounts are interleaved, the most significant first, and each
//! branch splits at one bit. Needs that are close to each other are therefore in
//! one subtree, and a subtree none of whose needs can fit is skipped as a
//! whole. The shape of the tree depends on its entries alone and not on the
//! order in which they came.

use crate::bounds::Bounds;
use crate::head::{Match, ShapeHead, TaskOrder};
use crate::index::ShapeIndex;
use std::fmt::Debug;
use types::{Monotonic, Resources};

/// What a tree stores for each shape.
pub(crate) trait Entry: Copy + Debug {
    /// What is known of all entries in a subtree.
    type Summary: Copy + Debug + PartialEq;

    /// Returns the summary of this entry, whose shape has these needs.
    fn summary(&self, needs: &Resources) -> Self::Summary;

    /// Returns the summary of both sets together.
    fn join(one: &Self::Summary, other: &Self::Summary) -> Self::Summary;
}

/// Entry of a tree that only answers which needs there are.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Needs;

impl Entry for Needs {
    type Summary = Bounds;

    fn summary(&self, needs: &Resources) -> Bounds {
        Bounds::of(*needs)
    }

    fn join(one: &Bounds, other: &Bounds) -> Bounds {
        one.with(*other)
    }
}

/// What is known of all heads in a subtree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeadSummary {
    pub(crate) bounds: Bounds,
    /// First head in order.
    pub(crate) first: TaskOrder,
    /// Start of the longest wait.
    pub(crate) waiting_since: Monotonic,
}

impl Entry for ShapeHead {
    type Summary = HeadSummary;

    fn summary(&self, needs: &Resources) -> HeadSummary {
        HeadSummary {
            bounds: Bounds::of(*needs),
            first: self.order,
            waiting_since: self.waiting_since,
        }
    }

    fn join(one: &HeadSummary, other: &HeadSummary) -> HeadSummary {
        HeadSummary {
            bounds: one.bounds.with(other.bounds),
            first: one.first.min(other.first),
            waiting_since: one.waiting_since.min(other.waiting_since),
        }
    }
}

/// Number of bits of the interleaved amounts.
const NEEDS_BITS: u32 = u128::BITS;
/// Number of bits of an amount of one kind of resource.
const AMOUNT_BITS: u32 = u32::BITS;

/// Position of a shape in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Key {
    /// Bits of the four amounts in turn, the most significant ones first.
    needs: u128,
    /// Distinguishes shapes with equal needs.
    shape: ShapeIndex,
}

impl Key {
    fn new(needs: &Resources, shape: ShapeIndex) -> Self {
        let amounts = [needs.slots, needs.cpu_milli, needs.memory_mib, needs.gpus];
        Self {
            needs: interleave(amounts),
            shape,
        }
    }

    /// Returns the position of the first bit that differs; `None` for equal keys.
    fn first_difference(&self, other: &Self) -> Option<u32> {
        let needs = self.needs ^ other.needs;
        if needs != 0 {
            return Some(needs.leading_zeros());
        }
        let shape = self.shape ^ other.shape;
        (shape != 0).then(|| NEEDS_BITS + shape.leading_zeros())
    }

    fn bit(&self, position: u32) -> bool {
        if position < NEEDS_BITS {
            self.needs >> (NEEDS_BITS - 1 - position) & 1 == 1
        } else {
            let position = position - NEEDS_BITS;
            self.shape >> (ShapeIndex::BITS - 1 - position) & 1 == 1
        }
    }
}

/// Interleaves the bits of four amounts (Morton order).
fn interleave(amounts: [u32; 4]) -> u128 {
    amounts
        .into_iter()
        .rev()
        .enumerate()
        .fold(0, |all, (offset, amount)| all | spread(amount) << offset)
}

/// Moves bit `n` of an amount to bit `4 * n`.
fn spread(amount: u32) -> u128 {
    let mut bits = u128::from(amount);
    let mut shift = 3 * AMOUNT_BITS / 2;
    let mut width = AMOUNT_BITS / 2;
    while width > 0 {
        bits = (bits | bits << shift) & group_mask(width);
        shift /= 2;
        width /= 2;
    }
    bits
}

/// Returns a mask of the lowest `width` bits of each group of `4 * width` bits.
const fn group_mask(width: u32) -> u128 {
    let group = (1_u128 << width) - 1;
    let mut mask = group;
    let mut filled = 4 * width;
    while filled < NEEDS_BITS {
        mask |= mask << filled;
        filled *= 2;
    }
    mask
}

/// Node of the tree.
#[derive(Debug, Clone)]
enum Node<E: Entry> {
    Leaf(Leaf<E>),
    Branch(Box<Branch<E>>),
}

/// Entry of one shape.
#[derive(Debug, Clone, Copy)]
struct Leaf<E> {
    key: Key,
    needs: Resources,
    entry: E,
}

/// Two subtrees whose keys are equal before the bit at `position` and differ
/// there.
#[derive(Debug, Clone)]
struct Branch<E: Entry> {
    position: u32,
    summary: E::Summary,
    /// Entries whose bit is 0, and those whose bit is 1.
    children: [Node<E>; 2],
}

impl<E: Entry> Branch<E> {
    /// Joins a node and an entry whose key differs from all keys of the node at
    /// `position`.
    fn new(position: u32, node: Node<E>, leaf: Leaf<E>) -> Self {
        let children = if leaf.key.bit(position) {
            [node, Node::Leaf(leaf)]
        } else {
            [Node::Leaf(leaf), node]
        };
        Self {
            position,
            summary: summary_of(&children),
            children,
        }
    }

    /// Recomputes the summary and returns whether it has changed.
    fn update_summary(&mut self) -> bool {
        let old = std::mem::replace(&mut self.summary, summary_of(&self.children));
        old != self.summary
    }

    /// Returns the position of the child that an entry belongs to.
    fn side_of(&self, key: &Key) -> usize {
        usize::from(key.bit(self.position))
    }
}

fn summary_of<E: Entry>([zero, one]: &[Node<E>; 2]) -> E::Summary {
    E::join(&zero.summary(), &one.summary())
}

impl<E: Entry> Node<E> {
    fn summary(&self) -> E::Summary {
        match self {
            Self::Leaf(leaf) => leaf.entry.summary(&leaf.needs),
            Self::Branch(branch) => branch.summary,
        }
    }

    /// Returns the key of the entry that is reached by the bits of `key`. No
    /// other entry below this node has more bits in common with it.
    fn nearest(&self, key: &Key) -> &Key {
        let mut node = self;
        loop {
            match node {
                Self::Leaf(leaf) => return &leaf.key,
                Self::Branch(branch) => node = &branch.children[branch.side_of(key)],
            }
        }
    }

    /// Replaces the entry that has the same key. Returns whether the summary has
    /// changed.
    fn replace(&mut self, leaf: Leaf<E>) -> bool {
        match self {
            Self::Leaf(old) => {
                *old = leaf;
                true
            }
            Self::Branch(branch) => {
                let side = branch.side_of(&leaf.key);
                branch.children[side].replace(leaf) && branch.update_summary()
            }
        }
    }

    /// Adds an entry whose first difference to its nearest one is at `position`.
    fn insert(&mut self, position: u32, leaf: Leaf<E>) {
        match self {
            Self::Branch(branch) if branch.position < position => {
                let side = branch.side_of(&leaf.key);
                branch.children[side].insert(position, leaf);
                branch.update_summary();
            }
            Self::Branch(_) | Self::Leaf(_) => {
                let old = std::mem::replace(self, Self::Leaf(leaf));
                *self = Self::Branch(Box::new(Branch::new(position, old, leaf)));
            }
        }
    }

    /// Removes an entry below this node. Returns the entry if it is this node
    /// itself, which the caller then has to remove.
    fn remove(&mut self, key: &Key) -> Option<Leaf<E>> {
        match self {
            Self::Leaf(leaf) => (leaf.key == *key).then_some(*leaf),
            Self::Branch(branch) => {
                let side = branch.side_of(key);
                if let Some(removed) = branch.children[side].remove(key) {
                    let sibling = &mut branch.children[1 - side];
                    *self = std::mem::replace(sibling, Self::Leaf(removed));
                } else {
                    branch.update_summary();
                }
                None
            }
        }
    }
}

/// Entries of shapes by what the shapes need.
#[derive(Debug, Clone)]
pub(crate) struct NeedsTree<E: Entry> {
    root: Option<Node<E>>,
}

impl<E: Entry> Default for NeedsTree<E> {
    fn default() -> Self {
        Self { root: None }
    }
}

impl<E: Entry> NeedsTree<E> {
    /// Returns whether the tree has no entry.
    pub(crate) fn is_empty(&self) -> bool {
        self.root.is_none()
    }

    /// Returns the summary of all entries; `None` when there are none.
    pub(crate) fn summary(&self) -> Option<E::Summary> {
        self.root.as_ref().map(Node::summary)
    }

    /// Sets the entry of a shape that needs these resources.
    pub(crate) fn set(&mut self, needs: Resources, shape: ShapeIndex, entry: E) {
        let key = Key::new(&needs, shape);
        let leaf = Leaf { key, needs, entry };
        let Some(root) = &mut self.root else {
            self.root = Some(Node::Leaf(leaf));
            return;
        };
        match root.nearest(&key).first_difference(&key) {
            Some(position) => root.insert(position, leaf),
            None => {
                root.replace(leaf);
            }
        }
    }

    /// Removes a shape that needs these resources. Idempotent.
    pub(crate) fn remove(&mut self, needs: &Resources, shape: ShapeIndex) {
        let key = Key::new(needs, shape);
        let root = self.root.as_mut();
        if root.and_then(|root| root.remove(&key)).is_some() {
            self.root = None;
        }
    }
}

impl NeedsTree<Needs> {
    /// Returns whether the needs of any shape fit in the amount.
    pub(crate) fn any_fits_in(&self, amount: &Resources) -> bool {
        let root = self.root.as_ref();
        root.is_some_and(|root| root.any_fits_in(amount))
    }
}

impl Node<Needs> {
    fn any_fits_in(&self, amount: &Resources) -> bool {
        let bounds = self.summary();
        if !bounds.min.fits_in(amount) {
            return false;
        }
        match self {
            Self::Leaf(_) => true,
            Self::Branch(branch) => {
                let mut children = branch.children.iter();
                bounds.max.fits_in(amount) || children.any(|child| child.any_fits_in(amount))
            }
        }
    }
}

impl NeedsTree<ShapeHead> {
    /// Searches for the first head in order that `accept` accepts and that comes
    /// before `best`, and stores it there.
    ///
    /// Subtrees for which `may_match` returns `false` are skipped: it must do so
    /// only if `accept` accepts none of their heads.
    pub(crate) fn find_first<T>(
        &self,
        may_match: &impl Fn(&HeadSummary) -> bool,
        accept: &mut impl FnMut(&ShapeHead) -> Option<T>,
        best: &mut Option<Match<T>>,
    ) {
        if let Some(root) = &self.root {
            root.find_first(may_match, accept, best);
        }
    }
}

impl Node<ShapeHead> {
    fn find_first<T>(
        &self,
        may_match: &impl Fn(&HeadSummary) -> bool,
        accept: &mut impl FnMut(&ShapeHead) -> Option<T>,
        best: &mut Option<Match<T>>,
    ) {
        let summary = self.summary();
        let is_later = best
            .as_ref()
            .is_some_and(|best| best.order <= summary.first);
        if is_later || !may_match(&summary) {
            return;
        }
        match self {
            Self::Leaf(leaf) => {
                if let Some(value) = accept(&leaf.entry) {
                    let order = leaf.entry.order;
                    *best = Some(Match { order, value });
                }
            }
            Self::Branch(branch) => {
                // The subtree with the earlier head comes first: a match there
                // most often makes the search of the other one unnecessary.
                let [zero, one] = &branch.children;
                let zero_first = zero.summary().first < one.summary().first;
                let (near, far) = if zero_first { (zero, one) } else { (one, zero) };
                near.find_first(may_match, accept, best);
                far.find_first(may_match, accept, best);
            }
        }
    }
}
