/** Callers of an instance that has lost its links to all servers are served through the other instances. */
import test from "ava";
import { Effect } from "effect";
import { CallerKind, distinctRequest, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { LinkCut } from "../harness/server_links.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

/** The users' rule counts first tries from this time after the cut began. */
const STABLE_MS = 3000;
const CUT_AT_MS = 1500;
const HEALED_AT_MS = 9500;
const PLAY_MS = 13_000;
const STEP_MS = 50;
/** The users' rule: how much less often first tries may be served at instances that are cut off. */
const MIN_SERVED_RATIO = 2 / 3;
/** Time limit for a refusal while it is known that no server can be reached: a few short calls to other instances. */
const MAX_REFUSAL_MS = 300;
/** Time that callers of the virtual cluster wait. */
const CALLER_TIMEOUT_MS = 2500;
/** The users' rule: how much longer than its caller waits a server may be given for a request. */
const MAX_EXCESS_TIME_MS = 500;
/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const EVENTS = ["request-quarantined", "servers-unreachable", "servers-reachable", "internal-error"];

/** What happens beside the cut; called before each step with the time since the start of the play. */
type Disruption = (cluster: GatewayCluster, elapsedMs: number) => Effect.Effect<void>;

interface IPlay {
  readonly form: LinkCut;
  readonly route?: RoutePath;
  readonly instances?: number;
  readonly cutOff?: number;
  readonly servers?: number;
  /** Requests per second of all instances together. */
  readonly demand?: number;
  readonly disrupt?: Disruption;
}

interface ITry {
  readonly id: string;
  readonly isCutOff: boolean;
  readonly sentAtMs: number;
  status: number;
  isWhole: boolean;
  tookMs: number;
}

interface IPlayed {
  readonly tries: readonly ITry[];
  readonly runsOf: ReadonlyMap<string, number>;
  /** Longest time by which a server's time limit for a request exceeds that of the caller, in ms. */
  readonly excessTimeMs: number;
  /** Events of the instances' logs by name. */
  readonly events: ReadonlyMap<string, number>;
}

function play(scenario: IPlay): Promise<IPlayed> {
  const { form, route = RoutePath.Safe, instances = 5, cutOff = 3, servers = 4, demand = 60 } = scenario;
  const opts = {
    instances,
    serversPerService: servers,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
  };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const tries: ITry[] = [];
      const startMs = cluster.nowMs;
      const cutNames = new Set(cluster.names.slice(0, cutOff));
      let sent = 0;
      for (let elapsedMs = 0; elapsedMs < PLAY_MS; elapsedMs += STEP_MS) {
        for (const name of cutNames) {
          const links = cluster.gateways.get(name)?.links;
          if (elapsedMs === CUT_AT_MS) links?.cut(form);
          if (elapsedMs === HEALED_AT_MS) links?.heal();
        }
        yield* scenario.disrupt?.(cluster, elapsedMs) ?? Effect.void;
        for (; sent < demand * elapsedMs / 1000; sent++) {
          const name = cluster.names[sent % cluster.names.length];
          const id = `${name}-${sent}`;
          const attempt: ITry = {
            id,
            isCutOff: cutNames.has(name),
            sentAtMs: cluster.nowMs - startMs,
            status: 0,
            isWhole: false,
            tookMs: Infinity,
          };
          tries.push(attempt);
          const sending = Effect.map(
            cluster.send(name, distinctRequest(route, id)),
            ({ status, isEnded, isAborted }) => {
              attempt.status = status;
              attempt.isWhole = isEnded && !isAborted;
              attempt.tookMs = cluster.nowMs - startMs - attempt.sentAtMs;
            },
          );
          yield* Effect.forkDetach(sending);
        }
        yield* cluster.advance(STEP_MS);
      }
      yield* cluster.advance(3500);
      const runsOf = new Map<string, number>();
      for (const { requestId } of cluster.fleet.runs) runsOf.set(requestId, (runsOf.get(requestId) ?? 0) + 1);
      const events = new Map(EVENTS.map((event) => [event, cluster.linesOf(event).length]));
      const sentAtMs = new Map(tries.map((attempt) => [attempt.id, startMs + attempt.sentAtMs]));
      const excessTimesMs = cluster.fleet.runs.map(({ requestId, atMs, timeoutMs }) =>
        atMs + timeoutMs - ((sentAtMs.get(requestId) ?? Infinity) + CALLER_TIMEOUT_MS)
      );
      return { tries, runsOf, events, excessTimeMs: Math.max(...excessTimesMs) };
    }));
}

