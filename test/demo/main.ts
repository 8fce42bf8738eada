/** Demo: runs both deployments in turn under a mixed load; one instance is killed and one stopped gracefully. */
import process from "node:process";
import { build } from "hdr-histogram-js";
import { cac } from "cac";
import { CallerObservations, ProgramCaller, RequestFailedError } from "../harness/caller.ts";
import type { IDaemonProcess } from "../harness/processes.ts";
import { Deployment, sleep, waitForExit } from "../harness/processes.ts";
import { SeededRandom } from "./random.ts";
import type { IWorkload } from "./workloads.ts";
import { WORKLOADS } from "./workloads.ts";

const CONCURRENCY = 24;
const PROGRESS_INTERVAL_MS = 2000;
/** Share of the programs that must be done before an instance is killed, or stopped gracefully. */
const KILL_AFTER_SHARE = 0.25;
const STOP_AFTER_SHARE = 0.55;
const CACHE_RELEASE_TIMEOUT_MS = 8000;

interface IEngineStats {
  readonly generatedTokens: number;
  readonly prefilledTokens: number;
  readonly wastedPrefillTokens: number;
  readonly held: readonly string[];
}

/** Report of a run, printed as a table or as JSON. */
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
  readonly #observations = new CallerObservations();
  readonly #latency = build({ numberOfSignificantValueDigits: 2 });
  readonly #programs = { completed: 0, refused: 0, failed: 0 };
  readonly #activeDaemons: IDaemonProcess[] = [];
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
      this.#activeDaemons.push(...this.#deployment.daemons);
      const progress = setInterval(
        () => log(`${name}: ${this.#done} of ${programs} programs done`),
        PROGRESS_INTERVAL_MS,
      );
      const faults = this.#injectFaults();
      await Promise.all(Array.from({ length: CONCURRENCY }, () => this.#runPrograms()));
      clearInterval(progress);
      const gracefulExitCode = await faults;
      await this.#waitForCacheRelease();
      return await this.#report(gracefulExitCode);
    } finally {
      await this.#deployment.stop();
    }
  }

  get #done(): number {
    return this.#programs.completed + this.#programs.refused + this.#programs.failed;
  }

  async #runPrograms(): Promise<void> {
    while (this.#started < this.#opts.programs) {
      const number = this.#started++;
      await this.#runProgram(number);
    }
  }

  async #runProgram(number: number): Promise<void> {
    const random = new SeededRandom(this.#opts.seed * 100_003 + number);
    const { script } = random.pickWeighted(this.#opts.workload.mix);
    const newCaller = () =>
      new ProgramCaller({
        customer: script.customer,
        instanceUrls: () => this.#activeDaemons.map(({ callerUrl }) => callerUrl),
        observations: this.#observations,
        chooseInstance: (count) => random.nextInt(count),
      });
    const startedAt = performance.now();
    try {
      await script.run({ key: `${this.#opts.seed}-${number}`, random, caller: newCaller(), newCaller });
      this.#programs.completed += 1;
      this.#latency.recordValue(Math.round(performance.now() - startedAt));
    } catch (err) {
      this.#opts.log(`program ${number} (${script.kind}): ${(err as Error).message}`);
      if (err instanceof RequestFailedError) this.#programs.refused += 1;
      else this.#programs.failed += 1;
    }
  }

  /** Kills one instance and stops another gracefully; resolves with the exit code of the latter. */
  async #injectFaults(): Promise<number | null> {
    const { name, log, programs } = this.#opts;
    await this.#waitForDone(programs * KILL_AFTER_SHARE);
    log(`${name}: killing ${this.#activeDaemons[1].id}`);
    this.#activeDaemons[1].child.kill("SIGKILL");
    await sleep(100);
    this.#activeDaemons.splice(1, 1);
    await this.#waitForDone(programs * STOP_AFTER_SHARE);
    const stopping = this.#activeDaemons[2];
    log(`${name}: stopping ${stopping.id} gracefully`);
    stopping.child.kill("SIGTERM");
    this.#activeDaemons.splice(2, 1);
    const code = await waitForExit(stopping.child);
    log(`${name}: ${stopping.id} exited with code ${code}`);
    return code;
  }

  async #waitForDone(count: number): Promise<void> {
    while (this.#done < count) await sleep(10);
  }

  /** Waits until the engines have released the caches of all programs, or until the timeout. */
  async #waitForCacheRelease(): Promise<void> {
    const deadlineMs = Date.now() + CACHE_RELEASE_TIMEOUT_MS;
    while (Date.now() < deadlineMs) {
      const stats = await this.#engineStats();
      if (stats.every(({ held }) => held.length === 0)) return;
      await sleep(200);
    }
  }

  #engineStats(): Promise<IEngineStats[]> {
    return Promise.all(this.#deployment.engines.map(async ({ address }) => {
      const response = await fetch(`http://${address}/control/stats`);
      return await response.json() as IEngineStats;
    }));
  }

  async #executions(): Promise<Map<string, number>> {
    const total = new Map<string, number>();
    for (const { address } of this.#deployment.services) {
      const response = await fetch(`http://${address}/control/stats`);
      const { counts } = await response.json() as { counts: Record<string, number> };
      for (const [key, count] of Object.entries(counts)) total.set(key, (total.get(key) ?? 0) + count);
    }
    return total;
  }

  async #report(gracefulExitCode: number | null): Promise<IReport> {
    const engines = await this.#engineStats();
    const sum = (read: (stats: IEngineStats) => number) =>
      engines.reduce((total, stats) => total + read(stats), 0);
    // Keys of non-repeatable calls begin with the customer's name.
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
    const violations = [
      ...executedTwice,
      ...wrongAnswers.map((place) => `wrong or cut answer: ${place}`),
      ...heldAfterEnd > 0 ? [`${heldAfterEnd} holdings of ended programs`] : [],
      ...gracefulExitCode === 0
        ? []
        : [`the gracefully stopped instance exited with code ${gracefulExitCode}`],
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
      brokenPromises: violations,
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
      throw new Error(`unknown deployment ${name}; expected one of ${Object.keys(WORKLOADS).join(", ")}`);
    }
    reports.push(await new DemoRun({ name, workload, seed, programs, log }).run());
  }
  if (json) console.log(JSON.stringify(reports, undefined, 2));
  else reports.forEach(print);
  process.exit(reports.some(({ brokenPromises }) => brokenPromises.length > 0) ? 1 : 0);
}

const cli = cac("npm run demo --");
cli.command(
  "",
  "Run both deployments on fake backend servers, with one instance killed and one stopped gracefully",
)
  .option("--seed <number>", "Seed of the random programs", { default: 1 })
  .option("--programs <number>", "Number of programs per deployment", { default: 200 })
  .option("--deployment <name>", "Run one deployment only: brigalow or association")
  .option("--json", "Print the reports as JSON")
  .action(main);
cli.help();
cli.parse();
