/** With organisations configured, only requests with a key in force reach servers, and organisations share nothing. */
import { createHash } from "node:crypto";
import type { ExecutionContext } from "ava";
import test from "ava";
import { Deferred, Effect, Fiber } from "effect";
import type {
  IClusterConfiguration,
  IGatewayRequest,
  IWireOrganisation,
} from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm, ServerBehavior } from "../stand_ins/backend_fleet.ts";
import type { RecordingSink } from "../stand_ins/recording_sink.ts";

/** Longest time between the store's acknowledgement of a configuration and its effect. */
const APPLY_MS = 3000;
const STEP_MS = 50;
/** Time that a stream takes. */
const STREAM_MS = 300;
const ACME_KEY = "acme-key-5Wq0";
const ACME_NEW_KEY = "acme-key-new-8Zt1";
const GLOBEX_KEY = "globex-key-7Lm2";
const UNKNOWN_KEY = "unknown-key-3Rx4";
const ACME: IWireOrganisation = { Name: "acme", ApiKeys: [ACME_KEY], Priority: 1 };
const GLOBEX: IWireOrganisation = { Name: "globex", ApiKeys: [GLOBEX_KEY] };
const OPTIONS = {
  instances: 2,
  crashForm: CrashForm.BeforeHead,
  restartForm: RestartForm.SameId,
  organisations: [ACME, GLOBEX],
};

function run(
  body: (cluster: GatewayCluster) => Effect.Effect<void>,
  opts: IClusterConfiguration & { serversPerService?: number } = {},
): Promise<void> {
  return GatewayCluster.run({ ...OPTIONS, ...opts }, body);
}

/** Sends a request and advances the clock until it has been answered. */
function send(
  cluster: GatewayCluster,
  req: Partial<IGatewayRequest>,
  { via = "g0" } = {},
): Effect.Effect<RecordingSink> {
  return Effect.gen(function* () {
    const defaults = { route: RoutePath.Safe, name: "n", caller: CallerKind.None };
    const answered = yield* Deferred.make<RecordingSink>();
    const sending = cluster.send(via, { ...defaults, ...req });
    yield* Effect.forkChild(Effect.flatMap(sending, (sink) => Deferred.succeed(answered, sink)));
    do yield* cluster.advance(STEP_MS); while (!(yield* Deferred.isDone(answered)));
    return yield* Deferred.await(answered);
  });
}

function turn(name: string, req: Partial<IGatewayRequest>): Partial<IGatewayRequest> {
  return {
    route: RoutePath.KeptTurn,
    caller: CallerKind.Program,
    name,
    id: name,
    body: `input of ${name} `,
    ...req,
  };
}

function reasonOf({ text }: RecordingSink): string {
  return (JSON.parse(text) as { title: string }).title;
}

function valuesOf(headers: readonly string[], name: string): string[] {
  return headers.filter((_, index) => index % 2 === 1 && headers[index - 1].toLowerCase() === name);
}

function assertRefused(
  t: ExecutionContext,
  sink: RecordingSink,
  [status, reason]: readonly [status: number, reason: string],
): void {
  t.deepEqual([sink.status, reasonOf(sink)], [status, reason]);
}

test("a request without a known key gets 401, and no server receives any of it", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const forms: [string[], string][] = [
        [[], "key-missing"],
        [["Authorization", "Bearer"], "key-missing"],
        [["Authorization", `Basic ${ACME_KEY}`], "key-missing"],
        [["Authorization", ACME_KEY], "key-missing"],
        [["Authorization", `Bearer ${UNKNOWN_KEY}`], "key-unknown"],
        [["authorization", `Bearer ${ACME_KEY.toUpperCase()}`], "key-unknown"],
        [["Authorization", `Bearer ${ACME_KEY}, Bearer ${GLOBEX_KEY}`], "key-unknown"],
        [["Authorization", `Bearer ${ACME_KEY}`, "AUTHORIZATION", `Bearer ${GLOBEX_KEY}`], "key-missing"],
        [["X-Api-Key", ACME_KEY], "key-missing"],
      ];
      for (const [headers, reason] of forms) {
        for (
          const route of [RoutePath.Safe, RoutePath.Unsafe, RoutePath.KeptTurn, "/nowhere/" as RoutePath]
        ) {
          const sink = yield* send(cluster, { route, headers, body: "secret input" });
          assertRefused(t, sink, [401, reason]);
          t.deepEqual(valuesOf(sink.headers, "www-authenticate"), ["Bearer"]);
        }
      }
      t.is(cluster.fleet.runs.length, 0);
      const line = cluster.linesOf("request").find(({ reason }) => reason === "key-unknown")!;
      t.is(line.keyDigest, createHash("sha256").update(UNKNOWN_KEY).digest("hex").slice(0, 8));
      t.is(line.version, 1);
    })
  ));