function isServed({ status, isWhole }: ITry): boolean {
  return status === 200 && isWhole;
}

function servedShare(tries: readonly ITry[]): number {
  return tries.filter(isServed).length / Math.max(1, tries.length);
}

/** First tries that the users' rule counts. */
function countedTries({ tries }: IPlayed): ITry[] {
  return tries.filter(({ sentAtMs }) => sentAtMs >= CUT_AT_MS + STABLE_MS && sentAtMs < HEALED_AT_MS);
}

function testCut(title: string, scenario: IPlay): void {
  test.serial(title, async (t) => {
    const played = await play(scenario);
    const counted = countedTries(played);
    const cutOff = counted.filter((attempt) => attempt.isCutOff);
    const others = counted.filter((attempt) => !attempt.isCutOff);
    const failed = counted.filter((attempt) => !isServed(attempt));
    t.true(cutOff.length > 50, `${cutOff.length} counted`);
    t.true(
      servedShare(cutOff) >= MIN_SERVED_RATIO * servedShare(others),
      `${servedShare(cutOff)} to ${servedShare(others)}`,
    );
    t.true(failed.length <= 10 + counted.length / 50, `${failed.length} of ${counted.length} failed`);
    const afterwards = played.tries.filter(({ sentAtMs }) => sentAtMs >= HEALED_AT_MS + 1000);
    t.deepEqual(afterwards.filter((attempt) => !isServed(attempt)), []);
    for (const { id, status } of played.tries) {
      if (NOT_RUN_STATUSES.has(status)) t.is(played.runsOf.get(id) ?? 0, 0, `${id} was refused as not run`);
    }
    const { route = RoutePath.Safe } = scenario;
    if (route !== RoutePath.Safe && route !== RoutePath.ResumableTurn) {
      t.deepEqual([...played.runsOf].filter(([, runs]) => runs > 1), []);
    }
    t.true(played.excessTimeMs <= MAX_EXCESS_TIME_MS, `${played.excessTimeMs} ms too long`);
    t.is(played.events.get("internal-error"), 0);
    t.is(played.events.get("request-quarantined"), 0);
  });
}

const ROUTES = [
  RoutePath.Safe,
  RoutePath.Unsafe,
  RoutePath.Turn,
  RoutePath.ResumableTurn,
  RoutePath.KeptTurn,
];
for (const form of Object.values(LinkCut)) {
  for (const route of ROUTES) {
    testCut(`callers of instances whose connections ${form} are served, on ${route}`, { form, route });
  }
}

for (const route of [RoutePath.Safe, RoutePath.Turn, RoutePath.ResumableTurn]) {
  test.serial(`a request that is repeated on connections that are reset is not suspected, on ${route}`, async (t) => {
    const opts = {
      instances: 2,
      serversPerService: 8,
      crashForm: CrashForm.BeforeHead,
      restartForm: RestartForm.SameId,
    };
    const reasons = await GatewayCluster.run(opts, (cluster) =>
      Effect.gen(function* () {
        const send = (name: string, content: string) =>
          cluster.send(name, {
            route,
            name: content,
            caller: CallerKind.Program,
            callerId: content,
            affinityKey: content,
            body: "x",
          });
        // Opens a connection to each server.
        for (let index = 0; index < 60; index++) {
          yield* Effect.forkDetach(send("g0", `warm-up-${index}`));
          yield* cluster.advance(10);
        }
        yield* cluster.advance(500);
        cluster.gateways.get("g0")!.links.cut(LinkCut.Reset);
        const repeat = Effect.forEach([1, 2, 3, 4, 5, 6], () => send("g0", "repeated"), { discard: true });
        yield* Effect.forkDetach(repeat);
        yield* cluster.advance(3000);
        yield* Effect.forkDetach(send("g1", "repeated"));
        yield* cluster.advance(1000);
        return cluster.linesOf("request").map(({ reason }) => reason);
      }));
    t.is(reasons.filter((reason) => reason === "crashing-request").length, 0);
    t.is(reasons.length, 67);
  });
}

for (const [instances, cutOff] of [[11, 7], [73, 44], [195, 117]]) {
  testCut(`of ${instances} instances ${cutOff} are cut off`, {
    form: LinkCut.Hang,
    instances,
    cutOff,
    servers: 8,
    demand: 200,
    route: RoutePath.Unsafe,
  });
}

testCut("all instances but one are cut off", {
  form: LinkCut.Hang,
  cutOff: 4,
  route: RoutePath.ResumableTurn,
});

