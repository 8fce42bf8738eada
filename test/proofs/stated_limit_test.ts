/**
 * Faults of limits that servers state: requests waited for one permit after the other and were refused shortly before
 * their deadlines, and a limit that was lowered was exceeded by permits that had been granted before.
 */
import test from "ava";
import { Effect } from "effect";
import { distinctRequest, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm, ServerBehavior } from "../stand_ins/backend_fleet.ts";

const DEADLINE_MS = 4000;
const DEMAND_PER_S = 40;
const PLAY_MS = 12_000;
const STEP_MS = 50;
const WINDOW_MS = 4000;
/** Time within which a request is refused that no server could receive in time; a permit is awaited for up to 1 s. */
const REFUSAL_MS = 300;
const LONGEST_WAIT_MS = 1000;
const LOWERED_AT_MS = 4000;

interface IAnswer {
  readonly status: number;
  readonly tookMs: number;
  readonly retryAfterS: number | undefined;
}

interface IPlay {
  readonly route: RoutePath;
  readonly runMs: number;
  readonly servers: number;
  /** Limit of a server by the time since the start. */
  readonly limitAt: (index: number, elapsedMs: number) => number;
  readonly behavior?: ServerBehavior;
}

interface IPlayed {
  readonly answers: readonly IAnswer[];
  /** Times since the start at which each server received requests. */
  readonly arrivalsMs: readonly (readonly number[])[];
}

function play({ route, runMs, servers, limitAt, behavior = ServerBehavior.Sound }: IPlay): Promise<IPlayed> {
  const opts = {
    instances: 1,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
    serversPerService: servers,
    routeTimeoutMs: 5000,
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const { fleet } = cluster;
      fleet.bodyMs = runMs / 2;
      for (const server of fleet.servers) server.headMs = runMs / 2;
      const service = route === RoutePath.Safe || route === RoutePath.Unsafe ? "plain" : "engines";
      const limited = fleet.servers.filter((server) => server.service === service);
      const answers: IAnswer[] = [];
      const startMs = cluster.nowMs;
      let sent = 0;
      for (let elapsedMs = 0; elapsedMs < PLAY_MS + DEADLINE_MS; elapsedMs += STEP_MS) {
        limited.forEach((server, index) => {
          server.limitPerSecond = limitAt(index, elapsedMs);
          server.behavior = behavior;
        });
        for (; sent < DEMAND_PER_S * Math.min(PLAY_MS, elapsedMs) / 1000; sent++) {
          const sentAtMs = cluster.nowMs;
          const req = { ...distinctRequest(route, `r${sent}`), deadlineMs: DEADLINE_MS };
          const sending = Effect.map(cluster.send("g0", req), ({ status, headers }) => {
            const retryAfter = headers.indexOf("retry-after");
            const retryAfterS = retryAfter < 0 ? undefined : Number(headers[retryAfter + 1]);
            answers.push({ status, tookMs: cluster.nowMs - sentAtMs, retryAfterS });
          });
          yield* Effect.forkDetach(sending);
        }
        yield* cluster.advance(STEP_MS);
      }
      const arrivalsMs = limited.map(({ id }) =>
        fleet.runs.filter(({ serverId }) => serverId === id).map(({ atMs }) => atMs - startMs)
      );
      return { answers, arrivalsMs };
    }));
}

for (const route of [RoutePath.Safe, RoutePath.Unsafe, RoutePath.ResumableStream]) {
  for (const runMs of [5, 120]) {
    test.serial(`servers that all state 5 to 10 a second: served or refused at once, on ${route}, ${runMs} ms`, async (t) => {
      for (const servers of [1, 3]) {
        const { answers } = await play({ route, runMs, servers, limitAt: (index) => 5 + index % 6 });
        const refused = answers.filter(({ status }) => status !== 200);
        t.true(
          refused.length > 0 &&
            refused.every(({ status, retryAfterS }) => status === 503 && retryAfterS! > 0),
        );
        t.deepEqual(refused.filter(({ tookMs }) => tookMs > REFUSAL_MS), []);
      }
    });

    test.serial(`a limit that is lowered voids permits that are not valid yet, on ${route}, ${runMs} ms`, async (t) => {
      for (const servers of [1, 2]) {
        const limitAt = (index: number, elapsedMs: number) =>
          index === 0 && elapsedMs >= LOWERED_AT_MS ? 4 : 20;
        const { answers, arrivalsMs: [lowered] } = await play({ route, runMs, servers, limitAt });
        const toldAtMs = LOWERED_AT_MS + runMs + 100;
        const countFrom = (fromMs: number, lengthMs: number) =>
          lowered.filter((atMs) => atMs >= fromMs && atMs < fromMs + lengthMs).length;
        // The users' rule, from the moment at which a response has stated the new limit.
        const worst = Math.max(
          ...lowered.filter((atMs) => atMs >= toldAtMs).map((atMs) => countFrom(atMs, WINDOW_MS)),
        );
        t.true(worst <= 1.5 * 4 * WINDOW_MS / 1000 + 5, `${worst} in 4 s`);
        const first = countFrom(toldAtMs, 1000);
        t.true(first <= 1.5 * 4 + 5, `${first} in the first second`);
        t.true(countFrom(8000, WINDOW_MS) >= 0.8 * 4 * WINDOW_MS / 1000);
        const late = answers.filter(({ status, tookMs }) =>
          status !== 200 && tookMs > LONGEST_WAIT_MS + REFUSAL_MS
        );
        t.deepEqual(late, []);
      }
    });
  }

  test.serial(`a request that servers decline waits once for a permit, not once for each server, on ${route}`, async (t) => {
    const behavior = ServerBehavior.Declines;
    const { answers } = await play({ route, runMs: 5, servers: 8, limitAt: () => 2, behavior });
    t.deepEqual(answers.filter(({ status, retryAfterS }) => status !== 503 || !(retryAfterS! > 0)), []);
    const longestMs = Math.max(...answers.map(({ tookMs }) => tookMs));
    t.true(longestMs <= LONGEST_WAIT_MS + REFUSAL_MS, `refused after ${longestMs} ms`);
  });
}
