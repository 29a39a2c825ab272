//! Shifts of expert popularity: how even few copies make a group again.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use crocustally_core::experts::Choices;
use crocustally_core::experts::CounterReader;
use crocustally_core::experts::Counters;
use crocustally_core::experts::Demand;
use crocustally_core::experts::LayerMap;
use crocustally_core::experts::MovePlanner;
use crocustally_core::experts::MoveSettings;
use crocustally_core::experts::RankId;
use crocustally_core::traffic::EngineSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 12;
const EXPERTS: usize = 96;
const SETS: usize = 3;

fn planner(new_per_rank: usize) -> MovePlanner {
    MovePlanner { cfg: MoveSettings { places: 11, new_per_set: 4, new_per_rank, gain_min: 0.02 } }
}

/// Popularity by rank in a random order.
fn shares(rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=EXPERTS).map(|k| (k as f64).powf(-0.9)).collect();
    for i in 0..EXPERTS {
        weights.swap(i, rng.random_range(i..EXPERTS));
    }
    let total: f64 = weights.iter().sum();
    weights.iter().map(|w| w / total).collect()
}

/// Half of what is liked changes.
fn shift(rng: &mut ChaCha8Rng, shares: &mut [f64]) {
    for _ in 0..EXPERTS / 4 {
        shares.swap(rng.random_range(0..EXPERTS), rng.random_range(0..EXPERTS));
    }
}

fn start() -> Vec<LayerMap> {
    vec![LayerMap::in_turn(RANKS, EXPERTS, EXPERTS / RANKS); SETS]
}

#[test]
fn a_shift_is_evened_out_by_three_plans_of_one_copy_a_rank() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut demand: Vec<Vec<f64>> = (0..SETS).map(|_| shares(&mut rng)).collect();
        let mut maps = start();
        for _ in 0..6 {
            if let Some(plan) = planner(1).plan(&maps, &demand) {
                maps = plan.sets;
            }
        }
        demand.iter_mut().for_each(|s| shift(&mut rng, s));
        let before = MovePlanner::skew(&maps, &demand);
        for _ in 0..3 {
            if let Some(plan) = planner(1).plan(&maps, &demand) {
                maps = plan.sets;
            }
        }
        let after = MovePlanner::skew(&maps, &demand);
        assert!(after < 1.2, "seed {seed}: skew {before:.2} to {after:.2}");
    }
}

/// A shift in a group of many sets whose experts are small: what counts is the time of the copies,
/// not their number.
#[test]
fn small_experts_are_copied_several_to_a_plan() {
    let engine =
        |copy_ms| EngineSpec { expert_copy_time: Duration::from_millis(copy_ms), ..engine() };
    let time = Duration::from_millis(400);
    assert_eq!(engine(400).copies_within(time), 1);
    assert_eq!(engine(900).copies_within(time), 1);
    assert_eq!(engine(76).copies_within(time), 5);
    let (mut one, mut several) = (Vec::new(), Vec::new());
    for seed in 0..5 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let demand: Vec<Vec<f64>> = (0..16).map(|_| shares(&mut rng)).collect();
        let maps = vec![LayerMap::in_turn(24, EXPERTS, 5); 16];
        let plan = |copies| {
            let moves =
                MoveSettings { places: 5, new_per_set: 2, new_per_rank: copies, gain_min: 0.08 };
            MovePlanner { cfg: moves }.plan(&maps, &demand).unwrap().skew_after
        };
        one.push(plan(1));
        several.push(plan(engine(76).copies_within(time)));
    }
    let mean = |l: &[f64]| l.iter().sum::<f64>() / l.len() as f64;
    assert!(mean(&several) < 1.5, "skew {several:?}");
    assert!(mean(&one) > mean(&several) + 0.3, "skew {one:?} with one copy, {several:?} with more");
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: 10,
        step_time: Duration::from_micros(4550),
        step_time_per_request: Duration::from_micros(1090),
        prefill_tokens_per_s: 61_400.0,
        steps_per_pass: 5,
        prefill_chunk_tokens: 512,
        mean_prompt_tokens: 835,
        mean_response_tokens: 97,
        layer_sets: 16,
        experts_per_set: EXPERTS,
        expert_slots_per_set: 5,
        new_experts_per_set_max: 2,
        expert_share: 0.85,
        expert_copy_time: Duration::from_millis(76),
    }
}

#[test]
fn plans_keep_every_bound() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut maps = start();
        for _ in 0..10 {
            let demand: Vec<Vec<f64>> = (0..SETS).map(|_| shares(&mut rng)).collect();
            let Some(plan) = planner(2).plan(&maps, &demand) else { continue };
            let mut copies = 0;
            for rank in 0..RANKS {
                let new = |(before, after): (&LayerMap, &LayerMap)| {
                    let held = &after.ranks[rank];
                    held.iter().filter(|e| !before.holds(RankId(rank as u16), **e)).count()
                };
                let new: usize = maps.iter().zip(&plan.sets).map(new).sum();
                assert!(new <= 2, "rank {rank} copies {new}");
                copies += new;
            }
            assert_eq!(copies, plan.copies);
            assert!(plan.sets.iter().all(|m| m.is_valid(11)));
            assert!(plan.skew_after < plan.skew_before);
            assert!((MovePlanner::skew(&plan.sets, &demand) - plan.skew_after).abs() < 1e-9);
            maps = plan.sets;
        }
    }
}

