/** Servers that the platform lists as ready and that fail all or part of their requests, or flap. */
import test from "ava";
import { Effect } from "effect";
import type { IGatewayRequest } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import type { IFleetServer } from "../stand_ins/backend_fleet.ts";
import { CrashForm, RestartForm, ServerBehavior } from "../stand_ins/backend_fleet.ts";

const SERVERS = 4;
const ROUNDS = 60;
const ROUND_MS = 100;
/** Rounds before a server becomes faulty: the one that most requests would reach. */
const WARM_UP_ROUNDS = 5;
/** Share of repeatable requests that must be served while one of four servers is faulty. */
const MIN_SERVED_SHARE = 0.95;
/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

interface IOutcome {
  readonly servedShare: number;
  readonly runTwice: string[];
  readonly falseRefusals: string[];
  /** Requests that were sent to the server while it was faulty. */
  readonly faultyAttempts: number;
  /** Requests that reached the faulty server in the last third of the play. */
  readonly lateFaultyRuns: number;
  readonly lateRuns: number;
}

interface IScenario {
  readonly route: RoutePath;
  readonly behavior: ServerBehavior;
  /** Period after which the server changes between faulty and sound, in rounds; it stays faulty by default. */
  readonly flapRounds?: number;
}

function play({ route, behavior, flapRounds }: IScenario): Promise<IOutcome> {
  const opts = {
    instances: 3,
    serversPerService: SERVERS,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const service = route === RoutePath.Safe || route === RoutePath.Unsafe ? "plain" : "engines";
      const statuses = new Map<string, number>();
      let faulty: IFleetServer | undefined;
      for (let round = 0; round < ROUNDS; round++) {
        const isFaulty = flapRounds === undefined || Math.floor(round / flapRounds) % 2 === 0;
        if (round === WARM_UP_ROUNDS) faulty = busiestServer(cluster, service);
        if (faulty !== undefined) faulty.behavior = isFaulty ? behavior : ServerBehavior.Sound;
        for (const name of cluster.names) {
          const id = `${name}-${round}`;
          const request: IGatewayRequest = { route, id, caller: CallerKind.Program, body: "x", name: id };
          const sending = Effect.map(cluster.send(name, request), ({ status, isEnded }) => {
            statuses.set(id, isEnded ? status : 0);
          });
          yield* Effect.forkDetach(sending);
        }
        yield* cluster.advance(ROUND_MS);
      }
      yield* cluster.advance(4000);
      const runsOf = (id: string) => cluster.fleet.runs.filter(({ requestId }) => requestId === id).length;
      const late = cluster.fleet.runs.slice(-Math.floor(cluster.fleet.runs.length / 3));
      const served = [...statuses.values()].filter((status) => status === 200).length;
      return {
        servedShare: served / (ROUNDS * 3),
        runTwice: [...statuses.keys()].filter((id) => runsOf(id) > 1),
        falseRefusals: [...statuses].filter(([id, status]) => NOT_RUN_STATUSES.has(status) && runsOf(id) > 0)
          .map(([id]) => id),
        faultyAttempts: faulty?.faultyAttempts ?? 0,
        lateFaultyRuns: late.filter(({ serverId }) => serverId === faulty?.id).length,
        lateRuns: late.length,
      };
    }));
}

function busiestServer(cluster: GatewayCluster, service: string): IFleetServer {
  const servers = cluster.fleet.servers.filter((server) => server.service === service);
  return servers.reduce((busiest, server) => server.runCount > busiest.runCount ? server : busiest);
}

const FAULTS = Object.values(ServerBehavior).filter((behavior) => behavior !== ServerBehavior.Sound);

for (const behavior of FAULTS) {
  for (const flapRounds of [undefined, 3, 12]) {
    const title = flapRounds === undefined ? "" : `, changing every ${flapRounds} rounds`;
    test(`repeatable requests are served although a server is listed that is ${behavior}${title}`, async (t) => {
      for (const route of [RoutePath.Safe, RoutePath.ResumableStream]) {
        const { servedShare, falseRefusals, faultyAttempts } = await play({ route, behavior, flapRounds });
        t.true(faultyAttempts > 0);
        t.log({ route, servedShare });
        t.true(servedShare >= MIN_SERVED_SHARE, `${route}: ${servedShare}`);
        t.deepEqual(falseRefusals, []);
      }
    });

    test(`a once-only request runs once although a server is listed that is ${behavior}${title}`, async (t) => {
      const { runTwice, falseRefusals, faultyAttempts, lateFaultyRuns, lateRuns } = await play({
        route: RoutePath.Unsafe,
        behavior,
        flapRounds,
      });
      t.log({ faultyAttempts, lateFaultyRuns, lateRuns });
      t.true(faultyAttempts > 0);
      t.deepEqual(runTwice, []);
      t.deepEqual(falseRefusals, []);
    });
  }
}

for (const behavior of FAULTS) {
  test(`once-only requests reach a server that is ${behavior} no more often than the others`, async (t) => {
    const { lateFaultyRuns, lateRuns } = await play({ route: RoutePath.Unsafe, behavior });
    t.true(lateFaultyRuns <= lateRuns / SERVERS, `${lateFaultyRuns} of ${lateRuns}`);
  });
}

test("once-only requests that a server does not answer in time count as its failures", async (t) => {
  const opts = {
    instances: 1,
    serversPerService: SERVERS,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
  };
  await GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const { core } = cluster.gateways.get("g0")!;
      let silent: IFleetServer | undefined;
      for (let round = 0; round < 100; round++) {
        if (round === WARM_UP_ROUNDS) silent = busiestServer(cluster, "plain");
        if (silent !== undefined) silent.behavior = ServerBehavior.Silent;
        const req = { route: RoutePath.Unsafe, caller: CallerKind.None, name: `n-${round}` };
        for (let copy = 0; copy < 12; copy++) yield* Effect.forkDetach(cluster.send("g0", req));
        yield* cluster.advance(ROUND_MS);
      }
      const failing = core.loads.failureRates.failingAmong(core.directory.listAvailable("plain"));
      t.deepEqual([...failing.keys()], [silent?.id]);
    }));
});
