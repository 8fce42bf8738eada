/**
 * Requests that crash servers and return in new programs, on few servers: they are refused after three
 * crashes, and requests that are sent once beside them are not.
 */
import test from "ava";
import { Effect } from "effect";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const INSTANCES = 4;
const CRASH_LIMIT = 3;
/** Attempts are counted from this time after the third crash, in ms. */
const STABLE_MS = 3000;
/** Attempts after that time that the users' rule permits. */
const MAX_LATER_ATTEMPTS = 3;
/** Time from the arrival of a crashing request to the crash. */
const CRASH_DELAY_MS = 30;
const RETURN_INTERVAL_MS = 4000;
const RETURNS = 5;
/** Time between two other requests, each of which is sent once, with one retry. */
const OTHERS_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 30;

interface IScenario {
  readonly route: RoutePath;
  readonly servers: number;
  /** Number of different requests that crash servers at the same time. */
  readonly crashing: number;
  readonly crashForm?: CrashForm;
  /** Runs before each return. */
  readonly disrupt?: (cluster: GatewayCluster, round: number) => Effect.Effect<void>;
}

interface IOutcome {
  /** Attempts of each crashing request that the rule counts. */
  readonly laterAttempts: number[];
  readonly refusedOthers: number;
  readonly servedOthers: number;
}

/** Sends a request, and once more through another instance if it fails; returns the last response's text. */
function sendWithRetry(
  cluster: GatewayCluster,
  { via, route, name, callerId }: { via: number; route: RoutePath; name: string; callerId: string },
): Effect.Effect<{ readonly isServed: boolean; readonly isRefused: boolean }> {
  return Effect.gen(function* () {
    let isRefused = false;
    for (let attempt = 0; attempt < 2; attempt++) {
      const { names } = cluster;
      const req = { route, name, callerId, caller: CallerKind.Program, body: "x" };
      const { status, text } = yield* cluster.send(names[(via + attempt) % names.length], req);
      if (status === 200) return { isServed: true, isRefused };
      isRefused ||= text.includes("crashing-request");
      yield* Effect.sleep(RETRY_DELAY_MS);
    }
    return { isServed: false, isRefused };
  });
}

function play(
  { route, servers, crashing, crashForm = CrashForm.BeforeHead, disrupt }: IScenario,
): Promise<IOutcome> {
  const opts = {
    instances: INSTANCES,
    crashForm,
    restartForm: RestartForm.NewId,
    serversPerService: servers,
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const others = { served: 0, refused: 0 };
      for (let round = 0; round < RETURNS; round++) {
        yield* disrupt?.(cluster, round) ?? Effect.void;
        for (let elapsedMs = 0; elapsedMs < RETURN_INTERVAL_MS; elapsedMs += OTHERS_INTERVAL_MS) {
          const index = elapsedMs / OTHERS_INTERVAL_MS;
          if (index < crashing) {
            const callerId = `caller-${round}-${index}`;
            const req = { via: round + index, route, name: `crashing-${index}`, callerId };
            yield* Effect.forkDetach(sendWithRetry(cluster, req));
          }
          const name = `other-${round}-${index}`;
          const other = sendWithRetry(cluster, { via: index, route, name, callerId: name });
          const counted = Effect.map(other, ({ isServed, isRefused }) => {
            if (isServed) others.served += 1;
            if (isRefused) others.refused += 1;
          });
          yield* Effect.forkDetach(counted);
          yield* cluster.advance(OTHERS_INTERVAL_MS);
        }
      }
      const laterAttempts = Array.from({ length: crashing }, (_, index) => {
        const runs = cluster.fleet.runs.filter(({ target }) => target.endsWith(`crashing-${index}`));
        const thirdCrashMs = (runs[CRASH_LIMIT - 1]?.atMs ?? Infinity) + CRASH_DELAY_MS;
        return runs.filter(({ atMs }) => atMs > thirdCrashMs + STABLE_MS).length;
      });
      return { laterAttempts, servedOthers: others.served, refusedOthers: others.refused };
    }));
}

function testReturns(title: string, scenario: IScenario): void {
  test(title, async (t) => {
    const { laterAttempts, servedOthers, refusedOthers } = await play(scenario);
    t.log({ laterAttempts, servedOthers, refusedOthers });
    t.true(Math.max(...laterAttempts) <= MAX_LATER_ATTEMPTS, `later attempts: ${laterAttempts.join(", ")}`);
    t.is(refusedOthers, 0);
    t.true(servedOthers > 0);
  });
}

for (const route of [RoutePath.Safe, RoutePath.Unsafe, RoutePath.ResumableStream, RoutePath.Turn]) {
  for (const servers of [4, 5, 8]) {
    for (const crashing of [1, 2]) {
      const title = `crashing requests that return in new programs are refused: ${crashing} on ${servers}`;
      testReturns(`${title} servers, ${route}`, { route, servers, crashing });
    }
  }
}

/** Requests that are sent again and again beside a crashing one; each returns with it. */
const RETURNING_OTHERS = 24;
const LOCKSTEP_INTERVAL_MS = 2000;
const LOCKSTEP_ROUNDS = 7;

function refusedBesideCrashing(route: RoutePath, seed: number): Promise<string[]> {
  const opts = {
    instances: INSTANCES,
    crashForm: CrashForm.BeforeHead,
    restartForm: seed % 2 === 0 ? RestartForm.NewId : RestartForm.SameId,
    serversPerService: 4,
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const refused: string[] = [];
      const send = (via: number, name: string) => {
        const req = { route, name, caller: CallerKind.Program, body: "x" };
        const sending = cluster.send(cluster.names[via % INSTANCES], req);
        return Effect.forkDetach(Effect.map(sending, ({ text }) => {
          if (name.startsWith("other") && text.includes("crashing-request")) refused.push(name);
        }));
      };
      for (let round = 0; round < LOCKSTEP_ROUNDS; round++) {
        yield* send(round * 7 + seed, `crashing-${seed}-0`);
        for (let index = 0; index < RETURNING_OTHERS; index++) yield* send(index, `other-${seed}-${index}`);
        yield* cluster.advance(LOCKSTEP_INTERVAL_MS);
      }
      return refused;
    }));
}

for (const route of [RoutePath.Unsafe, RoutePath.ResumableStream, RoutePath.Turn]) {
  test(`requests that return beside a crashing one on four servers are not refused, ${route}`, async (t) => {
    for (const seed of [0, 1, 2]) t.deepEqual(await refusedBesideCrashing(route, seed), [], `seed ${seed}`);
  });
}
