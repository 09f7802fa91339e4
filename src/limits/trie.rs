//! An immutable radix tree that maps a text to the values of all its prefixes.
//!
//! All nodes are in one list, the children of a node next to each other. The label of a node is a run of bytes, so a chain
//! of single children takes one node. A look-up takes at most as many steps as the text has bytes, regardless of the
//! number of prefixes.

/// A node: the label of the edge that leads to it, its children and its values, as ranges in the lists of `Trie`.
#[derive(Clone, Debug, PartialEq)]
struct Node {
    label: (u32, u32),
    children: (u32, u32),
    values: (u32, u32),
}

/// The radix tree. `V` is usually an index into another list.
#[derive(Clone, Debug, PartialEq)]
pub struct Trie<V> {
    nodes: Vec<Node>,
    bytes: Vec<u8>,
    values: Vec<V>,
}

impl<V: Copy> Trie<V> {
    /// Builds the tree. A prefix that occurs more than once keeps all its values, in the order of `entries`.
    pub fn new<'a>(entries: impl IntoIterator<Item = (&'a str, V)>) -> Trie<V> {
        let mut entries: Vec<(&[u8], V)> = entries.into_iter().map(|(p, v)| (p.as_bytes(), v)).collect();
        entries.sort_by(|a, b| a.0.cmp(b.0)); // stable: keeps the order of values of equal prefixes
        let mut trie = Trie { nodes: Vec::new(), bytes: Vec::new(), values: Vec::new() };
        trie.nodes.push(Node { label: (0, 0), children: (0, 0), values: (0, 0) });
        // Nodes without values and children yet: (node, first entry, end of its entries, depth).
        let mut pending = vec![(0usize, 0usize, entries.len(), 0usize)];
        while let Some((node, first, end, depth)) = pending.pop() {
            let own = first + entries[first..end].iter().take_while(|(p, _)| p.len() == depth).count();
            let values = trie.values.len() as u32;
            trie.values.extend(entries[first..own].iter().map(|(_, v)| *v));
            let children = trie.nodes.len() as u32;
            let mut at = own;
            while at < end {
                let byte = entries[at].0[depth];
                let group = at + entries[at..end].partition_point(|(p, _)| p[depth] == byte);
                // In a sorted group, the common prefix of the first and the last entry is common to all entries.
                let (low, high) = (entries[at].0, entries[group - 1].0);
                let shared = low[depth..].iter().zip(&high[depth..]).take_while(|(a, b)| a == b).count();
                let label = trie.bytes.len() as u32;
                trie.bytes.extend_from_slice(&low[depth..depth + shared]);
                pending.push((trie.nodes.len(), at, group, depth + shared));
                let label = (label, trie.bytes.len() as u32);
                trie.nodes.push(Node { label, children: (0, 0), values: (0, 0) });
                at = group;
            }
            trie.nodes[node].values = (values, trie.values.len() as u32);
            trie.nodes[node].children = (children, trie.nodes.len() as u32);
        }
        trie
    }

    /// The values of all prefixes of a text, one slice per prefix, the shortest prefix first.
    pub fn prefix_values<'a>(&'a self, text: &'a str) -> impl Iterator<Item = &'a [V]> {
        let mut next = Some((0usize, text.as_bytes()));
        std::iter::from_fn(move || {
            let (node, rest) = next.take()?;
            let node = &self.nodes[node];
            next = self.child(node, rest);
            Some(&self.values[node.values.0 as usize..node.values.1 as usize])
        })
        .filter(|values| !values.is_empty())
    }

    /// The child whose label `rest` starts with, and the bytes after that label.
    fn child<'a>(&self, node: &Node, rest: &'a [u8]) -> Option<(usize, &'a [u8])> {
        let first = *rest.first()?;
        let children = &self.nodes[node.children.0 as usize..node.children.1 as usize];
        let at = children.binary_search_by_key(&first, |c| self.bytes[c.label.0 as usize]).ok()?;
        let label = &self.bytes[children[at].label.0 as usize..children[at].label.1 as usize];
        Some((node.children.0 as usize + at, rest.strip_prefix(label)?))
    }
}

#[cfg(test)]
mod tests;
