import test from "ava";
import type { IBurstResult } from "./burst.ts";
import { simulateBurst } from "./burst.ts";
import { PlacementStrategy } from "./engine_selectors.ts";

const SEEDS = [1, 2];

/** A burst above the engines' capacity, whose programs move between instances. */
function simulateForAllSeeds(strategy: PlacementStrategy): IBurstResult[] {
  return SEEDS.map((seed) =>
    simulateBurst({
      strategy,
      seed,
      programsPerSecond: 18,
      burstFactor: 2.2,
      roamingProbability: 0.4,
    })
  );
}

function sum(results: readonly IBurstResult[], read: (result: IBurstResult) => number): number {
  return results.reduce((total, result) => total + read(result), 0);
}

test("in a burst, more programs complete on time than with any baseline", (t) => {
  const product = sum(simulateForAllSeeds(PlacementStrategy.CostModel), ({ onTime }) => onTime);
  for (
    const strategy of [
      PlacementStrategy.CostModelWithoutReports,
      PlacementStrategy.LeastLoaded,
      PlacementStrategy.RoundRobin,
      PlacementStrategy.Sticky,
    ]
  ) {
    const baseline = sum(simulateForAllSeeds(strategy), ({ onTime }) => onTime);
    t.true(product > baseline, `product ${product}, ${strategy} ${baseline}`);
  }
});

/** Upper limit of the tokens that are prefilled again, as a share of those under least loaded. */
const WASTED_TOKENS_RATIO_TARGET = 1 / 3;

test("tokens prefilled again stay within their target share of those of the least loaded baseline", (t) => {
  const product = sum(simulateForAllSeeds(PlacementStrategy.CostModel), ({ wastedTokens }) => wastedTokens);
  const leastLoaded = sum(
    simulateForAllSeeds(PlacementStrategy.LeastLoaded),
    ({ wastedTokens }) => wastedTokens,
  );
  t.true(
    product <= leastLoaded * WASTED_TOKENS_RATIO_TARGET,
    `product ${product}, least loaded ${leastLoaded}`,
  );
});
