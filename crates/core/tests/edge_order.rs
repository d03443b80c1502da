//! The order in which schedulers fill engines.

use mimosapass_core::edge::order::{Position, Turn, positions};
use mimosapass_core::ids::ZoneId;
use rstest::rstest;

/// Returns the positions of `per_zone` engines in each of `zones` zones.
fn order(zones: usize, per_zone: usize, turn: Turn) -> Vec<Position> {
    let names: Vec<ZoneId> = (0..zones).map(|z| format!("z{z}").as_str().into()).collect();
    let all: Vec<&ZoneId> = (0..zones * per_zone).map(|i| &names[i % zones]).collect();
    positions(&all, "z0", turn)
}

#[test]
fn few_engines_have_one_order_for_all_schedulers() {
    let first = order(3, 6, Turn { index: 0, count: 3 });
    assert_eq!(first, order(3, 6, Turn { index: 2, count: 3 }));
    assert!(first.iter().all(|p| p.own));
    assert!(first.is_sorted_by(|a, b| a.in_block < b.in_block));
}

#[rstest]
#[case::block_of_a_zone(11, 3, 11)]
#[case::two_blocks_of_a_zone(30, 2, 15)]
#[case::a_block_for_each_scheduler(67, 3, 23)]
fn scheduler_fills_its_block_first(
    #[case] per_zone: usize,
    #[case] count: usize,
    #[case] block: usize,
) {
    let blocks = (0..count).map(|index| order(3, per_zone, Turn { index, count }));
    for positions in blocks {
        let own = positions.iter().filter(|p| p.own).count();
        assert!(own.abs_diff(block) <= 1, "{own} engines in its block");
    }
}

#[test]
fn position_in_a_block_is_the_same_for_all_schedulers() {
    let in_block = |index| {
        let positions = order(3, 67, Turn { index, count: 3 });
        positions.iter().map(|p| p.in_block).collect::<Vec<_>>()
    };
    assert_eq!(in_block(0), in_block(2));
    assert!(in_block(0).iter().all(|at| (0.0..1.0).contains(at)));
}
