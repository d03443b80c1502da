//! What a gateway knows of configuration and targets, while the store fails.

use mimosapass_standin::metastore::Fault;
use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Grid, KEY, call, config, eventually, head, runner};

/// Returns the status of a call with a key.
fn status(grid: &Grid, number: usize, path: &str, key: &str) -> u16 {
    call(grid.callers(number), &head(path, "id-1", key, ""), b"question").reply.status
}

fn served(count: usize) -> (Grid, ScriptedTarget) {
    let grid = Grid::start(count);
    let runner = runner("i-0", Reply::Complete(200, "yes"));
    grid.register(&runner, "desk");
    for number in 0..count {
        grid.ready(number);
    }
    (grid, runner)
}

#[test]
fn gateway_without_configuration_refuses_and_is_not_ready() {
    let mut grid = Grid::start(0);
    let front = grid.store.open_endpoint();
    front.set_fault(Fault::Reject(503));
    grid.add(&front, &[]);
    eventually("it listens", || std::net::TcpStream::connect(grid.callers(0)).is_ok());
    assert_eq!(status(&grid, 0, "/book/1", KEY), 503, "not 404: it does not know yet");
}

#[test]
fn new_configuration_is_in_force_and_an_older_one_never_is() {
    let (grid, _runner) = served(1);
    grid.configure(&config(9, &["key-two"], &["book", "new"]));
    eventually("the new route is served", || status(&grid, 0, "/new/1", "key-two") == 200);
    assert_eq!(status(&grid, 0, "/book/1", KEY), 401, "the old key is gone");
    assert_eq!(status(&grid, 0, "/look/1", "key-two"), 404, "the old route is gone");
    grid.configure(&config(5, &[KEY], &["look", "book"]));
    grid.configure(&config(10, &["key-two"], &["book", "newer"]));
    eventually("the next one is served", || status(&grid, 0, "/newer/1", "key-two") == 200);
    assert_eq!(status(&grid, 0, "/book/1", KEY), 401);
}

#[test]
fn draining_target_gets_no_work() {
    let (grid, old) = served(1);
    let new = runner("i-1", Reply::Complete(200, "new"));
    grid.register(&new, "desk");
    grid.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    eventually("only the new one is asked", || {
        let before = old.requests().len();
        (0..6).all(|_| status(&grid, 0, "/look/1", KEY) == 200) && old.requests().len() == before
    });
    assert!(!new.requests().is_empty());
}

#[test]
fn target_that_started_again_under_its_id_is_used() {
    let (grid, old) = served(1);
    grid.store.set("servers/i-0", &old.registration("desk", "draining", 1, 9));
    eventually("it is left", || status(&grid, 0, "/look/1", KEY) == 503);
    grid.store.set("servers/i-0", &old.registration("desk", "ready", 2, 1));
    eventually("it is used", || status(&grid, 0, "/look/1", KEY) == 200);
}

#[test]
fn unreadable_entries_do_no_harm() {
    let (grid, _runner) = served(1);
    grid.store.set("servers/i-7", b"{\"service\": 7}");
    grid.store.set("servers/i-8", b"\xff\xfe");
    grid.store.set_unreadable("servers/i-9");
    grid.store.set("op/config", b"no configuration");
    grid.configure(&config(9, &[KEY], &["book", "new"]));
    eventually("what follows is taken", || status(&grid, 0, "/new/1", KEY) == 200);
}

#[test]
fn dropped_history_is_made_up_for() {
    let (grid, _runner) = served(1);
    grid.front.set_fault(Fault::Reject(503));
    grid.configure(&config(9, &[KEY], &["book", "new"]));
    grid.store.compact();
    grid.front.set_fault(Fault::None);
    eventually("the new route is served", || status(&grid, 0, "/new/1", KEY) == 200);
}

