//! The sums of an image's chunks, and files of them that are refused.

use sorrelhinge_agent::checksums::{sha256, Checksums};

#[test]
fn checksums_that_do_not_go_together_are_refused() {
    let bytes: Vec<u8> = (0..10_000_u32).map(|n| n as u8).collect();
    let checksums = Checksums::of(&bytes[..], 4096).expect("sums");
    let read = Checksums::read(checksums.text().as_bytes());
    assert_eq!(read.expect("the text is valid"), checksums);
    assert_eq!((checksums.chunks(), checksums.span(2)), (3, 8192..10_000));
    assert_eq!(checksums.within(4095, 4097), 0..2);
    assert_eq!(checksums.within(4096, 8192), 1..2);
    assert_eq!(checksums.sha256, sha256(&bytes));
    assert!(checksums.right(2, &bytes[8192..]) && !checksums.right(1, &bytes[8192..]));
    assert!(!checksums.right(3, b""), "behind the end there is nothing");
    for (from, to) in [
        ("\"bytes\":10000", "\"bytes\":13000"),
        ("\"bytes\":10000", "\"bytes\":0"),
        ("\"chunk\":4096", "\"chunk\":0"),
        ("\"chunk\":4096", "\"chunk\":1000000000000"),
        ("\"version\":1", "\"version\":2"),
    ] {
        let wrong = checksums.text().replace(from, to);
        assert_ne!(wrong, checksums.text());
        assert!(Checksums::read(wrong.as_bytes()).is_err(), "{to}");
    }
    assert!(Checksums::of(&b""[..], 4096).is_err(), "an empty archive");
}
