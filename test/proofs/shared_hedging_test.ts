/** Hedged requests of many instances with little traffic each: shared samples, and one limit for all. */
import { create, toBinary } from "@bufbuild/protobuf";
import test from "ava";
import { Clock, Effect } from "effect";
import { LoadDigestSchema } from "../../src/base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { SeededRandom } from "../demo/random.ts";
import type { IGateway } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import type { IFleetServer } from "../stand_ins/backend_fleet.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

const INSTANCES = 12;
const INTERVAL_MS = 300;
const CLOCK_STEP_MS = 10;
const SHARE = 0.05;
const MAX_KEPT = 5;
/** Service times are log-normal. */
const MEDIAN_SERVICE_MS = 80;
const SIGMA = 0.4;
const SLOW_FACTOR = 5;
const SEED = 7;

interface IPlay {
  readonly cluster: GatewayCluster;
  /** All instances that were started. */
  readonly gateways: readonly IGateway[];
  readonly latenciesMs: number[];
  /** Servers that take 5 times as long as the others. */
  readonly slow: Set<string>;
  /** Has each instance send one request in each interval. */
  run(durationMs: number): Effect.Effect<void>;
}

function play<A>(maxExtraSends: number, body: (play: IPlay) => Effect.Effect<A>): Promise<A> {
  const opts = {
    instances: INSTANCES,
    serversPerService: 6,
    crashForm: CrashForm.BeforeHead,
    restartForm: RestartForm.SameId,
    settings: { hedging: { maxExtraSends, minDelayMs: 20 } },
  };
  return GatewayCluster.run(opts, (cluster) => {
    const latenciesMs: number[] = [];
    const slow = new Set([plainServers(cluster)[0].id]);
    const random = new SeededRandom(SEED);
    cluster.fleet.bodyMs = 1;
    cluster.fleet.work = ({ id }) =>
      Effect.suspend(() => Effect.sleep(drawServiceMs(random) * (slow.has(id) ? SLOW_FACTOR : 1)));
    let sent = 0;
    const send = (name: string) =>
      Effect.gen(function* () {
        const startedAtMs = yield* Clock.currentTimeMillis;
        const id = `s${sent++}`;
        const sink = yield* cluster.send(name, {
          route: RoutePath.Safe,
          caller: CallerKind.None,
          name: id,
          id,
        });
        if (sink.status === 200) latenciesMs.push((yield* Clock.currentTimeMillis) - startedAtMs);
      });
    const run = (durationMs: number) =>
      Effect.gen(function* () {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CLOCK_STEP_MS) {
          for (let index = 0; index < INSTANCES; index++) {
            if (elapsedMs % INTERVAL_MS !== index * 20) continue;
            if (cluster.gateways.has(`g${index}`)) yield* Effect.forkDetach(send(`g${index}`));
          }
          yield* cluster.advance(CLOCK_STEP_MS);
        }
      });
    return body({ cluster, gateways: [...cluster.gateways.values()], latenciesMs, slow, run });
  });
}

function plainServers({ fleet }: GatewayCluster): IFleetServer[] {
  return fleet.servers.filter(({ service }) => service === "plain");
}

function drawServiceMs(random: SeededRandom): number {
  const uniform = () => (random.nextInt(1_000_000) + 1) / 1_000_001;
  const normal = Math.sqrt(-2 * Math.log(uniform())) * Math.cos(2 * Math.PI * uniform());
  return MEDIAN_SERVICE_MS * Math.exp(SIGMA * normal);
}

/** Hedged requests and requests of all instances, also of those that were killed meanwhile. */
function sendsOf({ fleet }: GatewayCluster, gateways: readonly IGateway[]): { hedged: number; sent: number } {
  const lines = gateways.flatMap((gateway) => gateway.lines);
  return {
    hedged: lines.filter((line) => (JSON.parse(line) as { event: string }).event === "request-hedged").length,
    sent: new Set(fleet.runs.map(({ requestId }) => requestId)).size,
  };
}

function denialsOf({ gateways }: GatewayCluster, reason: string): number {
  const pattern = new RegExp(`hedges_denied_total\\{reason="${reason}"\\} (\\d+)`);
  return [...gateways.values()].reduce(
    (sum, { core }) => sum + Number(pattern.exec(core.metrics.render())?.[1] ?? 0),
    0,
  );
}

function ownerOf({ gateways }: GatewayCluster): string {
  const { core } = gateways.get("g0")!;
  return core.group.ownerOf(core.owned.sliceOf("plain")).split(":")[0];
}

