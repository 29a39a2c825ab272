//! Popularity shifts: tracking of the demand for experts, and rebalancing with few copies.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use crocustally_core::experts::CounterReader;
use crocustally_core::experts::Counters;
use crocustally_core::experts::Demand;
use crocustally_core::experts::LayerMap;
use crocustally_core::experts::MovePlanner;
use crocustally_core::experts::MoveSettings;
use crocustally_core::experts::RankId;
use crocustally_core::experts::SelectionCounts;
use crocustally_core::traffic::EngineSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 12;
const EXPERTS: usize = 96;
const SETS: usize = 3;

fn planner(copies_per_rank_max: usize) -> MovePlanner {
    MovePlanner {
        cfg: MoveSettings {
            slots_per_set: 11,
            copies_per_set_max: 4,
            copies_per_rank_max,
            gain_min: 0.02,
        },
    }
}

/// Zipf-distributed popularity in a random order.
fn shares(rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=EXPERTS).map(|k| (k as f64).powf(-0.9)).collect();
    for i in 0..EXPERTS {
        weights.swap(i, rng.random_range(i..EXPERTS));
    }
    let total: f64 = weights.iter().sum();
    weights.iter().map(|w| w / total).collect()
}

/// Shifts the popularity of about half of the experts.
fn shift(rng: &mut ChaCha8Rng, shares: &mut [f64]) {
    for _ in 0..EXPERTS / 4 {
        shares.swap(rng.random_range(0..EXPERTS), rng.random_range(0..EXPERTS));
    }
}

fn initial_placement() -> Vec<LayerMap> {
    vec![LayerMap::spread_round_robin(RANKS, EXPERTS, EXPERTS / RANKS); SETS]
}

#[test]
fn three_plans_of_one_copy_per_rank_rebalance_after_a_shift() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut demand: Vec<Vec<f64>> = (0..SETS).map(|_| shares(&mut rng)).collect();
        let mut maps = initial_placement();
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

/// With many sets of small experts, a plan is limited by the time of its copies, not by their number.
#[test]
fn plan_copies_several_small_experts_per_rank() {
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
        let maps = vec![LayerMap::spread_round_robin(24, EXPERTS, 5); 16];
        let plan = |copies| {
            let moves = MoveSettings {
                slots_per_set: 5,
                copies_per_set_max: 2,
                copies_per_rank_max: copies,
                gain_min: 0.08,
            };
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
        kv_capacity_tokens: 0,
        layer_sets: 16,
        experts_per_set: EXPERTS,
        expert_slots_per_set: 5,
        new_experts_per_set_max: 2,
        expert_share: 0.85,
        expert_copy_time: Duration::from_millis(76),
    }
}

#[test]
fn plans_respect_all_limits() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut maps = initial_placement();
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
fn balanced_group_gets_no_plan() {
    let balanced = vec![vec![1.0 / EXPERTS as f64; EXPERTS]; SETS];
    assert!(planner(2).plan(&initial_placement(), &balanced).is_none());
}

/// Simulates a popularity shift while each rank is read every `every` passes at its own offset.
/// Returns the number of passes after the shift until the demand is known again, and its shares.
fn simulate_shift(every: u64) -> (u64, Vec<f64>) {
    const SHIFTED_AT: u64 = 20;
    let mut demand = Demand::new(1, 4, RANKS);
    let mut counters = vec![vec![0_u64; 4]; RANKS];
    let mut readers = vec![CounterReader::default(); RANKS];
    for step in 0..60_u64 {
        let popular = if step < SHIFTED_AT { 0 } else { 3 };
        for (rank, c) in counters.iter_mut().enumerate() {
            c[popular] += 900;
            c[1] += 100;
            if (step + rank as u64).is_multiple_of(every) || demand.shifting() {
                let read = readers[rank].read(Counters { step, counts: c.clone() });
                read.iter().for_each(|selections| demand.add(selections));
            }
        }
        let shares = demand.shares(0);
        if step >= SHIFTED_AT && shares.as_ref().is_some_and(|s| s[3] > s[0]) {
            return (step - SHIFTED_AT, shares.unwrap());
        }
    }
    panic!("the shift was not detected");
}

#[test]
fn demand_after_a_shift_excludes_the_old_popularity() {
    let (passes, shares) = simulate_shift(1);
    assert_eq!(passes, 0);
    assert!(shares[3] > 0.85 && shares[0] < 0.05, "{shares:?}");
}

#[test]
fn infrequent_readings_detect_a_shift_within_two_passes() {
    for every in [2, 3, 4] {
        let (passes, shares) = simulate_shift(every);
        assert!(passes <= 2, "read every {every} passes: demand known after {passes}");
        assert!(shares[3] > 0.85 && shares[0] < 0.05, "read every {every} passes: {shares:?}");
    }
}

#[test]
fn engine_restart_resets_the_counter_baseline() {
    let mut reader = CounterReader::default();
    let mut read = |step, counts: [u64; 2]| reader.read(Counters { step, counts: counts.to_vec() });
    assert_eq!(read(90, [1_000_000, 0]), None);
    assert_eq!(read(90, [1_000_000, 0]), None, "no pass since the last reading");
    assert_eq!(
        read(92, [1_000_000, 7]),
        Some(SelectionCounts { from: 90, to: 92, counts: vec![0, 7] })
    );
    assert_eq!(read(1, [0, 5_000]), None, "engine restarted");
    assert_eq!(
        read(2, [0, 9_000]),
        Some(SelectionCounts { from: 1, to: 2, counts: vec![0, 4_000] })
    );
}

/// At low load, the variation between single requests is not a popularity shift.
#[test]
fn low_traffic_is_not_mistaken_for_a_shift() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut demand = Demand::new(1, EXPERTS, RANKS);
    let popularity = shares(&mut rng);
    let mut shifts = 0;
    for step in 1..200_u64 {
        let mut counts = vec![vec![0_u64; EXPERTS]; RANKS];
        let busy = rng.random_range(0..RANKS);
        for _ in 0..240 {
            let mut draw = rng.random::<f64>();
            let expert = popularity.iter().position(|s| {
                draw -= s;
                draw < 0.0
            });
            counts[busy][expert.unwrap_or(0)] += 1;
        }
        for counts in counts {
            demand.add(&SelectionCounts { from: step - 1, to: step, counts });
        }
        shifts += usize::from(demand.shifting() && step > 20);
    }
    assert_eq!(shifts, 0);
    assert!(demand.shares(0).is_some());
}

#[test]
fn demand_averages_the_noise_of_single_passes() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut demand = Demand::new(1, EXPERTS, 1);
    let popularity = shares(&mut rng);
    for pass in 1..40_u64 {
        let noisy = |share: &f64| {
            let noise = 1.0 + 0.2 * (rng.random::<f64>() - 0.5);
            (share * 16_000.0 * noise) as u64
        };
        let counts = popularity.iter().map(noisy).collect();
        demand.add(&SelectionCounts { from: pass - 1, to: pass, counts });
    }
    let measured = demand.shares(0).unwrap();
    for (m, p) in measured.iter().zip(&popularity) {
        assert!((m - p).abs() < 0.08 * p + 0.001, "share {m} instead of {p}");
    }
}
