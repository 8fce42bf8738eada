/**
 * Measures under virtual time how often requests that crash servers are sent on, and how often other requests
 * that return beside them are refused. Options: --crashing (requests that crash servers at the same time),
 * --interval (ms between two returns), --servers (of each service), --seeds.
 */
import { cac } from "cac";
import { Effect } from "effect";
import type { IGatewayRequest } from "../test/harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../test/harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../test/stand_ins/backend_fleet.ts";

const INSTANCES = 4;
const DURATION_MS = 14_000;
/** Other requests that return as often as the crashing ones. */
const BYSTANDERS = 24;
/** The users' rule counts attempts later than this after the third crash, and permits three. */
const STABLE_MS = 3000;
const CRASH_LIMIT = 3;
/** Time from the arrival of a crashing request to the crash. */
const CRASH_DELAY_MS = 30;

interface IRunOptions {
  readonly route: RoutePath;
  readonly crashForm: CrashForm;
  readonly seed: number;
  readonly crashing: number;
  readonly intervalMs: number;
  readonly servers: number;
}

interface IRunResult {
  /** Attempts later than the rule's delay, for each crashing request. */
  readonly laterAttempts: number[];
  /** Refusals of other requests as crashing. */
  readonly refusals: number;
}

function play({ route, crashForm, seed, crashing, intervalMs, servers }: IRunOptions): Promise<IRunResult> {
  const restartForm = seed % 2 === 0 ? RestartForm.NewId : RestartForm.SameId;
  return GatewayCluster.run(
    { instances: INSTANCES, crashForm, restartForm, serversPerService: servers },
    (cluster) =>
      Effect.gen(function* () {
        let refusals = 0;
        const send = (via: number, name: string) => {
          const req: IGatewayRequest = { route, caller: CallerKind.Program, body: "x", name };
          return Effect.forkDetach(
            Effect.map(cluster.send(cluster.names[via % INSTANCES], req), ({ text }) => {
              if (name.startsWith("other") && text.includes("crashing-request")) refusals += 1;
            }),
          );
        };
        for (let round = 0; round * intervalMs < DURATION_MS; round++) {
          for (let k = 0; k < crashing; k++) yield* send(round * 7 + seed + k, `crashing-${seed}-${k}`);
          for (let index = 0; index < BYSTANDERS; index++) yield* send(index, `other-${seed}-${index}`);
          yield* cluster.advance(intervalMs);
        }
        const laterAttempts = Array.from({ length: crashing }, (_, k) => {
          const runs = cluster.fleet.runs.filter(({ target }) => target.endsWith(`crashing-${seed}-${k}`));
          const thirdCrashMs = (runs[CRASH_LIMIT - 1]?.atMs ?? Infinity) + CRASH_DELAY_MS;
          return runs.filter(({ atMs }) => atMs > thirdCrashMs + STABLE_MS).length;
        });
        return { laterAttempts, refusals };
      }),
  );
}

const cli = cac("crashing_requests");
cli.option("--crashing <count>", "requests that crash servers at the same time", { default: 1 });
cli.option("--interval <ms>", "time between two returns of a request", { default: 700 });
cli.option("--servers <count>", "servers of each service", { default: 8 });
cli.option("--seeds <count>", "number of seeds", { default: 10 });
cli.help();
const { options } = cli.parse();

const routes = [RoutePath.Unsafe, RoutePath.Turn, RoutePath.Safe, RoutePath.ResumableStream];
for (const crashForm of [CrashForm.BeforeHead, CrashForm.Silent]) {
  const later: number[] = [];
  const refusals: number[] = [];
  for (let seed = 0; seed < options.seeds; seed++) {
    for (const route of routes) {
      const { crashing, interval: intervalMs, servers } = options;
      const result = await play({ route, crashForm, seed, crashing, intervalMs, servers });
      later.push(...result.laterAttempts);
      refusals.push(result.refusals);
    }
  }
  const counts = Array.from(
    { length: Math.max(...later) + 1 },
    (_, n) => later.filter((value) => value === n).length,
  );
  console.log(
    `servers end ${crashForm}: ${refusals.length} runs; crashing requests with 0, 1, 2, … later attempts: ` +
      `${counts.join(", ")}; runs with refusals of others: ${
        refusals.filter((n) => n > 0).join(", ") || "none"
      }`,
  );
}
