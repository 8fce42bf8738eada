/** Hedged requests of whole gateways, each together with another event. */
import test from "ava";
import { Effect, Fiber } from "effect";
import type { IGatewayClusterOptions, IGatewayRequest } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import type { IFleetServer } from "../stand_ins/backend_fleet.ts";
import { CrashForm, RestartForm, ServerBehavior } from "../stand_ins/backend_fleet.ts";
import type { RecordingSink } from "../stand_ins/recording_sink.ts";

const HEDGING = { maxExtraSends: 0.2, minDelayMs: 20 };
const WARM_UP_REQUESTS = 60;
const ROUTES = [RoutePath.Safe, RoutePath.ResumableStream];
/** Time of a sound server to the head of a response, and to the end. */
const HEAD_MS = 40;
const RUN_MS = 80;
/** Time after which a request of a route is hedged once the route's latency is known. */
const DELAY_MS: Partial<Record<RoutePath, number>> = {
  [RoutePath.Safe]: RUN_MS + 1,
  [RoutePath.ResumableStream]: HEAD_MS + 1,
};
const SLOW_MS = 600;

interface IPlay {
  readonly cluster: GatewayCluster;
  /** The server that the request is sent to first. */
  readonly first: IFleetServer;
  readonly others: readonly IFleetServer[];
  /** Starts the request, which names the first server by its affinity. */
  send(req?: Partial<IGatewayRequest>): Effect.Effect<Fiber.Fiber<RecordingSink>>;
}

interface IPlayOptions extends Partial<IGatewayClusterOptions> {
  readonly route: RoutePath;
  readonly caller?: CallerKind;
}

function requestOf({ route, caller = CallerKind.AffinityKey }: IPlayOptions): IGatewayRequest {
  return { route, caller, name: "x", callerId: "key", id: "hedged" };
}

