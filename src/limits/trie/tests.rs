//! Tests of prefix look-up.

use proptest::prelude::*;

use super::*;

/// Reference implementation: a linear search of the list.
fn linear_search(entries: &[(String, usize)], text: &str) -> Vec<usize> {
    let mut matching: Vec<_> = entries.iter().filter(|(p, _)| text.starts_with(p.as_str())).collect();
    matching.sort_by_key(|(p, _)| p.len());
    matching.iter().map(|(_, v)| *v).collect()
}

#[test]
fn an_empty_trie_has_no_values() {
    assert_eq!(Trie::<u32>::new([]).prefix_values("385").count(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn it_finds_the_same_values_as_a_linear_search(
        prefixes in prop::collection::vec("[ab0é]{0,6}", 0..40),
        texts in prop::collection::vec("[ab0é]{0,8}", 1..10),
    ) {
        let entries: Vec<(String, usize)> = prefixes.into_iter().zip(0..).collect();
        let trie = Trie::new(entries.iter().map(|(p, v)| (p.as_str(), *v)));
        for text in &texts {
            let found: Vec<usize> = trie.prefix_values(text).flatten().copied().collect();
            prop_assert_eq!(found, linear_search(&entries, text));
        }
    }
}
