import test from "ava";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { RecordingSink } from "../../../test/stand_ins/recording_sink.ts";
import { UNLIMITED_PERMITS } from "../../../test/stand_ins/unlimited_permits.ts";
import { makeResponseBody } from "../../../test/stand_ins/response_body.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import { PromptCacheIndex } from "../../routing/common/prompt_cache_index.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { RouteKind, RouteTable } from "../../services/routes/common/route_table.ts";
import { BackendDispatcher } from "./backend_dispatcher.ts";
import { CrashMonitor } from "./crash_monitor.ts";
import type { IOpaqueRequest, IRequestCodec, IUpstream } from "./opaque_request.ts";
import { AttemptOutcome, RelayedCall } from "./relayed_call.ts";
import { RequestIdentity } from "./request_identity.ts";
import { ResponseMemoryPool } from "./response_limits.ts";

const ENTRY: IBackendEntry = {
  id: "b",
  service: "s",
  host: "h",
  port: 1,
  zone: "z",
  slots: 4,
  isDraining: false,
  startedAtMs: 1,
};

const REQUEST: IOpaqueRequest = {
  id: "r",
  method: "GET",
  host: "h",
  target: "/",
  headers: [],
  body: new Uint8Array(),
  timeoutMs: 1000,
  lastEventId: undefined,
  affinityKey: undefined,
  prompt: undefined,
  program: undefined,
};

const ROUTE: IRoute = {
  name: "r",
  host: "h",
  prefix: "/",
  kind: RouteKind.Unsafe,
  services: [{ service: "s", weight: 1 }],
  timeoutMs: 1000,
  targetMs: 200,
  priority: 0,
  attempts: 2,
  isSticky: false,
  isResumable: false,
  keepsHistory: false,
  retainMs: 0,
};

const HEAD = {
  status: 200,
  headers: [],
  requestId: "r",
  isNotRun: false,
  isSigned: true,
  isLeaving: false,
};

function makeDispatcher(send: IUpstream["send"], now: () => number) {
  const logger = new NullLogger();
  const leaving = new LeavingServers(logger, now);
  const directory = new BackendDirectory(logger, { now, leaving });
  directory.put(ENTRY);
  const loads = new BackendLoadTracker(now);
  const codec: IRequestCodec = {
    readRequest: () => REQUEST,
    dispatchHeaders: () => [],
    readResponse: () => HEAD,
  };
  const metrics = new Metrics();
  const dispatcher = new BackendDispatcher({
    codec,
    routes: new RouteTable(),
    directory,
    loads,
    caches: new PromptCacheIndex(),
    crashes: new CrashMonitor({ logger, metrics, now }),
    streams: { record: () => {} },
    permits: UNLIMITED_PERMITS,
    isConfigurationStale: () => false,
    upstream: {
      onDidAnnounceLeaving: () => ({ dispose: () => {} }),
      onDidStateLimit: () => ({ dispose: () => {} }),
      send,
    },
    responseLimits: { maxResponseBytes: 1000, maxEventBytes: 100 },
    responseMemory: new ResponseMemoryPool(1000),
    logger,
    metrics,
    zone: "z",
    random: () => 0,
  });
  return { dispatcher, directory, leaving, loads };
}

function makeCall(route: IRoute, now: number): RelayedCall {
  const identity = RequestIdentity.of(REQUEST);
  return new RelayedCall(REQUEST, { identity, route, service: "s", now, configurationVersion: 1 });
}

/** Chooses a server, changes the directory, and sends; returns the outcome and the number of requests sent. */
async function sendAfter(change: (directory: BackendDirectory, leaving: LeavingServers) => void) {
  let sent = 0;
  const send = () => {
    sent += 1;
    return Effect.succeed({ head: HEAD, body: makeResponseBody(() => Effect.void) });
  };
  const { dispatcher, directory, leaving } = makeDispatcher(send, () => 0);
  const call = makeCall(ROUTE, 0);
  const choice = dispatcher.choose(call)!;
  call.choice = choice;
  change(directory, leaving);
  const attempt = { call, sink: new RecordingSink(), body: REQUEST.body, beforeEnd: Effect.succeed(true) };
  const outcome = await Effect.runPromise(dispatcher.run(attempt, choice));
  return { outcome, sent, runs: call.runs };
}

test("sends to the chosen server", async (t) => {
  t.deepEqual(await sendAfter(() => {}), { outcome: AttemptOutcome.Done, sent: 1, runs: 1 });
});

test("sends nothing to a server that has left since it was chosen", async (t) => {
  const notRun = { outcome: AttemptOutcome.NotRun, sent: 0, runs: 0 };
  t.deepEqual(await sendAfter((_, leaving) => leaving.merge({ backendId: "b", startedAtMs: 1 })), notRun);
  t.deepEqual(await sendAfter((directory) => directory.put({ ...ENTRY, isDraining: true })), notRun);
  t.deepEqual(await sendAfter((directory) => directory.remove("b", { mayBeLapsed: false })), notRun);
  t.deepEqual(await sendAfter((directory) => directory.put({ ...ENTRY, startedAtMs: 2 })), notRun);
});

test("a server that was silent for a moment does not count as failing, however many requests left it", async (t) => {
  const work = Effect.gen(function* () {
    const clock = yield* Effect.clockWith((current) => Effect.succeed(current));
    const now = () => clock.currentTimeMillisUnsafe();
    const { dispatcher, directory, loads } = makeDispatcher(() => Effect.never, now);
    const others = ["c", "d"].map((id) => ({ ...ENTRY, id }));
    for (const other of others) directory.put(other);
    const choice = { backend: ENTRY, costMs: 0, running: 0, cachedTokens: 0 };
    const run = Effect.suspend(() => {
      const call = makeCall({ ...ROUTE, kind: RouteKind.Safe, timeoutMs: 3000 }, now());
      call.choice = choice;
      const sink = new RecordingSink();
      return dispatcher.run({ call, sink, body: REQUEST.body, beforeEnd: Effect.succeed(true) }, choice);
    });
    const runs: Fiber.Fiber<AttemptOutcome>[] = [];
    for (let index = 0; index < 12; index++) {
      runs.push(yield* Effect.forkChild(run));
      yield* TestClock.adjust(10);
    }
    yield* TestClock.adjust(900);
    for (const fiber of runs) t.is(yield* Fiber.join(fiber), AttemptOutcome.Failed);
    t.deepEqual([...loads.failureRates.failingAmong([ENTRY, ...others])], []);
    t.false(loads.isInBackoff(ENTRY.id));
  });
  await Effect.runPromise(Effect.provide(work, TestClock.layer()));
});