test("the server receives the organisation's name, and neither the key nor a name that the caller states", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const forged = [
        "Ragwortcleat-Tenant",
        "globex",
        "RAGWORTCLEAT-TENANT",
        "globex",
        "ragwortcleat-tenant",
        "",
      ];
      for (const form of ["Bearer", "bearer", "BEARER  "]) {
        const headers = ["authORIZATION", `${form} ${ACME_KEY} `, ...forged];
        t.is((yield* send(cluster, { headers })).status, 200);
        const sent = cluster.fleet.runs.at(-1)!.headers;
        t.deepEqual(valuesOf(sent, "ragwortcleat-tenant"), ["acme"]);
        t.deepEqual(valuesOf(sent, "authorization"), []);
      }
      const [line] = cluster.linesOf("request");
      t.is(line.organisation, "acme");
      t.regex(
        cluster.gateways.get("g0")!.core.metrics.render(),
        /organisation_requests_total\{organisation="acme"/,
      );
    })
  ));

test("a public route needs no key, and a known one counts", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const keys = [[undefined, []], [UNKNOWN_KEY, []], [ACME_KEY, ["acme"]]] as const;
      for (const [apiKey, names] of keys) {
        const req = { apiKey, headers: ["ragwortcleat-TENANT", "globex"] };
        t.is((yield* send(cluster, req)).status, 200);
        const sent = cluster.fleet.runs.at(-1)!.headers;
        t.deepEqual(valuesOf(sent, "ragwortcleat-tenant"), [...names]);
        t.deepEqual(valuesOf(sent, "authorization"), []);
      }
      t.is((yield* send(cluster, { route: RoutePath.Unsafe })).status, 401);
    }), { publicRoutes: [RoutePath.Safe] }));

test("a key is refused once a configuration without it is applied, and a new one works", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const rotated = { ...ACME, ApiKeys: [ACME_KEY, ACME_NEW_KEY] };
      const stages: [IWireOrganisation[], number, number][] = [
        [[ACME, GLOBEX], 200, 401],
        [[rotated, GLOBEX], 200, 200],
        [[{ ...ACME, ApiKeys: [ACME_NEW_KEY] }, GLOBEX], 401, 200],
        [[{ Name: "acme" }, GLOBEX], 401, 401],
        [[], 401, 401],
      ];
      for (const [organisations, oldStatus, newStatus] of stages) {
        cluster.publishConfiguration({ organisations });
        yield* cluster.advance(APPLY_MS);
        for (const via of cluster.names) {
          t.is((yield* send(cluster, { apiKey: ACME_KEY }, { via })).status, oldStatus);
          t.is((yield* send(cluster, { apiKey: ACME_NEW_KEY }, { via })).status, newStatus);
        }
        const status = organisations.length > 0 ? 200 : 401;
        t.is((yield* send(cluster, { apiKey: GLOBEX_KEY })).status, status, "the other organisation");
      }
    })
  ));

test("a configuration with an unusable organisation is not applied", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      cluster.publishConfiguration({ organisations: [GLOBEX, { Name: "" }] });
      yield* cluster.advance(APPLY_MS);
      t.is((yield* send(cluster, { apiKey: ACME_KEY })).status, 200);
      t.is(cluster.linesOf("configuration-unreadable").length, cluster.names.length);
    })
  ));

/** Has requests wait for permits while a configuration is applied; returns them and the sends of those meanwhile. */
function sendWaiting(cluster: GatewayCluster, organisations: IWireOrganisation[]) {
  return Effect.gen(function* () {
    const [server] = cluster.fleet.servers.filter(({ service }) => service === "plain");
    server.limitPerSecond = 4;
    yield* send(cluster, { apiKey: ACME_KEY });
    yield* cluster.advance(1000);
    const requests = Array.from({ length: 4 }, (_, index) => {
      const req = {
        route: RoutePath.Safe,
        caller: CallerKind.None,
        name: `waiting-${index}`,
        apiKey: ACME_KEY,
      };
      return cluster.send("g0", req);
    });
    const sending = yield* Effect.forkChild(Effect.all(requests, { concurrency: "unbounded" }));
    yield* cluster.advance(20);
    cluster.publishConfiguration({ organisations });
    yield* cluster.advance(150);
    const { version } = cluster.gateways.get("g0")!.core.routes;
    const sentBefore = cluster.fleet.runs.length;
    yield* cluster.advance(3000);
    return { sinks: yield* Fiber.join(sending), version, sentAfter: cluster.fleet.runs.length - sentBefore };
  });
}

