//! The longest prefix wins.

use proptest::prelude::*;

use super::*;

/// The plain list that the trie stands for.
fn plain(entries: &[(String, usize)], text: &str) -> Vec<usize> {
    let mut fits: Vec<_> = entries.iter().filter(|(p, _)| text.starts_with(p.as_str())).collect();
    fits.sort_by_key(|(p, _)| p.len());
    fits.iter().map(|(_, v)| *v).collect()
}

#[test]
fn an_empty_trie_knows_nothing() {
    assert_eq!(Trie::<u32>::new([]).along("385").count(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn it_finds_what_the_plain_list_finds(
        prefixes in prop::collection::vec("[ab0é]{0,6}", 0..40),
        texts in prop::collection::vec("[ab0é]{0,8}", 1..10),
    ) {
        let entries: Vec<(String, usize)> = prefixes.into_iter().zip(0..).collect();
        let trie = Trie::new(entries.iter().map(|(p, v)| (p.as_str(), *v)));
        for text in &texts {
            let found: Vec<usize> = trie.along(text).flatten().copied().collect();
            prop_assert_eq!(found, plain(&entries, text));
        }
    }
}
