//! The cache of images and the unpacking of one.

use sha2::{Digest, Sha256};
use sorrelhinge_agent::core::Key;
use sorrelhinge_agent::images::{there, unpack, Cache, CachedImage, Image, Step};
use sorrelhinge_protocol::types::Attempt;

fn key(n: u64) -> Key {
    Key {
        task_name: format!("run-1/{n}"),
        attempt: Attempt(1),
    }
}

fn cached(sha256: &str, bytes: u64) -> CachedImage {
    CachedImage {
        sha256: sha256.to_owned(),
        bytes,
    }
}

#[test]
fn an_image_is_fetched_once_and_given_up_when_nobody_waits() {
    let mut cache = Cache::new(100, [cached("old", 60)]);
    assert_eq!(cache.want("old", &key(9)), Step::Ready);
    assert_eq!(cache.want("a", &key(1)), Step::Fetch);
    assert_eq!(cache.want("a", &key(2)), Step::Wait);
    assert_eq!(cache.release(&key(1)), None);
    assert_eq!(cache.release(&key(2)), Some("a".to_owned()));
    assert_eq!(cache.want("a", &key(3)), Step::Fetch);
    assert_eq!(cache.fetched("a", Some(50)), [key(3)]);
    // Both are in use: the bound waits.
    assert_eq!(cache.evict(), [] as [&str; 0]);
    assert_eq!(cache.release(&key(9)), None);
    assert_eq!(cache.evict(), ["old"]);
    assert_eq!(cache.want("b", &key(4)), Step::Fetch);
    assert_eq!(cache.fetched("b", None), [key(4)]);
    assert_eq!(
        cache.want("b", &key(5)),
        Step::Fetch,
        "a failed one is tried again"
    );
}

/// Without room made first, an image on its way and all that is kept would
/// fill the disk together; and a part that somebody waits for again must
/// not be taken for one that nobody does.
#[test]
fn free_capacity_is_made_before_an_image_comes_parts_first() {
    let mut cache = Cache::new(100, [cached("old", 40)]);
    cache.leave("part", 30);
    cache.leave("wanted", 30);
    assert_eq!(cache.evict(), [] as [&str; 0]);
    assert_eq!(cache.want("wanted", &key(1)), Step::Fetch);
    assert_eq!(cache.want("new", &key(2)), Step::Fetch);
    cache.comes("new", 30);
    assert_eq!(cache.evict(), ["part"], "its room is enough");
    cache.comes("new", 60);
    assert_eq!(cache.evict(), ["old"]);
    cache.comes("new", 90);
    assert_eq!(cache.evict(), [] as [&str; 0], "the rest is waited for");
    assert_eq!(cache.release(&key(1)), Some("wanted".to_owned()));
    cache.leave("wanted", 30);
    assert_eq!(cache.evict(), ["wanted"]);
}

/// An archive of one small file, and the image that it is.
fn archive() -> (Vec<u8>, Image) {
    let mut tar = tar::Builder::new(Vec::new());
    let mut header = tar::Header::new_gnu();
    header.set_size(5);
    header.set_mode(0o644);
    header.set_cksum();
    tar.append_data(&mut header, "level/tile", &b"hello"[..])
        .expect("added");
    let bytes = tar.into_inner().expect("an archive");
    let sum: String = Sha256::digest(&bytes)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    let image = Image {
        name: "img".into(),
        sha256: sum,
        sums_sha256: None,
    };
    (bytes, image)
}

#[test]
fn only_a_whole_and_right_image_is_there() {
    let root = std::env::temp_dir().join(format!("images-{}", std::process::id()));
    let (bytes, image) = archive();
    let sum = image.sha256.clone();
    assert!(there(&root).expect("empty").is_empty());
    for cut in [0, 100, 600, bytes.len() - 1] {
        assert!(
            unpack(&bytes[..cut], &image, &root, 1 << 20).is_err(),
            "cut at {cut}"
        );
    }
    let mut wrong = bytes.clone();
    wrong[513] ^= 1;
    assert!(unpack(&wrong[..], &image, &root, 1 << 20).is_err());
    assert!(unpack(&bytes[..], &image, &root, 100).is_err(), "too large");
    assert!(
        there(&root).expect("empty").is_empty(),
        "nothing is left of them"
    );
    let length = unpack(&bytes[..], &image, &root, 1 << 20).expect("whole");
    assert_eq!(length, bytes.len() as u64);
    let tile = std::fs::read(root.join(&sum).join("level/tile")).expect("unpacked");
    assert_eq!(tile, b"hello");
    // Half done when the machine stopped: removed.
    std::fs::create_dir_all(root.join(".x.new")).expect("made");
    std::fs::write(root.join(".x.tar"), "half").expect("written");
    assert_eq!(there(&root).expect("read"), [cached(&sum, length)]);
    assert!(!root.join(".x.new").exists() && !root.join(".x.tar").exists());
    std::fs::remove_dir_all(&root).expect("removed");
}
