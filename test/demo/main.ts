/** The demo: both deployments in turn, under a mixed load with one instance killed and one stopped. */
import process from "node:process";
import { build } from "hdr-histogram-js";
import { cac } from "cac";
import { Observations, ProgramCaller, RefusedError } from "../harness/caller.ts";
import type { IDaemonProcess } from "../harness/processes.ts";
import { Deployment, exitOf, pause } from "../harness/processes.ts";
import { Random } from "./random.ts";
import type { IWorkload } from "./workloads.ts";
import { WORKLOADS } from "./workloads.ts";

const CONCURRENCY = 24;
const PROGRESS_MS = 2000;
/** Share of the programs after which an instance is killed, and one is stopped. */
const KILL_AT = 0.25;
const STOP_AT = 0.55;
const SETTLE_MS = 8000;

interface IEngineStats {
  readonly generatedTokens: number;
  readonly prefilledTokens: number;
  readonly wastedPrefillTokens: number;
  readonly held: readonly string[];
}

/** The table that the demo ends with. */
interface IReport {
  readonly deployment: string;
  readonly seed: number;
  readonly programs: { completed: number; refused: number; failed: number };
  readonly latencyMs: { p50: number; p95: number; p99: number };
  readonly wastedCacheTokens: number;
  readonly prefilledTokens: number;
  readonly heldAfterEnd: number;
  readonly onceOnlyKeys: number;
  readonly executedTwice: readonly string[];
  readonly wrongOrCutAnswers: readonly string[];
  readonly unknownOutcomes: number;
  readonly retries: number;
  readonly gracefulExitCode: number | null;
  readonly brokenPromises: readonly string[];
}

interface IRunOptions {
  readonly name: string;
  readonly workload: IWorkload;
  readonly seed: number;
  readonly programs: number;
  readonly log: (line: string) => void;
}

class DemoRun {
  readonly #opts: IRunOptions;
  readonly #deployment: Deployment;
  readonly #observations = new Observations();
  readonly #latency = build({ numberOfSignificantValueDigits: 2 });
  readonly #programs = { completed: 0, refused: 0, failed: 0 };
  readonly #inService: IDaemonProcess[] = [];
  #started = 0;

  constructor(opts: IRunOptions) {
    this.#opts = opts;
    this.#deployment = new Deployment(opts.workload.plan);
  }

  async run(): Promise<IReport> {
    const { name, log, programs } = this.#opts;
    try {
      log(`${name}: starting ${this.#opts.workload.plan.daemons} instances`);
      await this.#deployment.start();
      this.#inService.push(...this.#deployment.daemons);
      const progress = setInterval(
        () => log(`${name}: ${this.#done} of ${programs} programs done`),
        PROGRESS_MS,
      );
      const faults = this.#injectFaults();
      await Promise.all(Array.from({ length: CONCURRENCY }, () => this.#work()));
      clearInterval(progress);
      const gracefulExitCode = await faults;
      await this.#settle();
      return await this.#report(gracefulExitCode);
    } finally {
      await this.#deployment.stop();
    }
  }

  get #done(): number {
    return this.#programs.completed + this.#programs.refused + this.#programs.failed;
  }

  async #work(): Promise<void> {
    while (this.#started < this.#opts.programs) {
      const number = this.#started++;
      await this.#runProgram(number);
    }
  }

  async #runProgram(number: number): Promise<void> {
    const random = new Random(this.#opts.seed * 100_003 + number);
    const { script } = random.pick(this.#opts.workload.mix);
    const newCaller = () =>
      new ProgramCaller({
        customer: script.customer,
        targets: () => this.#inService.map(({ callerUrl }) => callerUrl),
        observations: this.#observations,
        pick: (count) => random.below(count),
      });
    const startedAt = performance.now();
    try {
      await script.run({ key: `${this.#opts.seed}-${number}`, random, caller: newCaller(), newCaller });
      this.#programs.completed += 1;
      this.#latency.recordValue(Math.round(performance.now() - startedAt));
    } catch (err) {
      this.#opts.log(`program ${number} (${script.kind}): ${(err as Error).message}`);
      if (err instanceof RefusedError) this.#programs.refused += 1;
      else this.#programs.failed += 1;
    }
  }

  /** Kills one instance and stops another gracefully; returns the exit code of the latter. */
  async #injectFaults(): Promise<number | null> {
    const { name, log, programs } = this.#opts;
    await this.#awaitDone(programs * KILL_AT);
    log(`${name}: killing ${this.#inService[1].id}`);
    this.#inService[1].child.kill("SIGKILL");
    await pause(100);
    this.#inService.splice(1, 1);
    await this.#awaitDone(programs * STOP_AT);
    const stopping = this.#inService[2];
    log(`${name}: stopping ${stopping.id} gracefully`);
    stopping.child.kill("SIGTERM");
    this.#inService.splice(2, 1);
    const code = await exitOf(stopping.child);
    log(`${name}: ${stopping.id} ended with ${code}`);
    return code;
  }

  async #awaitDone(count: number): Promise<void> {
    while (this.#done < count) await pause(10);
  }