test("a request that waits for a permit is not sent once its key is revoked", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const { sinks, version, sentAfter } = yield* sendWaiting(cluster, [GLOBEX]);
      const refused = sinks.filter(({ status, text }) =>
        status !== 200 && !text.includes("backends-limited")
      );
      t.is(version, 2);
      t.true(refused.length > 0, "requests must have waited");
      for (const sink of refused) assertRefused(t, sink, [401, "key-unknown"]);
      t.is(sentAfter, 0);
      t.is(cluster.linesOf("send-denied").length, refused.length);
    }), { serversPerService: 1 }));

test("a request that waits while its key moves to another organisation is sent for neither", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const moved = { ...GLOBEX, ApiKeys: [GLOBEX_KEY, ACME_KEY] };
      const { sinks, sentAfter } = yield* sendWaiting(cluster, [{ Name: "acme" }, moved]);
      const refused = sinks.filter(({ status, text }) =>
        status !== 200 && !text.includes("backends-limited")
      );
      t.true(refused.length > 0, "requests must have waited");
      // The caller's next try belongs to the new organisation, so that a final refusal would be wrong.
      for (const sink of refused) assertRefused(t, sink, [503, "organisation-changed"]);
      t.is(sentAfter, 0);
      t.is((yield* send(cluster, { apiKey: ACME_KEY })).status, 200);
      t.deepEqual(valuesOf(cluster.fleet.runs.at(-1)!.headers, "ragwortcleat-tenant"), ["globex"]);
    }), { serversPerService: 1 }));

test("a request that may have run is not sent again once its key is revoked, and its outcome is unknown", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      for (const server of cluster.fleet.servers) server.behavior = ServerBehavior.Silent;
      const req = { route: RoutePath.Safe, name: "n", caller: CallerKind.None, apiKey: ACME_KEY };
      const sending = yield* Effect.forkChild(cluster.send("g0", req));
      yield* cluster.advance(STEP_MS);
      cluster.publishConfiguration({ organisations: [GLOBEX] });
      yield* cluster.advance(APPLY_MS);
      // 401 would promise that nothing has run.
      assertRefused(t, yield* Fiber.join(sending), [502, "outcome-unknown"]);
      t.is(cluster.fleet.runs.length, 1);
      t.is(cluster.linesOf("send-denied").length, 1);
    })
  ));

test("a stream that a server has begun continues after its key is revoked", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const req = { route: RoutePath.Stream, name: "s", caller: CallerKind.None, apiKey: ACME_KEY };
      const sending = yield* Effect.forkChild(cluster.send("g0", req));
      yield* cluster.advance(50);
      t.is(cluster.fleet.runs.length, 1);
      cluster.publishConfiguration({ organisations: [GLOBEX] });
      yield* cluster.advance(STREAM_MS);
      const sink = yield* Fiber.join(sending);
      t.deepEqual([sink.status, sink.isEnded, sink.isAborted], [200, true, false]);
    })
  ));

test("an instance that is cut off from the store answers 503 for a key that it does not know", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const gateway = cluster.gateways.get("g0")!;
      for (const other of cluster.gateways.values()) other.isStoreRefused = true;
      cluster.publishConfiguration({ organisations: [{ ...ACME, ApiKeys: [ACME_NEW_KEY] }] });
      yield* cluster.advance(APPLY_MS);
      assertRefused(t, yield* send(cluster, { apiKey: ACME_NEW_KEY }), [503, "key-unknown"]);
      assertRefused(t, yield* send(cluster, {}), [503, "key-missing"]);
      t.is((yield* send(cluster, { apiKey: GLOBEX_KEY })).status, 200, "known by the configuration in force");
      gateway.isStoreRefused = false;
      yield* cluster.advance(APPLY_MS);
      t.is((yield* send(cluster, { apiKey: ACME_NEW_KEY })).status, 200);
      assertRefused(t, yield* send(cluster, { apiKey: GLOBEX_KEY }), [401, "key-unknown"]);
    })
  ));

test("an instance whose store does not answer answers 503 for a key that it does not know", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      cluster.store.readKeyChanges = () => Effect.never;
      // The reads that had begun end within their wait.
      yield* cluster.advance(APPLY_MS);
      assertRefused(t, yield* send(cluster, { apiKey: ACME_NEW_KEY }), [503, "key-unknown"]);
    })
  ));

