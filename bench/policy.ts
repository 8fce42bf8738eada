/** Compares the product's scheduling policy with baselines at several loads, with and without faults. */
import process from "node:process";
import { writeFileSync } from "node:fs";
import { cac } from "cac";
import { build } from "hdr-histogram-js";
import { renderTable } from "../src/cli/common/output.ts";
import type { IWorkloadMix } from "./policy/workload_mixes.ts";
import { WORKLOAD_MIXES } from "./policy/workload_mixes.ts";
import type { ISchedulingPolicy } from "./policy/policies.ts";
import { FIFO_PER_CALL, LEAST_LOADED, POLICIES, PRODUCT } from "./policy/policies.ts";
import type { IFinishedProgram, ISimulationResult } from "./policy/simulation.ts";
import { simulate } from "./policy/simulation.ts";

const LOADS = [0.5, 0.8, 1, 1.3];
/** Upper limits of the ratios to a baseline, checked at offered loads of 80 % and above. */
const P95_RATIO_TARGET = 0.5;
const WASTED_TOKENS_RATIO_TARGET = 1 / 3;
const KIND_P95_RATIO_TARGET = 1.1;
const TARGETS_MIN_LOAD = 0.8;

interface IRow extends Record<string, unknown> {
  readonly deployment: string;
  readonly faults: string;
  readonly load: string;
  readonly policy: string;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly wasted_tokens: number;
}

function latencyPercentiles(latencies: readonly number[]): { p50: number; p95: number; p99: number } {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  latencies.forEach((latency) => histogram.recordValue(Math.max(1, Math.round(latency))));
  const valueAt = (percentile: number) => histogram.getValueAtPercentile(percentile);
  return { p50: valueAt(50), p95: valueAt(95), p99: valueAt(99) };
}

/** Jain's fairness index of the customers' mean slowdowns: 1 when all are equal. */
function jainFairnessIndex(finished: readonly IFinishedProgram[]): number {
  const slowdowns = new Map<string, number[]>();
  for (const { customer, latencyMs, idealMs } of finished) {
    slowdowns.set(customer, [...slowdowns.get(customer) ?? [], latencyMs / idealMs]);
  }
  const means = [...slowdowns.values()].map((values) =>
    values.reduce((sum, value) => sum + value, 0) / values.length
  );
  const sum = means.reduce((total, mean) => total + mean, 0);
  const squares = means.reduce((total, mean) => total + mean * mean, 0);
  return sum * sum / (means.length * squares);
}

function toRow(
  scenario: { mix: IWorkloadMix; policy: ISchedulingPolicy; load: number; withFaults: boolean },
  result: ISimulationResult,
): IRow {
  const { finished, unfinished, refusals, wastedTokens, prefilledTokens } = result;
  const byKind = Object.fromEntries(scenario.mix.kinds.map(({ kind }) => {
    const latencies = finished.filter((program) => program.kind === kind).map(({ latencyMs }) => latencyMs);
    return [kind, latencyPercentiles(latencies).p95];
  }));
  return {
    deployment: scenario.mix.name,
    faults: scenario.withFaults ? "yes" : "no",
    load: `${Math.round(scenario.load * 100)}%`,
    policy: scenario.policy.name,
    programs: finished.length,
    ...latencyPercentiles(finished.map(({ latencyMs }) => latencyMs)),
    ideal_p95: latencyPercentiles(finished.map(({ idealMs }) => idealMs)).p95,
    p95_by_kind: JSON.stringify(byKind).replaceAll('"', ""),
    missed_bells: finished.filter(({ hasMissedDeadline }) => hasMissedDeadline).length,
    wasted_tokens: wastedTokens,
    prefilled_tokens: prefilledTokens,
    refusals,
    unfinished,
    fairness: jainFairnessIndex(finished).toFixed(3),
  };
}

/** Ratios of the product's rows to the baselines of the same scenario, with whether targets are met. */
function compareWithTargets(rows: readonly IRow[]): Record<string, unknown>[] {
  return rows.filter(({ policy, load }) => policy === PRODUCT && parseInt(load) >= TARGETS_MIN_LOAD * 100)
    .map(
      (product) => {
        const isSameScenario = (row: IRow) =>
          row.deployment === product.deployment && row.faults === product.faults && row.load === product.load;
        const rowOf = (name: string) => rows.find((row) => isSameScenario(row) && row.policy === name)!;
        const leastLoaded = rowOf(LEAST_LOADED);
        const p95ByKind = (row: IRow) => Object.entries(parseP95ByKind(String(row.p95_by_kind)));
        const fifo = new Map(p95ByKind(rowOf(FIFO_PER_CALL)));
        const worstKindRatio = Math.max(...p95ByKind(product).map(([kind, p95]) => p95 / fifo.get(kind)!));
        const p95Ratio = product.p95 / leastLoaded.p95;
        const wastedTokensRatio = product.wasted_tokens / Math.max(1, leastLoaded.wasted_tokens);
        const formatRatio = (ratio: number, target: number) =>
          `${ratio.toFixed(2)} ${ratio <= target ? "met" : "MISSED"}`;
        return {
          deployment: product.deployment,
          faults: product.faults,
          load: product.load,
          "p95 to least loaded": formatRatio(p95Ratio, P95_RATIO_TARGET),
          "waste to least loaded": formatRatio(wastedTokensRatio, WASTED_TOKENS_RATIO_TARGET),
          "worst kind to FIFO": formatRatio(worstKindRatio, KIND_P95_RATIO_TARGET),
        };
      },
    );
}

function parseP95ByKind(text: string): Record<string, number> {
  return Object.fromEntries(
    text.slice(1, -1).split(",").map((part) => {
      const [kind, p95] = part.split(":");
      return [kind, Number(p95)];
    }),
  );
}

interface IOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly deployment?: string;
  readonly load?: number;
  readonly out?: string;
}

async function main({ seed, seconds, deployment, load, out }: IOptions): Promise<void> {
  const rows: IRow[] = [];
  const mixes = WORKLOAD_MIXES.filter(({ name }) => deployment === undefined || name === deployment);
  const loads = load === undefined ? LOADS : [load];
  for (const mix of mixes) {
    for (const withFaults of [false, true]) {
      for (const offeredLoad of loads) {
        for (const policy of POLICIES) {
          const opts = { mix, policy, load: offeredLoad, withFaults, seed, arrivalMs: seconds * 1000 };
          rows.push(toRow({ mix, policy, load: offeredLoad, withFaults }, await simulate(opts)));
        }
      }
    }
  }
  const text = `${renderTable(rows)}\n\nTargets, from ${TARGETS_MIN_LOAD * 100} % load on\n${
    renderTable(compareWithTargets(rows))
  }`;
  console.log(text);
  if (out !== undefined) writeFileSync(out, `${text}\n`);
  process.exit(0);
}

const cli = cac("npm run bench:policy --");
cli.command("", "Compare the policies; latencies in ms of virtual time")
  .option("--seed <number>", "Seed of the programs", { default: 1 })
  .option("--seconds <number>", "Virtual time in which programs arrive", { default: 180 })
  .option("--deployment <name>", "One deployment only")
  .option("--load <share>", "One load only, such as 0.8")
  .option("--out <file>", "Also write the tables to a file")
  .action(main);
cli.help();
cli.parse();
