//! A prefix trie, compiled once from a list and never changed: from a text to the values of all its prefixes.
//!
//! Nodes stand in one list, children next to each other; a node's label is a part of one of the prefixes, so runs of
//! single children cost one node (a radix tree). A look-up takes no more steps than the text has bytes, however many
//! prefixes there are.

/// A node: what stands on the edge to it, its children and its values, as ranges of the lists.
#[derive(Clone, Debug, PartialEq)]
struct Node {
    label: (u32, u32),
    children: (u32, u32),
    values: (u32, u32),
}

/// The trie. `V` is usually a place in another list.
#[derive(Clone, Debug, PartialEq)]
pub struct Trie<V> {
    nodes: Vec<Node>,
    bytes: Vec<u8>,
    values: Vec<V>,
}

impl<V: Copy> Trie<V> {
    /// Compiles a list of prefixes. Those that stand more than once keep all their values, in the list's order.
    pub fn new<'a>(entries: impl IntoIterator<Item = (&'a str, V)>) -> Trie<V> {
        let mut entries: Vec<(&[u8], V)> = entries.into_iter().map(|(p, v)| (p.as_bytes(), v)).collect();
        entries.sort_by(|a, b| a.0.cmp(b.0)); // stable
        let mut trie = Trie { nodes: Vec::new(), bytes: Vec::new(), values: Vec::new() };
        trie.nodes.push(Node { label: (0, 0), children: (0, 0), values: (0, 0) });
        // Nodes that are still to get their values and children: (node, first entry, end, depth).
        let mut open = vec![(0usize, 0usize, entries.len(), 0usize)];
        while let Some((node, first, end, depth)) = open.pop() {
            let own = first + entries[first..end].iter().take_while(|(p, _)| p.len() == depth).count();
            let values = trie.values.len() as u32;
            trie.values.extend(entries[first..own].iter().map(|(_, v)| *v));
            let children = trie.nodes.len() as u32;
            let mut at = own;
            while at < end {
                let byte = entries[at].0[depth];
                let group = at + entries[at..end].partition_point(|(p, _)| p[depth] == byte);
                // The first and the last of a sorted group differ where any two of it do.
                let (low, high) = (entries[at].0, entries[group - 1].0);
                let shared = low[depth..].iter().zip(&high[depth..]).take_while(|(a, b)| a == b).count();
                let label = trie.bytes.len() as u32;
                trie.bytes.extend_from_slice(&low[depth..depth + shared]);
                open.push((trie.nodes.len(), at, group, depth + shared));
                let label = (label, trie.bytes.len() as u32);
                trie.nodes.push(Node { label, children: (0, 0), values: (0, 0) });
                at = group;
            }
            trie.nodes[node].values = (values, trie.values.len() as u32);
            trie.nodes[node].children = (children, trie.nodes.len() as u32);
        }
        trie
    }

    /// The values of all prefixes of a text, the shortest prefix first, as one slice a prefix.
    pub fn along<'a>(&'a self, text: &'a str) -> impl Iterator<Item = &'a [V]> {
        let mut next = Some((0usize, text.as_bytes()));
        std::iter::from_fn(move || {
            let (node, rest) = next.take()?;
            let node = &self.nodes[node];
            next = self.child(node, rest);
            Some(&self.values[node.values.0 as usize..node.values.1 as usize])
        })
        .filter(|values| !values.is_empty())
    }

    /// The child whose label the rest begins with, and what is left then.
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
