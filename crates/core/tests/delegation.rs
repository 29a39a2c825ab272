//! Assignment of rank groups to control instances.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crocustally_core::experts::Delegation;
use crocustally_core::experts::GroupKey;

fn instance(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7340))
}

fn group(n: usize) -> GroupKey {
    ("s".to_owned(), format!("g{n}"))
}

/// The work of a group costs the same at 1, 3 and 12 groups: no instance gets more than its part, and
/// the leader, which also serves the log, gets none.
#[test]
fn groups_are_spread_over_the_instances_that_respond() {
    let live: Vec<SocketAddr> = (1..5).map(instance).collect();
    for groups in [1, 3, 12] {
        let mut delegation = Delegation::default();
        let mut per_instance: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for n in 0..groups {
            let (to, _) = delegation.assign(1, &group(n), 64, instance(0), &live).unwrap();
            *per_instance.entry(to).or_default() += 1;
        }
        assert!(!per_instance.contains_key(&instance(0)), "the leader coordinates");
        let most = per_instance.values().max().unwrap();
        assert_eq!(*most, groups.div_ceil(live.len()), "{groups} groups: {per_instance:?}");
    }
}

#[test]
fn leader_coordinates_a_small_deployment_and_every_group_when_alone() {
    let live: Vec<SocketAddr> = (1..3).map(instance).collect();
    let mut delegation = Delegation::default();
    let small = delegation.assign(1, &group(0), 12, instance(0), &live).unwrap();
    assert_eq!(small.0, instance(0));
    let alone = delegation.assign(1, &group(1), 256, instance(0), &[]).unwrap();
    assert_eq!(alone.0, instance(0));
}

#[test]
fn group_stays_with_its_instance_until_that_stops_responding() {
    let mut live: Vec<SocketAddr> = (1..5).map(instance).collect();
    let mut delegation = Delegation::default();
    let (first, _) = delegation.assign(1, &group(0), 64, instance(0), &live).unwrap();
    for _ in 0..10 {
        let again = delegation.assign(1, &group(0), 64, instance(0), &live).unwrap();
        assert_eq!(again.0, first);
    }
    live.retain(|i| *i != first);
    let (next, _) = delegation.assign(1, &group(0), 64, instance(0), &live).unwrap();
    assert!(live.contains(&next));
}

/// An instance that has lost a group's state may get the group back, in the same term.
#[test]
fn no_two_answers_name_the_same_block_of_versions() {
    let live: Vec<SocketAddr> = (1..3).map(instance).collect();
    let mut delegation = Delegation::default();
    let mut blocks = BTreeSet::new();
    for term in [3, 4] {
        for n in 0..500 {
            let (_, block) =
                delegation.assign(term, &group(n % 7), 64, instance(0), &live).unwrap();
            assert_eq!(block.term, term);
            assert!(blocks.insert((block.term, block.number)), "{block:?} was named twice");
        }
    }
}
