//! Index of tasks by the labels that they require of a runner.
//!
//! A set trie (Savnik, "Index Data Structure for Fast Subset and Superset
//! Queries", 2013): a search with the labels of a runner follows only labels
//! that the runner has. Its cost does not depend on how many tasks require
//! labels that the runner lacks.

use crate::head::ShapeHead;
use crate::index::ShapeIndex;
use crate::needs_tree::NeedsTree;
use crate::shape::Shape;
use std::collections::{BTreeMap, HashMap, btree_map};
use types::{Labels, LicenceName, Resources};

/// Shapes by the labels that they require.
#[derive(Debug, Clone, Default)]
pub(crate) struct LabelIndex {
    /// Shapes that require no labels beyond those on the path to this node, by
    /// licence.
    groups: BTreeMap<Option<LicenceName>, NeedsTree<ShapeHead>>,
    /// Shapes that require more labels, by the name and the value of the next
    /// one. Never iterated, so that the order of the hash maps cannot affect a
    /// decision.
    children: HashMap<String, HashMap<String, LabelIndex>>,
}

impl LabelIndex {
    /// Sets the head of a shape.
    pub(crate) fn set(&mut self, shape: &Shape, head: ShapeHead) {
        let mut node = self;
        for (name, value) in &shape.labels {
            let by_value = node.children.entry(name.clone()).or_default();
            node = by_value.entry(value.clone()).or_default();
        }
        let group = node.groups.entry(shape.licence.clone()).or_default();
        group.set(shape.resources, head.shape, head);
    }

    /// Removes a shape. Idempotent.
    pub(crate) fn remove(&mut self, shape: &Shape, index: ShapeIndex) {
        self.remove_below(shape.labels.iter(), shape, index);
    }

    fn remove_below(
        &mut self,
        mut labels: btree_map::Iter<'_, String, String>,
        shape: &Shape,
        index: ShapeIndex,
    ) {
        let Some((name, value)) = labels.next() else {
            return self.remove_here(&shape.licence, &shape.resources, index);
        };
        let Some(by_value) = self.children.get_mut(name) else {
            return;
        };
        let Some(child) = by_value.get_mut(value) else {
            return;
        };
        child.remove_below(labels, shape, index);
        if child.is_empty() {
            by_value.remove(value);
            if by_value.is_empty() {
                self.children.remove(name);
            }
        }
    }

    fn remove_here(&mut self, licence: &Option<LicenceName>, needs: &Resources, index: ShapeIndex) {
        let Some(group) = self.groups.get_mut(licence) else {
            return;
        };
        group.remove(needs, index);
        if group.is_empty() {
            self.groups.remove(licence);
        }
    }

    fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.children.is_empty()
    }

    /// Calls `visit` with the heads of each group of shapes that a runner with
    /// these labels has all labels for.
    pub(crate) fn for_each_group<'a>(
        &'a self,
        labels: &Labels,
        visit: &mut impl FnMut(Option<&LicenceName>, &'a NeedsTree<ShapeHead>),
    ) {
        self.for_each_below(labels.iter(), visit);
    }

    fn for_each_below<'a>(
        &'a self,
        mut labels: btree_map::Iter<'_, String, String>,
        visit: &mut impl FnMut(Option<&LicenceName>, &'a NeedsTree<ShapeHead>),
    ) {
        for (licence, group) in &self.groups {
            visit(licence.as_ref(), group);
        }
        if self.children.is_empty() {
            return;
        }
        // The labels of a shape are in order, so that those below a child come
        // after the child's own.
        while let Some((name, value)) = labels.next() {
            let by_value = self.children.get(name);
            if let Some(child) = by_value.and_then(|by_value| by_value.get(value)) {
                child.for_each_below(labels.clone(), visit);
            }
        }
    }
}
