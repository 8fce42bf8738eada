import test from "ava";
import type { IBurstResult } from "./burst.ts";
import { LARGE_ENGINES_FLEET, simulateBurst, SMALL_FLEET } from "./burst.ts";
import { PlacementStrategy } from "./engine_selectors.ts";

const SEEDS = [1, 2];

/** Simulates a burst above the engines' capacity whose programs move between instances, once per seed. */
function simulateForAllSeeds(strategy: PlacementStrategy): IBurstResult[] {
  return SEEDS.map((seed) =>
    simulateBurst({
      strategy,
      seed,
      programsPerSecond: 18,
      burstFactor: 2.2,
      roamingProbability: 0.4,
      fleet: SMALL_FLEET,
    })
  );
}

function sum(results: readonly IBurstResult[], read: (result: IBurstResult) => number): number {
  return results.reduce((total, result) => total + read(result), 0);
}

test("in a burst, the cost model completes more programs on time than each baseline", (t) => {
  const candidate = sum(simulateForAllSeeds(PlacementStrategy.CostModel), ({ onTime }) => onTime);
  for (
    const strategy of [
      PlacementStrategy.CostModelWithoutReports,
      PlacementStrategy.LeastLoaded,
      PlacementStrategy.RoundRobin,
      PlacementStrategy.Sticky,
    ]
  ) {
    const baseline = sum(simulateForAllSeeds(strategy), ({ onTime }) => onTime);
    t.true(candidate > baseline, `cost model ${candidate}, ${strategy} ${baseline}`);
  }
});

/** Maximum ratio of the tokens that the cost model recomputes to those that the baseline recomputes. */
const MAX_WASTED_TOKENS_RATIO = 1 / 3;

test("the cost model recomputes at most a third of the tokens that least-loaded placement recomputes", (t) => {
  const candidate = sum(simulateForAllSeeds(PlacementStrategy.CostModel), ({ wastedTokens }) => wastedTokens);
  const baseline = sum(
    simulateForAllSeeds(PlacementStrategy.LeastLoaded),
    ({ wastedTokens }) => wastedTokens,
  );
  t.true(
    candidate <= baseline * MAX_WASTED_TOKENS_RATIO,
    `cost model ${candidate}, least loaded ${baseline}`,
  );
});

/** Minimum share of the programs of a burst below the engines' capacity that complete on time. */
const MIN_ON_TIME_SHARE = 0.85;

test("many instances that learn of loads late keep a burst below capacity on time", (t) => {
  const { programs, onTime } = simulateBurst({
    strategy: PlacementStrategy.CostModel,
    seed: 1,
    programsPerSecond: 60,
    burstFactor: 1.8,
    roamingProbability: 0.4,
    fleet: LARGE_ENGINES_FLEET,
  });
  t.true(onTime >= programs * MIN_ON_TIME_SHARE, `${onTime} of ${programs}`);
});
