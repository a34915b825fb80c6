//! What a view has to show before it counts as fresh.

use serde_json::json;
use sorrelhinge::state::view::View;
use sorrelhinge::types::Revision;

/// Two reads at once: one asks for what came after revision 9, then the other
/// replaces the view by what was read at revision 5. The first answer lacks the
/// changes from 6 to 9, perhaps a cancellation: it does not make the view fresh, and
/// nothing of it is taken in.
#[test]
fn an_answer_that_leaves_a_gap_shows_nothing() {
    let answer = |store_revision: u64| {
        let events = json!({"ledger": store_revision, "events": []});
        serde_json::from_value(events).expect("events")
    };
    let mut view = View::default();
    view.replace(Revision(5), Vec::new());
    assert!(!view.apply(Revision(9), answer(10)), "6 to 9 are missing");
    assert_eq!(view.store_revision, Revision(5));
    assert!(view.apply(Revision(5), answer(10)));
    assert_eq!(view.store_revision, Revision(10));
    assert!(view.apply(Revision(4), answer(7)), "older, and all known");
    assert_eq!(view.store_revision, Revision(10));
}