test("an instance that restarts without the store serves by a peer's older snapshot, and never goes back to it", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      for (const gateway of cluster.gateways.values()) gateway.isStoreRefused = true;
      cluster.publishConfiguration({ organisations: [{ ...ACME, ApiKeys: [ACME_NEW_KEY] }] });
      yield* cluster.restart("g0", { isStoreRefused: true });
      assertRefused(t, yield* send(cluster, { apiKey: UNKNOWN_KEY }), [
        503,
        "no-configuration",
      ]);
      yield* cluster.advance(APPLY_MS);
      t.is((yield* send(cluster, { apiKey: ACME_KEY })).status, 200);
      assertRefused(t, yield* send(cluster, { apiKey: ACME_NEW_KEY }), [503, "key-unknown"]);
      const gateway = cluster.gateways.get("g0")!;
      gateway.isStoreRefused = false;
      yield* cluster.advance(APPLY_MS);
      gateway.isStoreRefused = true;
      yield* cluster.advance(APPLY_MS);
      t.is(gateway.core.routes.version, 2);
      t.is((yield* send(cluster, { apiKey: ACME_NEW_KEY })).status, 200);
      assertRefused(t, yield* send(cluster, { apiKey: ACME_KEY }), [503, "key-unknown"]);
    })
  ));

test("a previous turn of another organisation gets 404, and the own one works", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      t.is((yield* send(cluster, turn("t1", { apiKey: ACME_KEY }))).status, 200);
      t.is((yield* send(cluster, turn("t2", { apiKey: ACME_KEY, previousTurn: "t1" }))).status, 200);
      // g0 has the turns in its cache, g1 loads them from their owners.
      for (const via of cluster.names) {
        const runs = cluster.fleet.runs.length;
        for (const previousTurn of ["t1", "t2"]) {
          const req = turn(`${via}-of-${previousTurn}`, { apiKey: GLOBEX_KEY, previousTurn });
          assertRefused(t, yield* send(cluster, req, { via }), [404, "turn-not-owned"]);
        }
        t.is(cluster.fleet.runs.length, runs, "nothing is sent");
        const own = turn(`${via}-own`, { apiKey: ACME_KEY, previousTurn: "t2" });
        t.is((yield* send(cluster, own, { via })).status, 200);
        const { body } = cluster.fleet.runs.at(-1)!;
        t.regex(Buffer.from(body).toString(), /^input of t1 .*input of t2 .*input of g\d-own /s);
      }
    })
  ));

test("two organisations that use the same turn id each continue their own turn", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      for (const apiKey of [ACME_KEY, GLOBEX_KEY]) {
        const req = { ...turn("same", { apiKey }), body: `input with ${apiKey.slice(0, 4)} ` };
        t.is((yield* send(cluster, req)).status, 200);
      }
      for (const via of cluster.names) {
        for (const apiKey of [ACME_KEY, GLOBEX_KEY]) {
          const req = turn(`${via}-${apiKey}`, { apiKey, previousTurn: "same" });
          t.is((yield* send(cluster, req, { via })).status, 200);
          t.true(
            Buffer.from(cluster.fleet.runs.at(-1)!.body).toString().startsWith(
              `input with ${apiKey.slice(0, 4)}`,
            ),
          );
        }
      }
    })
  ));

test("turns from before organisations were configured can be continued, those of callers without a key cannot", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      t.is((yield* send(cluster, turn("old", {}))).status, 200);
      cluster.publishConfiguration({ organisations: [ACME], publicRoutes: [RoutePath.KeptTurn] });
      yield* cluster.advance(APPLY_MS);
      t.is((yield* send(cluster, turn("new", { apiKey: ACME_KEY, previousTurn: "old" }))).status, 200);
      t.is((yield* send(cluster, turn("public", {}))).status, 200);
      const req = turn("next", { apiKey: ACME_KEY, previousTurn: "public" });
      assertRefused(t, yield* send(cluster, req), [404, "turn-not-owned"]);
      const publicNext = turn("public-next", { previousTurn: "new" });
      assertRefused(t, yield* send(cluster, publicNext), [404, "turn-not-owned"]);
    }), { organisations: undefined }));

test("a program id that two organisations use has two budgets", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const statuses: number[] = [];
      for (const apiKey of [ACME_KEY, ACME_KEY, GLOBEX_KEY, GLOBEX_KEY]) {
        const req = turn(`t${statuses.length}`, { apiKey, callerId: "same", budgetTokens: 80 });
        statuses.push((yield* send(cluster, req)).status);
      }
      t.deepEqual(statuses, [200, 402, 200, 402]);
    })
  ));

