/** Compares the product's policy with baselines over loads, calm and with faults. */
import process from "node:process";
import { writeFileSync } from "node:fs";
import { cac } from "cac";
import { build } from "hdr-histogram-js";
import { renderTable } from "../src/cli/common/output.ts";
import type { IMix } from "./policy/mixes.ts";
import { MIXES } from "./policy/mixes.ts";
import type { IPolicy } from "./policy/policies.ts";
import { FIFO, LEAST_LOADED, OURS, POLICIES } from "./policy/policies.ts";
import type { IFinished, ISimulationResult } from "./policy/simulation.ts";
import { simulate } from "./policy/simulation.ts";

const LOADS = [0.5, 0.8, 1, 1.3];
/** Targets: shares of the least loaded baseline, from 80 % load on. */
const LATENCY_TARGET = 0.5;
const WASTE_TARGET = 1 / 3;
const KIND_TARGET = 1.1;
const TARGET_FROM_LOAD = 0.8;

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

function percentiles(latencies: readonly number[]): { p50: number; p95: number; p99: number } {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  latencies.forEach((latency) => histogram.recordValue(Math.max(1, Math.round(latency))));
  const at = (percentile: number) => histogram.getValueAtPercentile(percentile);
  return { p50: at(50), p95: at(95), p99: at(99) };
}

/** Jain's index of the customers' mean slowdowns: 1 when all fare alike. */
function fairness(finished: readonly IFinished[]): number {
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
  at: { mix: IMix; policy: IPolicy; load: number; withFaults: boolean },
  result: ISimulationResult,
): IRow {
  const { finished, unfinished, refusals, wastedTokens, prefilledTokens } = result;
  const byKind = Object.fromEntries(at.mix.kinds.map(({ kind }) => {
    const latencies = finished.filter((program) => program.kind === kind).map(({ latencyMs }) => latencyMs);
    return [kind, percentiles(latencies).p95];
  }));
  return {
    deployment: at.mix.name,
    faults: at.withFaults ? "yes" : "no",
    load: `${Math.round(at.load * 100)}%`,
    policy: at.policy.name,
    programs: finished.length,
    ...percentiles(finished.map(({ latencyMs }) => latencyMs)),
    ideal_p95: percentiles(finished.map(({ idealMs }) => idealMs)).p95,
    p95_by_kind: JSON.stringify(byKind).replaceAll('"', ""),
    missed_bells: finished.filter(({ hasMissedBell }) => hasMissedBell).length,
    wasted_tokens: wastedTokens,
    prefilled_tokens: prefilledTokens,
    refusals,
    unfinished,
    fairness: fairness(finished).toFixed(3),
  };
}

/** Compares our row with the baselines of the same setting, as ratios. */
function verdicts(rows: readonly IRow[]): Record<string, unknown>[] {
  return rows.filter(({ policy, load }) => policy === OURS && parseInt(load) >= TARGET_FROM_LOAD * 100).map(
    (ours) => {
      const isSame = (row: IRow) =>
        row.deployment === ours.deployment && row.faults === ours.faults && row.load === ours.load;
      const find = (name: string) => rows.find((row) => isSame(row) && row.policy === name)!;
      const least = find(LEAST_LOADED);
      const kinds = (row: IRow) => Object.entries(parseKinds(String(row.p95_by_kind)));
      const fifo = new Map(kinds(find(FIFO)));
      const worstKind = Math.max(...kinds(ours).map(([kind, p95]) => p95 / fifo.get(kind)!));
      const latency = ours.p95 / least.p95;
      const waste = ours.wasted_tokens / Math.max(1, least.wasted_tokens);
      const verdict = (ratio: number, target: number) =>
        `${ratio.toFixed(2)} ${ratio <= target ? "met" : "MISSED"}`;
      return {
        deployment: ours.deployment,
        faults: ours.faults,
        load: ours.load,
        "p95 to least loaded": verdict(latency, LATENCY_TARGET),
        "waste to least loaded": verdict(waste, WASTE_TARGET),
        "worst kind to FIFO": verdict(worstKind, KIND_TARGET),
      };
    },
  );
}

function parseKinds(text: string): Record<string, number> {
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
  const mixes = MIXES.filter(({ name }) => deployment === undefined || name === deployment);
  const loads = load === undefined ? LOADS : [load];
  for (const mix of mixes) {
    for (const withFaults of [false, true]) {
      for (const offered of loads) {
        for (const policy of POLICIES) {
          const opts = { mix, policy, load: offered, withFaults, seed, arrivalMs: seconds * 1000 };
          rows.push(toRow({ mix, policy, load: offered, withFaults }, await simulate(opts)));
        }
      }
    }
  }
  const text = `${renderTable(rows)}\n\nTargets, from ${TARGET_FROM_LOAD * 100} % load on\n${
    renderTable(verdicts(rows))
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
