//! The journal on disk, cut and changed anywhere.

use sorrelhinge_agent::core::{Key, Note};
use sorrelhinge_agent::journal::{read, Entries, Journal, State};
use sorrelhinge_protocol::types::{Attempt, FencingToken, Incarnation};
use sorrelhinge_protocol::worker::ExitReason;

fn notes() -> Vec<Note> {
    let key = |n: u64| Key {
        task_name: format!("run-1/{n}"),
        attempt: Attempt(n),
    };
    vec![
        Note::FencingToken(FencingToken(7)),
        Note::Took(key(1), vec![("enc".into(), "a".into())]),
        Note::Took(key(2), Vec::new()),
        Note::Ended(key(1), ExitReason::Done, false),
        Note::Forgot(key(1)),
        Note::Incarnation(Incarnation(3)),
        Note::Took(key(3), Vec::new()),
        Note::Forgot(key(2)),
        Note::FencingToken(FencingToken(5)),
    ]
}

/// Cut at any byte, it reads as what was whole before the cut, and goes on
/// from there.
#[test]
fn a_journal_cut_anywhere_is_what_was_whole() {
    let folder = std::env::temp_dir().join(format!("journal-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("journal");
    let _ = std::fs::remove_file(&path);
    let mut journal = Journal::open(&folder).expect("new");
    let mut states = vec![journal.state().clone()];
    let mut lengths = vec![8];
    for note in notes() {
        journal.note(std::slice::from_ref(&note)).expect("noted");
        states.push(journal.state().clone());
        lengths.push(std::fs::metadata(&path).expect("there").len() as usize);
    }
    assert_eq!(
        journal.state().fencing_token,
        FencingToken(7),
        "a token never goes back"
    );
    let mut anew = State::default();
    journal.state().notes().iter().for_each(|n| anew.apply(n));
    assert_eq!(&anew, journal.state(), "written anew it is the same");
    let whole = std::fs::read(&path).expect("readable");
    for cut in 8..=whole.len() {
        let at = lengths.iter().filter(|l| **l <= cut).count() - 1;
        std::fs::write(&path, &whole[..cut]).expect("written");
        let mut journal = Journal::open(&folder).expect("readable");
        assert_eq!(journal.state(), &states[at], "cut at {cut}");
        journal.note(&[Note::Tick(9)]).expect("noted");
        let again = Journal::open(&folder).expect("readable");
        assert_eq!(again.state().sequence, 9);
    }
    // A changed bit ends it there, and a later version is refused whole.
    let mut changed = whole.clone();
    changed[lengths[2] + 9] ^= 1;
    let Entries { state, count, .. } = read(&changed).expect("a journal");
    assert_eq!((&state, count), (&states[2], 2));
    changed[4] = 2;
    assert!(read(&changed)
        .expect_err("refused")
        .to_string()
        .contains("version 2"));
    std::fs::remove_dir_all(&folder).expect("removed");
}
