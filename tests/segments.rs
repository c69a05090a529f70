//! Segments of a configuration's content: they rejoin to the content, and a small change alters few of them.

use bytes::Bytes;
use marjoramdyke::config::{Segments, digest_of, parse_list};
use proptest::prelude::*;

/// Largest share of a large content that nodes may have to fetch after a change of a few bytes: a tenth of 1 MB takes
/// 0.1 s over a link of 10 Mbit/s, of the 2 s in which a change has to be in force.
const MAX_FETCHED_SHARE: f64 = 0.1;

/// Returns a content of `routes` similar routes.
fn content(routes: u32) -> String {
    let route = |i: u32| {
        let number = digest_of(&i.to_be_bytes());
        format!(
            r#"{{"entry_type":"routes","metadata":{{"name":"r-{i}"}},"spec":{{"prefix":"/{number}/"}}}},"#
        )
    };
    (0..routes).map(route).collect()
}

fn split(content: &str) -> Segments {
    Segments::split(Bytes::copy_from_slice(content.as_bytes()))
}

fn list(segments: &Segments) -> Vec<marjoramdyke::config::Digest> {
    parse_list(&segments.chunks[&segments.digest]).expect("the list is malformed")
}

/// Returns the bytes that a node that holds `before` has to fetch for `after`, which include the list.
fn fetched_bytes(before: &Segments, after: &Segments) -> usize {
    let new = after
        .chunks
        .iter()
        .filter(|(d, _)| !before.chunks.contains_key(*d));
    new.map(|(_, chunk)| chunk.len()).sum()
}

proptest! {
    #[test]
    fn segments_rejoin_to_content(bytes in prop::collection::vec(any::<u8>(), 0..200_000)) {
        let content = Bytes::from(bytes);
        let segments = Segments::split(content.clone());
        let joined = Segments::join(&list(&segments), |d| segments.chunks.get(d).cloned())
            .expect("a segment is missing");
        prop_assert_eq!(&joined.content, &content);
        prop_assert_eq!(joined.digest, segments.digest);
        prop_assert_eq!(joined.chunks, segments.chunks);
    }

    #[test]
    fn small_change_of_large_configuration_alters_few_segments(
        at in 0.0..1.0_f64,
        inserted in "[a-z]{0,200}",
        removed in 0..200_usize,
    ) {
        let before = content(4_400);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
        let at = (before.len() as f64 * at) as usize;
        let end = (at + removed).min(before.len());
        let after = format!("{}{inserted}{}", &before[..at], &before[end..]);
        let fetched = fetched_bytes(&split(&before), &split(&after));
        #[expect(clippy::cast_precision_loss)]
        let share = fetched as f64 / after.len() as f64;
        prop_assert!(share <= MAX_FETCHED_SHARE, "{fetched} of {} bytes", after.len());
    }
}

#[test]
fn list_of_wrong_length_is_rejected() {
    assert!(parse_list(&[0; 33]).is_none());
    assert_eq!(parse_list(&[]).map(|l| l.len()), Some(0));
}

#[test]
fn missing_segment_is_detected() {
    let segments = split(&content(100));
    let list = list(&segments);
    let missing = list[list.len() / 2];
    let find = |d: &_| segments.chunks.get(d).filter(|_| *d != missing).cloned();
    assert!(Segments::join(&list, find).is_none());
}
