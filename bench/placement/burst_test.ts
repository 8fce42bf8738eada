import test from "ava";
import type { IBurstResult } from "./burst.ts";
import { playBurst } from "./burst.ts";
import { Placing } from "./placers.ts";

const SEEDS = [1, 2];

/** A burst above the engines' capacity, whose programs move between instances. */
function simulateForAllSeeds(candidate: Placing): IBurstResult[] {
  return SEEDS.map((seed) =>
    playBurst({ placing: candidate, seed, perSecond: 18, burst: 2.2, roaming: 0.4 })
  );
}

function sum(results: readonly IBurstResult[], read: (result: IBurstResult) => number): number {
  return results.reduce((total, result) => total + read(result), 0);
}

test("in a burst, more programs complete on time than with any baseline", (t) => {
  const product = sum(simulateForAllSeeds(Placing.Ours), ({ onTime }) => onTime);
  const baselines = [Placing.OwnKnowledge, Placing.LeastLoaded, Placing.RoundRobin, Placing.Sticky];
  for (const candidate of baselines) {
    const baseline = sum(simulateForAllSeeds(candidate), ({ onTime }) => onTime);
    t.true(product > baseline, `product ${product}, ${candidate} ${baseline}`);
  }
});

/** Upper limit of the tokens that are prefilled again, as a share of those under least loaded. */
const WASTED_TOKENS_RATIO_TARGET = 1 / 3;

test("prefilled tokens that an engine had held stay within their share of the least loaded baseline", (t) => {
  const product = sum(simulateForAllSeeds(Placing.Ours), ({ wastedTokens }) => wastedTokens);
  const leastLoaded = sum(simulateForAllSeeds(Placing.LeastLoaded), ({ wastedTokens }) => wastedTokens);
  t.true(
    product <= leastLoaded * WASTED_TOKENS_RATIO_TARGET,
    `product ${product}, least loaded ${leastLoaded}`,
  );
});