  /** Waits until the engines hold nothing for ended programs, within a limit. */
  async #settle(): Promise<void> {
    const until = Date.now() + SETTLE_MS;
    while (Date.now() < until) {
      const stats = await this.#engineStats();
      if (stats.every(({ held }) => held.length === 0)) return;
      await pause(200);
    }
  }

  #engineStats(): Promise<IEngineStats[]> {
    return Promise.all(this.#deployment.engines.map(async ({ address }) => {
      const reply = await fetch(`http://${address}/control/stats`);
      return await reply.json() as IEngineStats;
    }));
  }

  async #executions(): Promise<Map<string, number>> {
    const total = new Map<string, number>();
    for (const { address } of this.#deployment.services) {
      const reply = await fetch(`http://${address}/control/stats`);
      const { counts } = await reply.json() as { counts: Record<string, number> };
      for (const [key, count] of Object.entries(counts)) total.set(key, (total.get(key) ?? 0) + count);
    }
    return total;
  }

  async #report(gracefulExitCode: number | null): Promise<IReport> {
    const engines = await this.#engineStats();
    const sum = (read: (stats: IEngineStats) => number) =>
      engines.reduce((total, stats) => total + read(stats), 0);
    // Keys of calls that may not be repeated begin with the customer's name.
    const { customers } = this.#opts.workload.plan;
    const executions = [...await this.#executions()].filter(([key]) =>
      customers.some((name) => key.startsWith(`${name}/`))
    );
    const executedTwice = executions.filter(([, count]) => count > 1).map(([key, count]) =>
      `${key} ran ${count} times`
    );
    const { wrongAnswers, unknownOutcomes, retries } = this.#observations;
    const heldAfterEnd = sum(({ held }) => held.length);
    const latency = (percentile: number) => this.#latency.getValueAtPercentile(percentile);
    const broken = [
      ...executedTwice,
      ...wrongAnswers.map((place) => `wrong or cut answer: ${place}`),
      ...heldAfterEnd > 0 ? [`${heldAfterEnd} holdings of ended programs`] : [],
      ...gracefulExitCode === 0 ? [] : [`the graceful stop ended with ${gracefulExitCode}`],
      ...this.#programs.failed > 0 ? [`${this.#programs.failed} programs failed`] : [],
    ];
    return {
      deployment: this.#opts.name,
      seed: this.#opts.seed,
      programs: this.#programs,
      latencyMs: { p50: latency(50), p95: latency(95), p99: latency(99) },
      wastedCacheTokens: sum(({ wastedPrefillTokens }) => wastedPrefillTokens),
      prefilledTokens: sum(({ prefilledTokens }) => prefilledTokens),
      heldAfterEnd,
      onceOnlyKeys: executions.length,
      executedTwice,
      wrongOrCutAnswers: wrongAnswers,
      unknownOutcomes: unknownOutcomes.length,
      retries,
      gracefulExitCode,
      brokenPromises: broken,
    };
  }
}

function print(report: IReport): void {
  const { programs, latencyMs } = report;
  const rows: [string, string | number][] = [
    ["programs completed", programs.completed],
    ["programs refused", programs.refused],
    ["programs failed", programs.failed],
    ["program latency p50 / p95 / p99", `${latencyMs.p50} / ${latencyMs.p95} / ${latencyMs.p99} ms`],
    ["wasted cache", `${report.wastedCacheTokens} of ${report.prefilledTokens} prefilled tokens`],
    ["engine holdings of ended programs", report.heldAfterEnd],
    ["once-only keys executed", report.onceOnlyKeys],
    ["once-only keys executed more than once", report.executedTwice.join("; ") || "none"],
    ["once-only calls with unknown outcome", report.unknownOutcomes],
    ["wrong or cut answers", report.wrongOrCutAnswers.join("; ") || "none"],
    ["requests sent again by callers", report.retries],
    ["exit code of the graceful stop", String(report.gracefulExitCode)],
    ["broken promises", report.brokenPromises.join("; ") || "none"],
  ];
  console.log(`\n${report.deployment} (seed ${report.seed})`);
  for (const [name, value] of rows) console.log(`  ${name.padEnd(40)} ${value}`);
}

interface ICliOptions {
  readonly seed: number;
  readonly programs: number;
  readonly deployment?: string;
  readonly json?: boolean;
}

async function main({ seed, programs, deployment, json }: ICliOptions): Promise<void> {
  const names = deployment === undefined ? Object.keys(WORKLOADS) : [deployment];
  const log = (line: string) => console.error(line);
  const reports: IReport[] = [];
  for (const name of names) {
    const workload = WORKLOADS[name];
    if (workload === undefined) {
      throw new Error(`unknown deployment ${name}; there are ${Object.keys(WORKLOADS).join(", ")}`);
    }
    reports.push(await new DemoRun({ name, workload, seed, programs, log }).run());
  }
  if (json) console.log(JSON.stringify(reports, undefined, 2));
  else reports.forEach(print);
  process.exit(reports.some(({ brokenPromises }) => brokenPromises.length > 0) ? 1 : 0);
}

const cli = cac("npm run demo --");
cli.command("", "Run both deployments on stand-ins, with one instance killed and one stopped gracefully")
  .option("--seed <number>", "Seed of the programs", { default: 1 })
  .option("--programs <number>", "Programs for each deployment", { default: 200 })
  .option("--deployment <name>", "One deployment only: brigalow or association")
  .option("--json", "Print the tables as JSON")
  .action(main);
cli.help();
cli.parse();
