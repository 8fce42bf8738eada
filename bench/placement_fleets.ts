/** Shows how loads that are reported late, or not at all, affect placement and admission on fleets of many instances. */
import { parseArgs } from "node:util";
import { renderTable } from "../src/cli/common/output.ts";
import type { IFleet } from "./placement/burst.ts";
import { LARGE_ENGINES_FLEET, simulateBurst, SMALL_ENGINES_FLEET } from "./placement/burst.ts";
import { PlacementStrategy } from "./placement/engine_selectors.ts";
import type { LoadKnowledge } from "./placement/load_reports.ts";
import { simulateServiceCalls } from "./placement/service_calls.ts";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "3" },
    /** Programs per second outside the burst. */
    rates: { type: "string", default: "105" },
    factors: { type: "string", default: "1.8,2.3" },
    instances: { type: "string", default: "12,88,195,400" },
    knowledge: { type: "string", default: "owners only,reported" },
  },
});
const numbers = (text: string) => text.split(",").map(Number);
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);

function fleetOf(instances: number, knowledge: LoadKnowledge): IFleet {
  const fleet = instances > 100 ? SMALL_ENGINES_FLEET : LARGE_ENGINES_FLEET;
  return { ...fleet, instances, knowledge };
}

const rows = numbers(values.instances).flatMap((instances) =>
  numbers(values.rates).flatMap((programsPerSecond) =>
    numbers(values.factors).flatMap((burstFactor) =>
      (values.knowledge.split(",") as LoadKnowledge[]).map((knowledge) => {
        const results = seeds.map((seed) =>
          simulateBurst({
            strategy: PlacementStrategy.CostModel,
            seed,
            programsPerSecond,
            burstFactor,
            roamingProbability: 0.4,
            fleet: fleetOf(instances, knowledge),
          })
        );
        const mean = (read: (result: typeof results[0]) => number) =>
          results.reduce((sum, result) => sum + read(result), 0) / results.length;
        const shareOf = (kind: string, field: "onTime" | "refused") =>
          mean(({ burst }) => burst.get(kind)![field] / burst.get(kind)!.programs).toFixed(3);
        return {
          instances,
          rate: programsPerSecond * burstFactor,
          knowledge,
          on_time: mean(({ onTime }) => onTime).toFixed(0),
          of: mean(({ programs }) => programs).toFixed(0),
          burst_long: shareOf("long", "onTime"),
          burst_short: shareOf("short", "onTime"),
          refused_long: shareOf("long", "refused"),
          refused_short: shareOf("short", "refused"),
          preempted: mean(({ preemptions }) => preemptions).toFixed(0),
          million_again: (mean(({ wastedTokens }) => wastedTokens) / 1e6).toFixed(2),
          busiest: mean(({ busiestOverMean }) => busiestOverMean).toFixed(2),
        };
      })
    )
  )
);
console.log(renderTable(rows));

const SERVICE_SCENARIOS = [[12, 1800, 40], [88, 1800, 40], [195, 800, 40], [195, 1800, 40], [195, 240, 400]];
const serviceRows = SERVICE_SCENARIOS.flatMap(([instances, callsPerSecond, meanWorkMs]) =>
  (values.knowledge.split(",") as LoadKnowledge[]).map((knowledge) => {
    const results = seeds.map((seed) =>
      simulateServiceCalls({ instances, knowledge, callsPerSecond, meanWorkMs, seed })
    );
    const mean = (read: (result: typeof results[0]) => number) =>
      results.reduce((sum, result) => sum + read(result), 0) / results.length;
    return {
      instances,
      calls: callsPerSecond,
      work_ms: meanWorkMs,
      knowledge,
      mean_ms: mean(({ meanMs }) => meanMs).toFixed(1),
      p99_ms: mean(({ p99Ms }) => p99Ms).toFixed(0),
      connections_per_call: mean(({ connectionsPerCall }) => connectionsPerCall).toFixed(3),
    };
  })
);
console.log(renderTable(serviceRows));