test("a stream is not resumed for another organisation", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const req = { route: RoutePath.ResumableStream, caller: CallerKind.Program, body: "x", name: "s" };
      t.is((yield* send(cluster, { ...req, id: "first", apiKey: ACME_KEY })).status, 200);
      for (const resumes of ["first", undefined]) {
        for (const [apiKey, status] of [[GLOBEX_KEY, 503], [ACME_KEY, 200]] as const) {
          const sink = yield* send(cluster, { ...req, apiKey, resumes, lastEventId: "1" });
          t.is(sink.status, status, `${apiKey} ${resumes}`);
        }
      }
    })
  ));

test("an organisation's priority comes before the route's in the rank on an engine", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const ranks: string[] = [];
      const late = ["Ragwortcleat-Finish-Ms", "0"];
      for (const [apiKey, headers] of [[ACME_KEY, []], [ACME_KEY, late], [GLOBEX_KEY, []]] as const) {
        yield* send(cluster, turn(`t-${ranks.length}`, { apiKey, headers }));
        ranks.push(...valuesOf(cluster.fleet.runs.at(-1)!.headers, "ragwortcleat-urgency"));
      }
      // Priority 1 of the organisation, also if late, against the default priority 5 of the route.
      t.deepEqual(ranks, ["6", "6", "9"]);
    })
  ));

test("no key is in a log line, a server's request, a message between instances or a record of theirs", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const recorded: string[] = [];
      cluster.recordTraffic = (traffic) => recorded.push(JSON.stringify(traffic, toText));
      const lines = [...cluster.gateways.values()].map((gateway) => gateway.lines);
      yield* cluster.restart("g1", { isStoreRefused: true });
      lines.push(cluster.gateways.get("g1")!.lines);
      yield* cluster.advance(APPLY_MS);
      for (const apiKey of [ACME_KEY, UNKNOWN_KEY]) {
        for (const via of cluster.names) {
          yield* send(cluster, { apiKey }, { via });
          yield* send(cluster, turn(`${via}-1-${apiKey.length}`, { apiKey }), { via });
          yield* send(cluster, turn(`${via}-2`, { apiKey, previousTurn: `${via}-1-${apiKey.length}` }), {
            via,
          });
        }
      }
      cluster.publishConfiguration({ organisations: [GLOBEX] });
      yield* cluster.advance(APPLY_MS);
      yield* send(cluster, { apiKey: ACME_KEY });
      const sent = cluster.fleet.runs.map((sentRun) => JSON.stringify(sentRun, toText));
      const all = [...recorded, ...sent, ...lines.flat()].join("\n");
      t.true(recorded.some((text) => text.includes("ApiKeyDigests")), "a configuration was passed on");
      t.true(sent.length > 0 && all.includes("acme"));
      for (const key of [ACME_KEY, GLOBEX_KEY, UNKNOWN_KEY]) {
        for (const form of [key, Buffer.from(key).toString("base64"), Buffer.from(key).toString("hex")]) {
          t.false(all.includes(form), form);
        }
      }
    })
  ));

test("without organisations a request reaches the server byte for byte as its caller sent it", (t) =>
  run((cluster) =>
    Effect.gen(function* () {
      const headers = ["X-Mixed-Case", "1", "x-mixed-case", "2", "Cookie", "c=1"];
      t.is((yield* send(cluster, { id: "id", apiKey: UNKNOWN_KEY, headers, body: "b" })).status, 200);
      const { headers: sent, body, serverId } = cluster.fleet.runs.at(-1)!;
      t.deepEqual(sent, [
        ...["Host", "h", "Ragwortcleat-Request-Id", "id", "Content-Type", "text/plain"],
        ...["Authorization", `Bearer ${UNKNOWN_KEY}`, ...headers],
        ...[
          "Ragwortcleat-Deadline-Ms",
          "2500",
          "Ragwortcleat-Expect-Instance",
          serverId,
          "Content-Length",
          "1",
        ],
      ]);
      t.is(Buffer.from(body).toString(), "b");
      t.is(cluster.linesOf("request")[0].keyDigest, undefined);
    }), { organisations: undefined }));

/** Shows bytes as text in JSON, so that it can be searched. */
function toText(this: Record<string, unknown>, key: string, value: unknown): unknown {
  const raw = this[key];
  if (raw instanceof Uint8Array) return Buffer.from(raw).toString("latin1");
  return typeof value === "bigint" ? String(value) : value;
}