/** Has an instance learn the latency of a route, and finds out which server the request is sent to. */
function play<A>(opts: IPlayOptions, run: (play: IPlay) => Effect.Effect<A>): Promise<A> {
  const defaults = { instances: 1, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
  const cluster = { serversPerService: 3, settings: { hedging: HEDGING }, ...defaults, ...opts };
  return GatewayCluster.run(cluster, (cluster) =>
    Effect.gen(function* () {
      const req = requestOf(opts);
      for (let index = 0; index < WARM_UP_REQUESTS; index++) {
        const warmUp = { ...req, id: `w${index}`, callerId: `w${index}`, name: `w${index}` };
        yield* Effect.forkDetach(cluster.send("g0", warmUp));
        yield* cluster.advance(10);
      }
      yield* cluster.advance(300);
      // Another target, as the tries of one stream keep to one software version.
      yield* Effect.forkDetach(cluster.send("g0", { ...req, id: "probe", name: "probe" }));
      yield* cluster.advance(300);
      const firstId = cluster.fleet.runs.at(-1)?.serverId;
      const first = cluster.fleet.servers.find(({ id }) => id === firstId)!;
      const others = cluster.fleet.servers.filter((server) =>
        server !== first && server.service === first.service
      );
      const send = (overrides: Partial<IGatewayRequest> = {}) =>
        Effect.forkDetach(cluster.send("g0", { ...req, ...overrides }));
      return yield* run({ cluster, first, others, send });
    }));
}

function runsOf({ fleet }: GatewayCluster): string[] {
  return fleet.runs.filter(({ requestId }) => requestId === "hedged").map(({ serverId }) => serverId);
}

function serverOf({ fleet }: GatewayCluster, serverId: string): IFleetServer {
  return fleet.servers.find(({ id }) => id === serverId)!;
}

function endOf(cluster: GatewayCluster): Record<string, unknown> {
  const lines = [...cluster.linesOf("request"), ...cluster.linesOf("caller-left")];
  return lines.find(({ request }) => request === "hedged")!;
}

function openConnections({ fleet }: GatewayCluster): number {
  return fleet.servers.reduce((sum, { open }) => sum + open.size, 0);
}

/** What all plays must leave behind: no open connection, and no load that is still counted. */
function leftovers(cluster: GatewayCluster): unknown[] {
  const loads = [...cluster.gateways.values()].flatMap(({ core }) => [...core.loads.localLoads()]);
  return [openConnections(cluster), ...loads];
}

function counter(cluster: GatewayCluster, name: string): number {
  const text = cluster.gateways.get("g0")!.core.metrics.render();
  return Number(
    text.split("\n").find((line) => line.startsWith(`ragwortcleat_${name} `))?.split(" ")[1] ?? 0,
  );
}

for (const route of ROUTES) {
  test(`${route}: a slow request is answered by a second server, and the first send is closed at once`, async (t) => {
    await play({ route }, ({ cluster, first, send }) =>
      Effect.gen(function* () {
        first.headMs = SLOW_MS;
        const sending = yield* send();
        yield* cluster.advance(DELAY_MS[route]! + RUN_MS + 20);
        t.deepEqual(first.cancelled, ["hedged"]);
        const sink = yield* Fiber.join(sending);
        t.is(sink.status, 200);
        t.true(sink.isEnded);
        const [firstId, hedgeBackend] = runsOf(cluster);
        t.is(firstId, first.id);
        t.not(hedgeBackend, first.id);
        const { hedgeWon, hedgedAfterMs, backend, runs } = endOf(cluster);
        t.deepEqual({ hedgeWon, hedgedAfterMs, backend, runs }, {
          hedgeWon: true,
          hedgedAfterMs: DELAY_MS[route],
          backend: hedgeBackend,
          runs: 2,
        });
        t.is(counter(cluster, 'hedges_total{outcome="sent"}'), 1);
        t.is(counter(cluster, 'hedges_total{outcome="won"}'), 1);
        t.deepEqual(leftovers(cluster), [0]);
      }));
  });

  test(`${route}: the second send is cancelled if the first answers after all`, async (t) => {
    await play({ route }, ({ cluster, first, others, send }) =>
      Effect.gen(function* () {
        first.headMs = HEAD_MS + DELAY_MS[route]!;
        for (const other of others) other.headMs = SLOW_MS;
        const sending = yield* send();
        yield* cluster.advance(300);
        t.is((yield* Fiber.join(sending)).status, 200);
        t.is(runsOf(cluster).length, 2);
        t.deepEqual(others.flatMap(({ cancelled }) => cancelled), ["hedged"]);
        const { hedgeWon, backend } = endOf(cluster);
        t.deepEqual({ hedgeWon, backend }, { hedgeWon: false, backend: first.id });
        t.is(counter(cluster, 'hedges_total{outcome="cancelled"}'), 1);
        t.deepEqual(leftovers(cluster), [0]);
      }));
  });

  test(`${route}: two answers at the same moment make one response, of one software version`, async (t) => {
    for (const tenths of [-2, -1, 0, 1, 2]) {
      await play(
        { route, softwareVersions: ["v1", "v2", "v3"] },
        ({ cluster, first, send }) =>
          Effect.gen(function* () {
            first.headMs = HEAD_MS + DELAY_MS[route]! + tenths / 10;
            const sending = yield* send();
            yield* cluster.advance(400);
            const { text, isEnded } = yield* Fiber.join(sending);
            const { backend, softwareVersion } = endOf(cluster);
            t.is(text, `id: 1\ndata: ${softwareVersion}\n\nid: 2\ndata: ${softwareVersion}\n\n`);
            t.true(isEnded);
            t.is(serverOf(cluster, String(backend)).softwareVersion, String(softwareVersion));
            t.is(runsOf(cluster).length, 2);
            const origins = cluster.gateways.get("g0")!.core.streams.ownStreams()
              .filter(({ attemptId }) => attemptId === "hedged").map((stream) => stream.softwareVersion);
            t.deepEqual(origins, route === RoutePath.Safe ? [] : [softwareVersion]);
            t.deepEqual(leftovers(cluster), [0]);
          }),
      );
    }
  });

  test(`${route}: a server that dies during a hedged request does not end it, whichever of the two it is`, async (t) => {
    for (const dying of [0, 1]) {
      await play({ route }, ({ cluster, first, others, send }) =>
        Effect.gen(function* () {
          for (const server of [first, ...others]) server.headMs = 300;
          const sending = yield* send();
          yield* cluster.advance(DELAY_MS[route]! + 20);
          const id = runsOf(cluster)[dying];
          yield* Effect.forkDetach(cluster.fleet.crash(serverOf(cluster, id)));
          yield* cluster.advance(600);
          t.is((yield* Fiber.join(sending)).status, 200);
          t.is(runsOf(cluster).length, 2);
          t.is(endOf(cluster).runs, 2);
          // The lost attempt counts as evidence, and the answer of the other server refutes it.
          t.is(cluster.linesOf("strike-added").length, 1);
          t.is(cluster.linesOf("strike-withdrawn").length, 1);
          t.deepEqual(leftovers(cluster), [0]);
        }));
    }
  });

  test(`${route}: if both servers die, there is no third run, and the outcome is unknown`, async (t) => {
    await play({ route }, ({ cluster, first, others, send }) =>
      Effect.gen(function* () {
        for (const server of [first, ...others]) server.headMs = 300;
        const sending = yield* send();
        yield* cluster.advance(DELAY_MS[route]! + 20);
        for (const server of cluster.fleet.servers) yield* Effect.forkDetach(cluster.fleet.crash(server));
        yield* cluster.advance(600);
        t.is((yield* Fiber.join(sending)).status, 502);
        t.is(runsOf(cluster).length, 2);
        t.is(endOf(cluster).runs, 2);
        t.deepEqual(leftovers(cluster), [0]);
      }));
  });

  test(`${route}: a caller that leaves closes both connections`, async (t) => {
    await play({ route }, ({ cluster, first, others, send }) =>
      Effect.gen(function* () {
        for (const server of [first, ...others]) server.headMs = SLOW_MS;
        yield* send({ leaveAfterMs: DELAY_MS[route]! + 30 });
        yield* cluster.advance(DELAY_MS[route]! + 20);
        t.is(openConnections(cluster), 2);
        yield* cluster.advance(20);
        t.deepEqual([first, ...others].flatMap(({ cancelled }) => cancelled), ["hedged", "hedged"]);
        const { event, hedgeWon, hedgeBackend } = endOf(cluster);
        t.deepEqual({ event, hedgeWon, hedgeBackend }, {
          event: "caller-left",
          hedgeWon: false,
          hedgeBackend: runsOf(cluster)[1],
        });
        t.deepEqual(leftovers(cluster), [0]);
      }));
  });

  test(`${route}: an error is relayed only if the other server fails as well`, async (t) => {
    for (const faulty of ["first", "second", "both"]) {
      await play({ route }, ({ cluster, first, others, send }) =>
        Effect.gen(function* () {
          first.headMs = HEAD_MS + DELAY_MS[route]! + (faulty === "second" ? 30 : -30);
          const failing = faulty === "first" ? [first] : faulty === "second" ? others : [first, ...others];
          for (const server of failing) {
            server.behavior = ServerBehavior.Errors;
            server.runCount = 0;
          }
          const sending = yield* send();
          yield* cluster.advance(500);
          t.is((yield* Fiber.join(sending)).status, faulty === "both" ? 500 : 200, faulty);
          t.is(runsOf(cluster).length, 2);
          t.is(endOf(cluster).runs, 2);
          t.deepEqual(leftovers(cluster), [0]);
        }));
    }
  });

  test(`${route}: an instance that leaves its group completes a hedged request`, async (t) => {
    await play({ route }, ({ cluster, first, send }) =>
      Effect.gen(function* () {
        first.headMs = SLOW_MS;
        const sending = yield* send();
        yield* cluster.advance(DELAY_MS[route]! + 20);
        yield* Effect.forkDetach(cluster.gateways.get("g0")!.core.leave());
        yield* cluster.advance(300);
        t.is((yield* Fiber.join(sending)).status, 200);
        t.deepEqual(leftovers(cluster), [0]);
      }));
  });

  test(`${route}: no request is hedged to a server whose limit is used up, or that is leaving`, async (t) => {
    const changes: ((others: readonly IFleetServer[]) => void)[] = [
      (others) => others.forEach((server) => server.limitPerSecond = 0.01),
      (others) => others.forEach((server) => server.isLeaving = true),
    ];
    for (const change of changes) {
      await play({ route }, ({ cluster, first, others, send }) =>
        Effect.gen(function* () {
          change(others);
          // All servers answer, so that their statements are known and their permits are used up.
          for (let index = 0; index < 60; index++) {
            yield* send({ id: `s${index}`, callerId: `s${index}` });
            yield* cluster.advance(20);
          }
          first.headMs = 300;
          const sending = yield* send();
          yield* cluster.advance(600);
          t.is((yield* Fiber.join(sending)).status, 200);
          t.deepEqual(runsOf(cluster), [first.id]);
          t.is(counter(cluster, 'hedges_denied_total{reason="no-server"}'), 1);
          t.deepEqual(leftovers(cluster), [0]);
        }));
    }
  });

  test(`${route}: the second server is in another zone if there is one`, async (t) => {
    for (const remote of [0, 1]) {
      await play({ route }, ({ cluster, first, others, send }) =>
        Effect.gen(function* () {
          others[remote].zone = "y";
          yield* cluster.advance(2500);
          first.headMs = SLOW_MS;
          const sending = yield* send();
          yield* cluster.advance(300);
          t.is((yield* Fiber.join(sending)).status, 200);
          t.deepEqual(runsOf(cluster), [first.id, others[remote].id]);
        }));
    }
  });
}

test("a second server that accepts no connection changes nothing, and counts as no run", async (t) => {
  await play({ route: RoutePath.Safe }, ({ cluster, first, others, send }) =>
    Effect.gen(function* () {
      first.headMs = 300;
      for (const other of others) other.behavior = ServerBehavior.Unreachable;
      const sending = yield* send();
      yield* cluster.advance(600);
      t.is((yield* Fiber.join(sending)).status, 200);
      t.deepEqual(runsOf(cluster), [first.id]);
      t.is(endOf(cluster).runs, 1);
      t.is(counter(cluster, 'hedges_total{outcome="sent"}'), 1);
      t.deepEqual(leftovers(cluster), [0]);
    }));
});

test("a caller that leaves within the stream of the second server is logged with that server and its events", async (t) => {
  const route = RoutePath.ResumableStream;
  await play({ route }, ({ cluster, first, send }) =>
    Effect.gen(function* () {
      first.headMs = SLOW_MS;
      yield* send({ leaveAfterMs: DELAY_MS[route]! + HEAD_MS + 20 });
      yield* cluster.advance(300);
      const { event, events, backend, hedgeWon } = endOf(cluster);
      const winner = runsOf(cluster)[1];
      t.deepEqual({ event, events, backend, hedgeWon }, {
        event: "caller-left",
        events: 1,
        backend: winner,
        hedgeWon: true,
      });
      t.deepEqual(serverOf(cluster, winner).cancelled, ["hedged"]);
      t.deepEqual(leftovers(cluster), [0]);
    }));
});

test("a stream that breaks after a hedged request goes on at the winner's software version", async (t) => {
  const route = RoutePath.ResumableStream;
  const softwareVersions = ["v1", "v2"];
  const configured = { route, softwareVersions, serversPerService: 6, crashForm: CrashForm.BeforeHead };
  await play(configured, ({ cluster, first, send }) =>
    Effect.gen(function* () {
      first.headMs = SLOW_MS;
      const sending = yield* send();
      yield* cluster.advance(DELAY_MS[route]! + HEAD_MS + 20);
      const winner = serverOf(cluster, runsOf(cluster)[1]);
      yield* Effect.forkDetach(cluster.fleet.crash(winner));
      yield* cluster.advance(400);
      // The route permits two runs, which the hedged request has used up: the caller resumes the stream.
      t.true((yield* Fiber.join(sending)).isAborted);
      const resuming = yield* send({ id: "resumed", lastEventId: "1", resumes: "hedged" });
      yield* cluster.advance(400);
      const { text } = yield* Fiber.join(resuming);
      t.is(text, `id: 2\ndata: ${winner.softwareVersion}\n\n`);
    }));
});

test("what may not run twice is never hedged: once-only requests, turns, resumed streams, suspects", async (t) => {
  const cases: readonly [RoutePath, Partial<IGatewayRequest>][] = [
    [RoutePath.Unsafe, {}],
    [RoutePath.ResumableTurn, { caller: CallerKind.Program }],
    [RoutePath.Stream, {}],
    [RoutePath.ResumableStream, { lastEventId: "1", resumes: "probe" }],
  ];
  for (const [route, overrides] of cases) {
    await play(
      { route, caller: overrides.caller ?? CallerKind.AffinityKey },
      ({ cluster, first, send }) =>
        Effect.gen(function* () {
          for (const server of cluster.fleet.servers) server.headMs = 300;
          const sending = yield* send(overrides);
          yield* cluster.advance(900);
          t.is((yield* Fiber.join(sending)).status, 200, route);
          t.deepEqual(runsOf(cluster), [first.id], route);
          t.is(counter(cluster, 'hedges_total{outcome="sent"}'), 0);
        }),
    );
  }
  await play({ route: RoutePath.Safe }, ({ cluster, first, send }) =>
    Effect.gen(function* () {
      const { core } = cluster.gateways.get("g0")!;
      for (const server of cluster.fleet.servers) server.headMs = 300;
      const separation = { crash: "c", position: 0 };
      core.crashes.separationOf = () => separation;
      yield* send();
      yield* cluster.advance(900);
      t.is(runsOf(cluster).length, 1);
      t.is(counter(cluster, 'hedges_total{outcome="sent"}'), 0);
      t.truthy(first);
    }));
});

test("no retry is hedged, and a request without a hedged send is retried as before", async (t) => {
  await play({ route: RoutePath.Safe }, ({ cluster, first, others, send }) =>
    Effect.gen(function* () {
      first.behavior = ServerBehavior.Errors;
      first.runCount = 0;
      for (const other of others) other.headMs = 300;
      const sending = yield* send();
      yield* cluster.advance(900);
      t.is((yield* Fiber.join(sending)).status, 200);
      t.is(runsOf(cluster).length, 2);
      t.is(counter(cluster, 'hedges_total{outcome="sent"}'), 0);
    }));
});

test("requests of all instances together stay within the share when all servers become slow at once", async (t) => {
  const maxExtraSends = 0.02;
  const settings = { hedging: { ...HEDGING, maxExtraSends } };
  await play({ route: RoutePath.Safe, instances: 3, settings }, ({ cluster }) =>
    Effect.gen(function* () {
      const sendAll = (count: number, phase: string) =>
        Effect.gen(function* () {
          for (let index = 0; index < count; index++) {
            const id = `${phase}${index}`;
            const req = { ...requestOf({ route: RoutePath.Safe }), id, callerId: id };
            yield* Effect.forkDetach(cluster.send(cluster.names[index % 3], req));
            yield* cluster.advance(10);
          }
        });
      yield* sendAll(180, "sound");
      for (const server of cluster.fleet.servers) server.headMs = 250;
      yield* sendAll(240, "slow");
      yield* cluster.advance(1000);
      const hedged = cluster.linesOf("request-hedged").length;
      const sent = cluster.fleet.runs.length - hedged;
      t.true(hedged > 0);
      t.true(hedged <= sent * maxExtraSends, `${hedged} of ${sent}`);
    }));
});

test("with hedging off, which is the default, a slow request is served as before", async (t) => {
  for (const settings of [{}, { hedging: {} }, { hedging: { maxExtraSends: 0 } }]) {
    for (const route of ROUTES) {
      await play({ route, settings }, ({ cluster, first, send }) =>
        Effect.gen(function* () {
          first.headMs = 300;
          const sending = yield* send();
          yield* cluster.advance(600);
          t.is((yield* Fiber.join(sending)).status, 200);
          t.deepEqual(runsOf(cluster), [first.id]);
          t.is(cluster.linesOf("request-hedged").length, 0);
          t.deepEqual(Object.keys(endOf(cluster)).filter((name) => name.startsWith("hedge")), []);
          t.false(cluster.gateways.get("g0")!.core.metrics.render().includes("hedge"));
        }));
    }
  }
});
