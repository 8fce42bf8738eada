/**
 * Measures under virtual time what hedged requests do to the latency of a safe route, and how many extra sends they
 * cost. Four gateways and four servers of 16 slots; service times are log-normal. Options: --share (of extra sends),
 * --quantile, --duration (s), --seeds.
 */
import { cac } from "cac";
import { Clock, Effect } from "effect";
import { hash32 } from "../src/base/common/hash.ts";
import { SeededRandom } from "../test/demo/random.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../test/harness/gateway_cluster.ts";
import type { IFleetServer } from "../test/stand_ins/backend_fleet.ts";
import { CrashForm, RestartForm } from "../test/stand_ins/backend_fleet.ts";

const INSTANCES = 4;
const SERVERS = 4;
const SLOTS = 16;
const MEDIAN_SERVICE_MS = 80;
/** Standard deviation of the logarithm of a service time. */
const SIGMA = 0.4;
const MEAN_SERVICE_MS = MEDIAN_SERVICE_MS * Math.exp(SIGMA ** 2 / 2);
const SLOW_FACTOR = 5;
/** Makes a request take longer than any caller waits. */
const SILENT_FACTOR = 1000;
const PAUSE_MS = 600;
/** Mean time between two pauses of one server. */
const MEAN_PAUSE_INTERVAL_MS = 8000;
/** Part of the play, at its start, that is not counted: the instances learn the latency. */
const WARM_UP_MS = 4000;
const DRAIN_MS = 4000;
const MS_PER_SECOND = 1000;

interface IFleetKind {
  readonly name: string;
  /** Offered work as a share of the capacity of sound servers. */
  readonly load: number;
  /** Service time of the first server as a multiple of the others'. */
  readonly slowFactor?: number;
  readonly hasPauses?: boolean;
}

const FLEETS: readonly IFleetKind[] = [
  { name: "sound", load: 0.3 },
  { name: "slow: one server 5 times slower", load: 0.3, slowFactor: SLOW_FACTOR },
  { name: "silent: one server never answers", load: 0.3, slowFactor: SILENT_FACTOR },
  { name: "noisy: servers pause for 600 ms", load: 0.3, hasPauses: true },
  { name: "overloaded", load: 1.1 },
];

interface IRunOptions {
  readonly fleet: IFleetKind;
  readonly maxExtraSends: number;
  readonly quantile: number;
  readonly seed: number;
  readonly durationMs: number;
}

interface IRunResult {
  readonly latenciesMs: number[];
  readonly failures: number;
  readonly sends: number;
  readonly hedged: number;
  /** Requests that were slow enough and not hedged, by reason. */
  readonly denied: ReadonlyMap<string, number>;
}

function uniform(random: SeededRandom): number {
  return (random.nextInt(1_000_000) + 1) / 1_000_001;
}

function drawExponential(random: SeededRandom, mean: number): number {
  return -Math.log(uniform(random)) * mean;
}

function drawServiceMs(random: SeededRandom): number {
  const normal = Math.sqrt(-2 * Math.log(uniform(random))) * Math.cos(2 * Math.PI * uniform(random));
  return MEDIAN_SERVICE_MS * Math.exp(SIGMA * normal);
}

/** A server with slots and a queue in order of arrival, which stands still during its pauses. */
class ServerModel {
  readonly #factor: number;
  readonly #random: SeededRandom;
  readonly #pauses: number[] = [];
  readonly #queue: (() => void)[] = [];
  #running = 0;

  constructor(random: SeededRandom, { factor, pausesUntilMs }: { factor: number; pausesUntilMs: number }) {
    this.#factor = factor;
    this.#random = random;
    for (let atMs = 0; pausesUntilMs > 0;) {
      atMs += PAUSE_MS + drawExponential(random, MEAN_PAUSE_INTERVAL_MS);
      if (atMs > pausesUntilMs) break;
      this.#pauses.push(atMs);
    }
  }

  /** Runs one request; interruption frees its slot or its place in the queue. */
  run(): Effect.Effect<void> {
    const work = Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      yield* Effect.sleep(this.#endMs(startedAtMs, drawServiceMs(this.#random) * this.#factor) - startedAtMs);
    });
    const release = Effect.sync(() => {
      const next = this.#queue.shift();
      if (next === undefined) this.#running -= 1;
      else next();
    });
    return Effect.andThen(this.#acquire(), Effect.ensuring(work, release));
  }

  #acquire(): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      if (this.#running < SLOTS) {
        this.#running += 1;
        return resume(Effect.void);
      }
      const enter = () => resume(Effect.void);
      this.#queue.push(enter);
      return Effect.sync(() => {
        const index = this.#queue.indexOf(enter);
        if (index >= 0) this.#queue.splice(index, 1);
      });
    });
  }

  /** Time at which work ends that begins at a time and stands still during pauses. */
  #endMs(startedAtMs: number, workMs: number): number {
    let endMs = startedAtMs + workMs;
    for (const pauseMs of this.#pauses) {
      if (pauseMs + PAUSE_MS <= startedAtMs) continue;
      if (pauseMs >= endMs) break;
      endMs += PAUSE_MS - Math.max(0, startedAtMs - pauseMs);
    }
    return endMs;
  }
}

