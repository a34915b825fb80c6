//! The sums of an image's chunks, and files of them that are refused.

use sorrelhinge_agent::sums::{sha256, Sums};

#[test]
fn sums_that_do_not_go_together_are_refused() {
    let bytes: Vec<u8> = (0..10_000_u32).map(|n| n as u8).collect();
    let sums = Sums::of(&bytes[..], 4096).expect("sums");
    assert_eq!(Sums::read(sums.text().as_bytes()), Ok(sums.clone()));
    assert_eq!((sums.chunks(), sums.span(2)), (3, 8192..10_000));
    assert_eq!(sums.within(4095, 4097), 0..2);
    assert_eq!(sums.within(4096, 8192), 1..2);
    assert_eq!(sums.sha256, sha256(&bytes));
    assert!(sums.right(2, &bytes[8192..]) && !sums.right(1, &bytes[8192..]));
    assert!(!sums.right(3, b""), "behind the end there is nothing");
    for (from, to) in [
        ("\"bytes\":10000", "\"bytes\":13000"),
        ("\"bytes\":10000", "\"bytes\":0"),
        ("\"chunk\":4096", "\"chunk\":0"),
        ("\"chunk\":4096", "\"chunk\":1000000000000"),
        ("\"version\":1", "\"version\":2"),
    ] {
        let wrong = sums.text().replace(from, to);
        assert_ne!(wrong, sums.text());
        assert!(Sums::read(wrong.as_bytes()).is_err(), "{to}");
    }
    assert!(Sums::of(&b""[..], 4096).is_err(), "an empty archive");
}
