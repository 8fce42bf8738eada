import test from "ava";
import { Effect } from "effect";
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

const ROUTE = {
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

/** Chooses a server, changes the directory, and sends; returns the outcome and the number of requests sent. */
async function sendAfter(change: (directory: BackendDirectory, leaving: LeavingServers) => void) {
  const logger = new NullLogger();
  const now = () => 0;
  const leaving = new LeavingServers(logger, now);
  const directory = new BackendDirectory(logger, { now, leaving });
  directory.put(ENTRY);
  let sent = 0;
  const head = {
    status: 200,
    headers: [],
    requestId: "r",
    isNotRun: false,
    isSigned: true,
    isLeaving: false,
  };
  const upstream: IUpstream = {
    onDidAnnounceLeaving: () => ({ dispose: () => {} }),
    onDidStateLimit: () => ({ dispose: () => {} }),
    send: () => {
      sent += 1;
      return Effect.succeed({ head, body: makeResponseBody(() => Effect.void) });
    },
  };
  const codec: IRequestCodec = {
    readRequest: () => REQUEST,
    dispatchHeaders: () => [],
    readResponse: () => head,
  };
  const metrics = new Metrics();
  const dispatcher = new BackendDispatcher({
    codec,
    routes: new RouteTable(),
    directory,
    loads: new BackendLoadTracker(now),
    caches: new PromptCacheIndex(),
    crashes: new CrashMonitor({ logger, metrics, now }),
    streams: { record: () => {} },
    permits: UNLIMITED_PERMITS,
    isConfigurationStale: () => false,
    upstream,
    responseLimits: { maxResponseBytes: 1000, maxEventBytes: 100 },
    responseMemory: new ResponseMemoryPool(1000),
    logger,
    metrics,
    zone: "z",
    random: () => 0,
  });
  const identity = RequestIdentity.of(REQUEST);
  const call = new RelayedCall(REQUEST, {
    identity,
    route: ROUTE,
    service: "s",
    now: 0,
    configurationVersion: 1,
  });
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