/// Days trouble-1 with seeds 191208220829 and 975522294861 of atlas-loc: an entry
/// removed was taken for one that lapsed, though the store had refused one instance only.
#[test]
fn target_removed_after_an_outage_gets_no_work() {
    let (mut grid, old) = served(1);
    let other = grid.store.open_endpoint();
    grid.add(&other, &[]);
    grid.ready(1);
    grid.logged(0, &["peer: heard."]);
    grid.front.set_fault(Fault::Reject(503));
    grid.logged(0, &["store: lost"]);
    grid.front.set_fault(Fault::None);
    grid.logged(0, &["store: regained", "whole=false"]);
    grid.store.delete("servers/i-0");
    let new = runner("i-1", Reply::Complete(200, "new"));
    grid.register(&new, "desk");
    grid.logged(0, &["target: takes work", "target_id=i-1"]);
    let before = old.requests().len();
    for _ in 0..6 {
        assert_eq!(status(&grid, 0, "/look/1", KEY), 200);
    }
    assert_eq!(old.requests().len(), before, "its removal came before the other one");
}

#[test]
fn views_outlive_the_store() {
    let (grid, _runner) = served(1);
    grid.front.set_fault(Fault::Hang);
    for _ in 0..5 {
        assert_eq!(status(&grid, 0, "/book/1", KEY), 200);
    }
}

/// The store serves the operator and one instance, and refuses the other.
#[test]
fn instance_that_the_store_refuses_learns_from_its_peer() {
    let mut grid = Grid::start(1);
    let runner = runner("i-0", Reply::Complete(200, "yes"));
    grid.register(&runner, "desk");
    let other = grid.store.open_endpoint();
    grid.add(&other, &[]);
    grid.ready(0).ready(1);
    eventually("both are members", || grid.store.keys("mimosapass/instances/").len() == 2);
    other.set_fault(Fault::Reject(429));
    grid.configure(&config(9, &[KEY], &["book", "new"]));
    eventually("the new route is served", || status(&grid, 1, "/new/1", KEY) == 200);
    let late = self::runner("i-1", Reply::Complete(200, "late"));
    grid.register(&late, "desk");
    grid.store.delete("servers/i-0");
    eventually("the new target is used", || {
        let before = late.requests().len();
        status(&grid, 1, "/book/1", KEY) == 200 && late.requests().len() > before
    });
}

/// An instance that starts while the store is away asks the seeds.
#[test]
fn instance_that_starts_without_the_store_learns_from_a_seed() {
    let (mut grid, _runner) = served(1);
    let away = grid.store.open_endpoint();
    away.set_fault(Fault::Reject(503));
    let seed = grid.peers(0);
    let number = grid.add(&away, &[seed]);
    grid.ready(number);
    assert_eq!(status(&grid, number, "/book/1", KEY), 200);
}

/// In a large zone some instances do not watch the store. They still learn of a
/// configuration and of a target that drains, and the store gets fewer calls.
#[test]
fn instances_that_do_not_watch_learn_from_those_that_do() {
    let (grid, old) = served(5);
    let new = runner("i-1", Reply::Complete(200, "new"));
    grid.register(&new, "desk");
    for number in [3, 4] {
        grid.logged(number, &["whether it is watched", "watches=false"]);
    }
    grid.configure(&config(9, &["key-two"], &["look", "new"]));
    grid.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    for number in 0..5 {
        eventually("the new route", || status(&grid, number, "/new/1", "key-two") == 200);
        eventually("only the new target is asked", || {
            let before = old.requests().len();
            let served = (0..4).all(|_| status(&grid, number, "/look/1", "key-two") == 200);
            served && old.requests().len() == before
        });
    }
    let log = grid.log(4);
    assert!(log.contains("mirror: targets are taken over"), "it was told by a peer");
}

/// The instances that watch are lost: another one takes their place.
#[test]
fn loss_of_all_that_watch_is_made_up_for() {
    let (grid, runner) = served(5);
    grid.logged(4, &["whether it is watched", "watches=false"]);
    for number in 0..3 {
        grid.signal(number, "-KILL");
    }
    grid.configure(&config(9, &["key-two"], &["new"]));
    for number in [3, 4] {
        eventually("the new route", || status(&grid, number, "/new/1", "key-two") == 200);
        grid.logged(number, &["whether it is watched", "watches=true"]);
    }
    assert!(!runner.requests().is_empty());
}
