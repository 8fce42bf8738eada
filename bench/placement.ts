/** Compares strategies of placing turns on engines during a burst, in virtual time. */
import { renderTable } from "../src/cli/common/output.ts";
import { simulateBurst, SMALL_FLEET } from "./placement/burst.ts";
import { PlacementStrategy } from "./placement/engine_selectors.ts";

const SEEDS = [1, 2, 3, 4, 5];
const BURST_FACTORS = [1, 1.6, 2.2, 3];
const PROGRAMS_PER_SECOND = 18;
const ROAMING_PROBABILITY = 0.4;

const rows = BURST_FACTORS.flatMap((burstFactor) =>
  Object.values(PlacementStrategy).map((strategy) => {
    const results = SEEDS.map((seed) =>
      simulateBurst({
        strategy,
        seed,
        programsPerSecond: PROGRAMS_PER_SECOND,
        burstFactor,
        roamingProbability: ROAMING_PROBABILITY,
        fleet: SMALL_FLEET,
      })
    );
    const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const onTimeShares = results.map(({ onTime, programs }) => onTime / programs);
    return {
      burst: burstFactor,
      placing: strategy,
      on_time: mean(onTimeShares).toFixed(3),
      spread: (Math.max(...onTimeShares) - Math.min(...onTimeShares)).toFixed(3),
      refused: mean(results.map(({ refused, programs }) => refused / programs)).toFixed(3),
      slowdown_p95: mean(results.map(({ slowdownP95 }) => slowdownP95)).toFixed(2),
      million_read: (mean(results.map(({ prefilledTokens }) => prefilledTokens)) / 1e6).toFixed(2),
      million_again: (mean(results.map(({ wastedTokens }) => wastedTokens)) / 1e6).toFixed(2),
    };
  })
);
console.log(renderTable(rows));