const restartForwarders: Disruption = (cluster, elapsedMs) =>
  elapsedMs % 2500 === 0 && elapsedMs > CUT_AT_MS && elapsedMs < HEALED_AT_MS
    ? cluster.restart(elapsedMs % 5000 === 0 ? "g3" : "g4")
    : Effect.void;

const refuseStore: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    if (elapsedMs === 1000) {
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
    }
  });

const crashServers: Disruption = (cluster, elapsedMs) => {
  const server = cluster.fleet.servers.find(({ id, isUp }) => isUp && id.endsWith("2"));
  return elapsedMs % 4000 === 0 && server !== undefined
    ? Effect.asVoid(Effect.forkDetach(cluster.fleet.crash(server)))
    : Effect.void;
};

const limitServers: Disruption = (cluster, elapsedMs) =>
  Effect.sync(() => {
    if (elapsedMs !== 500) return;
    for (const server of cluster.fleet.servers) if (server.id.endsWith("0")) server.limitPerSecond = 2;
  });

testCut("instances that forward are restarted", { form: LinkCut.Hang, disrupt: restartForwarders });
testCut("the store refuses all meanwhile", {
  form: LinkCut.Hang,
  route: RoutePath.Unsafe,
  disrupt: refuseStore,
});
testCut("servers crash meanwhile", { form: LinkCut.Reset, disrupt: crashServers });
testCut("servers state limits meanwhile", {
  form: LinkCut.Hang,
  route: RoutePath.Unsafe,
  disrupt: limitServers,
});

test.serial("forwarded requests count for the limit of a server", async (t) => {
  const LIMIT = 2;
  const arrivals: number[] = [];
  const disrupt: Disruption = (cluster, elapsedMs) =>
    Effect.sync(() => {
      limitServers(cluster, elapsedMs);
      for (const server of cluster.fleet.servers) if (server.id === "plain0") server.limitPerSecond = LIMIT;
      if (elapsedMs !== HEALED_AT_MS) return;
      const runs = cluster.fleet.runs.filter(({ serverId }) => serverId === "plain0");
      arrivals.push(...runs.map(({ atMs }) => cluster.nowMs - atMs));
    });
  await play({ form: LinkCut.Hang, route: RoutePath.Unsafe, disrupt });
  const sinceCutMs = HEALED_AT_MS - CUT_AT_MS;
  const duringCut = arrivals.filter((agoMs) => agoMs < sinceCutMs - STABLE_MS).length;
  const allowed = (sinceCutMs - STABLE_MS) / 1000 * LIMIT * 1.5 + 5;
  t.true(duringCut > 0 && duringCut <= allowed, `${duringCut} of ${allowed}`);
});

test.serial("a server that has said that it leaves gets no forwarded request", async (t) => {
  let late = -1;
  const disrupt: Disruption = (cluster, elapsedMs) =>
    Effect.sync(() => {
      const leaver = cluster.fleet.servers.find(({ id }) => id === "plain1")!;
      if (elapsedMs === CUT_AT_MS + 2000) leaver.isLeaving = true;
      const sinceMs = cluster.nowMs - (elapsedMs - (CUT_AT_MS + 2000)) + 2000;
      if (elapsedMs !== HEALED_AT_MS) return;
      late = cluster.fleet.runs.filter(({ serverId, atMs }) =>
        serverId === "plain1" && atMs > sinceMs
      ).length;
    });
  const { tries } = await play({ form: LinkCut.Hang, route: RoutePath.Unsafe, disrupt });
  t.is(late, 0);
  t.true(
    tries.some((attempt) =>
      attempt.isCutOff && isServed(attempt) && attempt.sentAtMs > CUT_AT_MS + STABLE_MS
    ),
  );
});

test.serial("when all instances are cut off, requests end truthfully and are not passed around", async (t) => {
  const { tries, runsOf } = await play({ form: LinkCut.Hang, cutOff: 5, route: RoutePath.Unsafe });
  const during = tries.filter(({ sentAtMs }) =>
    sentAtMs >= CUT_AT_MS + 1500 && sentAtMs < HEALED_AT_MS - 3500
  );
  t.true(during.length > 100);
  for (const { id, status, tookMs } of during) {
    t.true(NOT_RUN_STATUSES.has(status), `${id}: ${status}`);
    t.is(runsOf.get(id) ?? 0, 0);
    t.true(tookMs <= MAX_REFUSAL_MS, `${id}: refused after ${tookMs} ms`);
  }
  const afterwards = tries.filter(({ sentAtMs }) => sentAtMs >= HEALED_AT_MS + 1000);
  t.deepEqual(afterwards.filter((attempt) => !isServed(attempt)), []);
});