#[test]
fn an_even_group_is_left_alone() {
    let even = vec![vec![1.0 / EXPERTS as f64; EXPERTS]; SETS];
    assert!(planner(2).plan(&start(), &even).is_none());
}

/// Counters of a group whose popularity shifts in a pass, read by each rank every `every` passes at
/// its own time; answers the passes after the shift until demand is known again, and its shares.
fn after_a_shift(every: u64) -> (u64, Vec<f64>) {
    const SHIFTED_AT: u64 = 20;
    let mut demand = Demand::new(1, 4, RANKS);
    let mut counters = vec![vec![0_u64; 4]; RANKS];
    let mut readers = vec![CounterReader::default(); RANKS];
    for step in 0..60_u64 {
        let liked = if step < SHIFTED_AT { 0 } else { 3 };
        for (rank, c) in counters.iter_mut().enumerate() {
            c[liked] += 900;
            c[1] += 100;
            if (step + rank as u64).is_multiple_of(every) || demand.shifting() {
                let read = readers[rank].read(Counters { step, counts: c.clone() });
                read.iter().for_each(|choices| demand.count(choices));
            }
        }
        let shares = demand.shares(0);
        if step >= SHIFTED_AT && shares.as_ref().is_some_and(|s| s[3] > s[0]) {
            return (step - SHIFTED_AT, shares.unwrap());
        }
    }
    panic!("the shift was not seen");
}

#[test]
fn the_first_pass_after_a_shift_shows_the_new_popularity_alone() {
    let (passes, shares) = after_a_shift(1);
    assert_eq!(passes, 0);
    assert!(shares[3] > 0.85 && shares[0] < 0.05, "{shares:?}");
}

#[test]
fn ranks_that_are_read_seldom_are_read_once_a_pass_when_popularity_shifts() {
    for every in [2, 3, 4] {
        let (passes, shares) = after_a_shift(every);
        assert!(passes <= 2, "read every {every} passes: known after {passes}");
        assert!(shares[3] > 0.85 && shares[0] < 0.05, "read every {every} passes: {shares:?}");
    }
}

#[test]
fn counters_of_a_restarted_rank_count_anew() {
    let mut reader = CounterReader::default();
    let mut read = |step, counts: [u64; 2]| reader.read(Counters { step, counts: counts.to_vec() });
    assert_eq!(read(90, [1_000_000, 0]), None);
    assert_eq!(read(90, [1_000_000, 0]), None, "no pass since");
    assert_eq!(read(92, [1_000_000, 7]), Some(Choices { from: 90, to: 92, counts: vec![0, 7] }));
    assert_eq!(read(1, [0, 5_000]), None, "started anew");
    assert_eq!(read(2, [0, 9_000]), Some(Choices { from: 1, to: 2, counts: vec![0, 4_000] }));
}

/// A quiet hour: single requests, each of its own kind, are no shift.
#[test]
fn few_requests_do_not_look_like_a_shift() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut demand = Demand::new(1, EXPERTS, RANKS);
    let liked = shares(&mut rng);
    let mut shifts = 0;
    for step in 1..200_u64 {
        let mut counts = vec![vec![0_u64; EXPERTS]; RANKS];
        let busy = rng.random_range(0..RANKS);
        for _ in 0..240 {
            let mut draw = rng.random::<f64>();
            let expert = liked.iter().position(|s| {
                draw -= s;
                draw < 0.0
            });
            counts[busy][expert.unwrap_or(0)] += 1;
        }
        for counts in counts {
            demand.count(&Choices { from: step - 1, to: step, counts });
        }
        shifts += usize::from(demand.shifting() && step > 20);
    }
    assert_eq!(shifts, 0);
    assert!(demand.shares(0).is_some());
}

#[test]
fn the_noise_of_single_passes_is_averaged() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut demand = Demand::new(1, EXPERTS, 1);
    let liked = shares(&mut rng);
    for pass in 1..40_u64 {
        let noisy = |share: &f64| {
            let noise = 1.0 + 0.2 * (rng.random::<f64>() - 0.5);
            (share * 16_000.0 * noise) as u64
        };
        let counts = liked.iter().map(noisy).collect();
        demand.count(&Choices { from: pass - 1, to: pass, counts });
    }
    let measured = demand.shares(0).unwrap();
    for (m, l) in measured.iter().zip(&liked) {
        assert!((m - l).abs() < 0.08 * l + 0.001, "{m} for {l}");
    }
}