function quantileOf(latenciesMs: readonly number[], quantile: number): number {
  return latenciesMs.toSorted((a, b) => a - b)[Math.floor(latenciesMs.length * quantile)];
}

test("12 instances with one request in 300 ms hedge within the share, and p99 falls with one slow server", async (t) => {
  const [off, on] = await Promise.all(
    [0, SHARE].map((share) =>
      play(share, ({ cluster, gateways, latenciesMs, run }) =>
        Effect.gen(function* () {
          yield* run(30_000);
          yield* cluster.advance(1000);
          return {
            ...sendsOf(cluster, gateways),
            count: latenciesMs.length,
            p99: quantileOf(latenciesMs, 0.99),
          };
        }))
    ),
  );
  t.log(off, on);
  t.is(off.hedged, 0);
  t.true(on.hedged > 0);
  t.true(on.hedged <= on.sent * SHARE + MAX_KEPT, `${on.hedged} of ${on.sent}`);
  t.true(on.p99 < off.p99, `${on.p99} < ${off.p99}`);
  t.is(on.count, off.count);
});

test("without the owner nothing is hedged, and the next one begins with an empty bucket", async (t) => {
  await play(SHARE, ({ cluster, gateways, run }) =>
    Effect.gen(function* () {
      yield* run(15_000);
      t.true(sendsOf(cluster, gateways).hedged > 0);
      t.is(denialsOf(cluster, "owner"), 0);
      const owner = ownerOf(cluster);
      yield* cluster.kill(owner);
      const atKill = sendsOf(cluster, gateways);
      yield* run(3000);
      t.true(denialsOf(cluster, "owner") > 0);
      t.is(sendsOf(cluster, gateways).hedged, atKill.hedged);
      // The store's group forgets a lost member after its session timeout.
      yield* cluster.store.leave("slices", `${owner}:3`);
      yield* run(15_000);
      t.not(ownerOf(cluster), owner);
      const { hedged, sent } = sendsOf(cluster, gateways);
      t.log(atKill, { hedged, sent });
      t.true(hedged > atKill.hedged, "hedging goes on with the new owner");
      t.true(hedged <= sent * SHARE + MAX_KEPT, `${hedged} of ${sent}`);
    }));
});

test("while the store refuses all instances, the limit holds and requests are answered", async (t) => {
  await play(SHARE, ({ cluster, gateways, latenciesMs, run }) =>
    Effect.gen(function* () {
      yield* run(12_000);
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
      yield* run(15_000);
      yield* cluster.advance(1000);
      const { hedged, sent } = sendsOf(cluster, gateways);
      t.log({ hedged, sent });
      t.true(hedged > 0);
      t.true(hedged <= sent * SHARE + MAX_KEPT, `${hedged} of ${sent}`);
      t.is(latenciesMs.length, sent);
    }));
});

test("a phase in which all servers are slow at once stays within the limit of all instances together", async (t) => {
  await play(SHARE, ({ cluster, gateways, slow, run }) =>
    Effect.gen(function* () {
      slow.clear();
      yield* run(12_000);
      for (const { id } of plainServers(cluster)) slow.add(id);
      yield* run(8000);
      yield* cluster.advance(1000);
      const { hedged, sent } = sendsOf(cluster, gateways);
      t.log({ hedged, sent, limited: denialsOf(cluster, "limit") });
      t.true(hedged > 0);
      t.true(denialsOf(cluster, "limit") > 0);
      t.true(hedged <= sent * SHARE + MAX_KEPT, `${hedged} of ${sent}`);
    }));
});

test("with hedging off no samples are kept or read, and a digest without samples has the bytes of earlier builds", async (t) => {
  await play(0, ({ cluster, run }) =>
    Effect.gen(function* () {
      yield* run(600);
      const traffic: unknown[] = [];
      cluster.recordTraffic = (message) => traffic.push(message);
      yield* run(600);
      for (const { core } of cluster.gateways.values()) {
        t.is(core.hedging, undefined);
        t.is(core.hedgeLimit, undefined);
      }
      const types = traffic.flat().map((message) =>
        (message as { $typeName?: string } | undefined)?.$typeName
      );
      t.false(types.some((type) => type?.includes("Hedge")));
    }));
  const digest = { instance: "g0", loads: [{ backendId: "b", running: 3 }], isCutOff: true };
  const bytes = toBinary(LoadDigestSchema, create(LoadDigestSchema, { ...digest, latencySamples: [] }));
  // Fields 1, 3 and 10 as builds without samples write them.
  t.is(Buffer.from(bytes).toString("hex"), "0a0267301a050a016210035001");
});
