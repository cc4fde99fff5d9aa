//! Table of named entries that the view refers to by index.
//!
//! Entries are never removed, so an index is valid for as long as the table
//! exists.

use indexmap::{Equivalent, IndexMap};
use std::hash::Hash;
use std::ops::{Index, IndexMut};

/// Entries in the order in which their names were first used.
#[derive(Debug, Clone)]
pub(crate) struct Table<K, V> {
    entries: IndexMap<K, V>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
        }
    }
}

impl<K: Hash + Eq + Clone, V: Default> Table<K, V> {
    /// Returns the index of an entry, inserting a default one if the name is new.
    pub(crate) fn get_or_insert(&mut self, name: &K) -> usize {
        if let Some(index) = self.find(name) {
            return index;
        }
        self.entries.insert_full(name.clone(), V::default()).0
    }

    /// Returns the index of an entry; `None` when no entry has the name.
    pub(crate) fn find<Q: Hash + Equivalent<K> + ?Sized>(&self, name: &Q) -> Option<usize> {
        self.entries.get_index_of(name)
    }

    /// Returns the name of an entry; `None` when the index is out of range.
    pub(crate) fn name(&self, index: usize) -> Option<&K> {
        self.entries.get_index(index).map(|(name, _)| name)
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entries with their names, in order of index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter()
    }
}

impl<K, V> Index<usize> for Table<K, V> {
    type Output = V;
    fn index(&self, index: usize) -> &V {
        &self.entries[index]
    }
}

impl<K, V> IndexMut<usize> for Table<K, V> {
    fn index_mut(&mut self, index: usize) -> &mut V {
        &mut self.entries[index]
    }
}