function play({ fleet, maxExtraSends, quantile, seed, durationMs }: IRunOptions): Promise<IRunResult> {
  const opts = {
    instances: INSTANCES,
    serversPerService: SERVERS,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
    settings: { hedging: { maxExtraSends, quantile } },
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      const pausesUntilMs = fleet.hasPauses === true ? startedAtMs + durationMs : 0;
      const models = new Map<IFleetServer, ServerModel>();
      const plain = cluster.fleet.servers.filter(({ service }) => service === "plain");
      for (const [index, server] of plain.entries()) {
        const factor = index === 0 ? fleet.slowFactor ?? 1 : 1;
        const random = new SeededRandom(hash32(`${seed}/${index}`));
        models.set(server, new ServerModel(random, { factor, pausesUntilMs }));
      }
      cluster.fleet.work = (server) => models.get(server)!.run();
      cluster.fleet.bodyMs = 1;
      const latenciesMs: number[] = [];
      let failures = 0;
      const countedFromMs = startedAtMs + WARM_UP_MS;
      const sendOne = (number: number) =>
        Effect.gen(function* () {
          const sentAtMs = yield* Clock.currentTimeMillis;
          const id = `q${number}`;
          const req = { route: RoutePath.Safe, caller: CallerKind.None, name: id, id };
          const { status, isEnded } = yield* cluster.send(cluster.names[number % INSTANCES], req);
          if (sentAtMs < countedFromMs) return;
          const latencyMs = (yield* Clock.currentTimeMillis) - sentAtMs;
          if (isEnded && status === 200) latenciesMs.push(latencyMs);
          else failures += 1;
        });
      const arrivals = Effect.gen(function* () {
        const random = new SeededRandom(seed);
        const meanIntervalMs = MEAN_SERVICE_MS / (SERVERS * SLOTS * fleet.load);
        for (let number = 0;; number++) {
          yield* Effect.sleep(drawExponential(random, meanIntervalMs));
          if ((yield* Clock.currentTimeMillis) >= startedAtMs + durationMs) return;
          yield* Effect.forkDetach(sendOne(number));
        }
      });
      yield* Effect.forkDetach(arrivals);
      yield* cluster.advance(durationMs + DRAIN_MS);
      const hedged = cluster.linesOf("request-hedged").length;
      const sends = cluster.fleet.runs.length - hedged;
      return { latenciesMs, failures, sends, hedged, denied: deniedOf(cluster) };
    }));
}

/** Reads the number of denials of all instances from their metrics. */
function deniedOf({ gateways }: GatewayCluster): Map<string, number> {
  const denied = new Map<string, number>();
  for (const { core } of gateways.values()) {
    const lines = core.metrics.render().matchAll(
      /^ragwortcleat_hedges_denied_total\{reason="([^"]+)"\} (\d+)$/gm,
    );
    for (const [, reason, count] of lines) denied.set(reason, (denied.get(reason) ?? 0) + Number(count));
  }
  return denied;
}

function quantileOf(sorted: readonly number[], quantile: number): string {
  return (sorted.at(Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))) ?? NaN).toFixed(0);
}

const cli = cac("hedging");
cli.option("--share <share>", "extra sends as a share of the sends", { default: 0.05 });
cli.option("--quantile <quantile>", "quantile after which a request is hedged", { default: 0.95 });
cli.option("--fleets <names>", "first words of the fleets to play, separated by commas; all by default", {
  default: "",
});
cli.option("--duration <seconds>", "duration of a play", { default: 30 });
cli.option("--seeds <count>", "number of seeds", { default: 3 });
cli.help();
const { options } = cli.parse();

console.log(
  "| Fleet | Hedging | p50 ms | p95 ms | p99 ms | p99.9 ms | Extra sends | Denied by limit | By utilization | Not served | Requests |",
);
console.log("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
const names = options.fleets === "" ? [] : String(options.fleets).split(",");
for (
  const fleet of FLEETS.filter(({ name }) =>
    names.length === 0 || names.some((word) => name.startsWith(word))
  )
) {
  for (const maxExtraSends of [0, options.share]) {
    const results: IRunResult[] = [];
    for (let seed = 1; seed <= options.seeds; seed++) {
      const durationMs = options.duration * MS_PER_SECOND;
      results.push(await play({ fleet, maxExtraSends, quantile: options.quantile, seed, durationMs }));
    }
    const sorted = results.flatMap(({ latenciesMs }) => latenciesMs).sort((a, b) => a - b);
    const sum = (read: (result: IRunResult) => number) =>
      results.reduce((total, result) => total + read(result), 0);
    const failures = sum((result) => result.failures);
    const requests = sorted.length + failures;
    const cells = [
      fleet.name,
      maxExtraSends === 0 ? "off" : `${maxExtraSends}`,
      ...[0.5, 0.95, 0.99, 0.999].map((quantile) => quantileOf(sorted, quantile)),
      `${(100 * sum(({ hedged }) => hedged) / sum(({ sends }) => sends)).toFixed(2)} %`,
      ...["limit", "utilization"].map((reason) => String(sum(({ denied }) => denied.get(reason) ?? 0))),
      `${(100 * failures / requests).toFixed(2)} %`,
      String(requests),
    ];
    console.log(`| ${cells.join(" | ")} |`);
  }
}
