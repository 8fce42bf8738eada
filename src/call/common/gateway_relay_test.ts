import test from "ava";
import { create } from "@bufbuild/protobuf";
import { Clock, Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { RecordingSink } from "../../../test/stand_ins/recording_sink.ts";
import { UNLIMITED_PERMITS } from "../../../test/stand_ins/unlimited_permits.ts";
import { UNLIMITED_ALLOTMENTS } from "../../../test/stand_ins/unlimited_allotments.ts";
import { makeResponseBody } from "../../../test/stand_ins/response_body.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { PromptHome } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PromptHomeSchema, TurnVerdict } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import type { IProgramAdmission } from "../../routing/common/program_admission.ts";
import { UtilizationAdmission } from "../../routing/common/program_admission.ts";
import { PromptCacheIndex } from "../../routing/common/prompt_cache_index.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { RouteKind, RouteTable } from "../../services/routes/common/route_table.ts";
import type { ICompletedTurn, IEndedTurn, ITurnClient } from "../../turns/common/turn_client.ts";
import { ChainLookupStatus } from "../../turns/common/turn_client.ts";
import { RequestProgress } from "../../routing/common/allotment_limiter.ts";
import type { IAllotmentClient, IAllotmentRequest } from "./allotment_client.ts";
import { CrashMonitor } from "./crash_monitor.ts";
import { GatewayRelay } from "./gateway_relay.ts";
import type { IObservedAttempt } from "./observed_attempt.ts";
import { AttemptResult } from "./observed_attempt.ts";
import { ResponseMemoryPool } from "./response_limits.ts";
import type { IStreamOrigin } from "./stream_origin.ts";
import { StreamOriginRegistry } from "./stream_origin_registry.ts";
import type {
  ILimitStatement,
  IRequestCodec,
  IUpstream,
  IUpstreamRequest,
  IUpstreamResponse,
} from "./opaque_request.ts";
import { BodyFraming, UpstreamError, UpstreamFault } from "./opaque_request.ts";

/** Scripted behavior of a server for one request. */
interface IServerBehavior {
  readonly status?: number;
  readonly isNotRun?: boolean;
  readonly isSigned?: boolean;
  /** Further headers, as alternating names and values. */
  readonly headers?: readonly string[];
  /** Chunks of the body, and numbers for silences between them, in ms. */
  readonly chunks?: readonly (string | number)[];
  /** Time until the head, in ms. */
  readonly headMs?: number;
  /** Fails with this fault before the response head. */
  readonly fault?: UpstreamFault;
  /** Breaks the connection after the chunks. */
  readonly isTruncated?: boolean;
  /** Never responds. */
  readonly isUnresponsive?: boolean;
  /** Accepts no connection for this long, in ms. */
  readonly hangsForMs?: number;
  readonly framing?: BodyFraming;
}

const NOT_LEAVING = { isLeaving: false };

class FakeUpstream implements IUpstream {
  readonly onDidAnnounceLeaving = new Emitter<IBackendEntry>().event;
  readonly onDidStateLimit = new Emitter<ILimitStatement>().event;
  readonly sent: (IUpstreamRequest & { readonly backendId: string })[] = [];
  readonly #script: IServerBehavior[];

  constructor(script: readonly IServerBehavior[]) {
    this.#script = [...script];
  }

  send({ id }: { id: string }, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    return Effect.suspend(() => {
      this.sent.push({ ...req, backendId: id });
      const behavior = this.#script.shift() ?? {};
      if (behavior.isUnresponsive) return Effect.never;
      if (behavior.hangsForMs !== undefined) {
        req.delivery?.awaitConnection();
        const failure = Effect.fail(new UpstreamError(UpstreamFault.NotSent));
        return Effect.andThen(Effect.sleep(behavior.hangsForMs), failure);
      }
      if (behavior.fault !== undefined) return Effect.fail(new UpstreamError(behavior.fault));
      const {
        headers = [],
        headMs = 0,
        status = 200,
        isNotRun = false,
        isSigned = true,
        chunks = [],
        isTruncated = false,
        framing,
      } = behavior;
      const head = {
        status,
        headers: ["x-from", id, ...headers],
        requestId: req.requestId,
        isNotRun,
        isSigned,
        ...NOT_LEAVING,
      };
      const read = (onChunk: (chunk: Uint8Array) => void) =>
        Effect.gen(function* () {
          for (const chunk of chunks) {
            if (typeof chunk === "number") yield* Effect.sleep(chunk);
            else onChunk(Buffer.from(chunk));
          }
          if (isTruncated) return yield* Effect.fail(new UpstreamError(UpstreamFault.Broken));
        });
      const response = { head, body: makeResponseBody(read, framing) };
      return headMs === 0 ? Effect.succeed(response) : Effect.delay(Effect.succeed(response), headMs);
    });
  }
}

class FakeTurns implements ITurnClient {
  verdict: TurnVerdict | undefined = TurnVerdict.GRANTED;
  isFresh = false;
  isStored = true;
  home: PromptHome | undefined;
  readonly ended: IEndedTurn[] = [];
  readonly stored: ICompletedTurn[] = [];
  /** Turns of the chain whose ends are stored. */
  chainEnds: readonly IEndedTurn[] = [];
  /** Id of a turn that counts as running; its end makes room in the budget. */
  runningTurnId: string | undefined;

  begin() {
    return Effect.succeed(
      this.verdict === undefined
        ? undefined
        : { verdict: this.verdict, isFresh: this.isFresh, home: this.home },
    );
  }

  end(turn: IEndedTurn) {
    return Effect.sync(() => {
      this.ended.push(turn);
      if (turn.turnId === this.runningTurnId) this.verdict = TurnVerdict.GRANTED;
    });
  }

  load(turnId: string) {
    if (turnId === "gone") return Effect.succeed({ state: ChainLookupStatus.Unknown as const });
    return Effect.succeed({
      state: ChainLookupStatus.Found as const,
      chain: { contents: [Buffer.from("before ")], refs: [], ended: this.chainEnds },
    });
  }

  store(completed: ICompletedTurn) {
    this.stored.push(completed);
    return Effect.succeed(this.isStored);
  }
}

/** Turns whose budget has no owner that responds. */
class TurnsWithoutOwner extends FakeTurns {
  override begin() {
    return Effect.never;
  }
}

/** Turns of which the previous ones are not known after 100 ms. */
class TurnsWithSlowHistory extends FakeTurns {
  override load() {
    return Effect.delay(Effect.succeed({ state: ChainLookupStatus.Unknown as const }), 100);
  }
}

/** Reads the fields of a resumed request, which the test passes in a header. */
function resumeOf(headers: readonly string[]): object {
  const index = headers.indexOf("resume");
  return index < 0 ? {} : JSON.parse(headers[index + 1]) as object;
}

const CODEC: IRequestCodec = {
  readRequest: ({ method, target, headers, body }) => ({
    id: "r1",
    method,
    target,
    host: "h",
    headers,
    body,
    timeoutMs: 3000,
    lastEventId: undefined,
    ...resumeOf(headers),
    apiKeyDigest: headers.includes("key") ? "digest" : undefined,
    affinityKey: undefined,
    prompt: { model: "m", promptTokens: 900, maxTokens: 50, parts: PARTS },
    program: {
      programId: "p",
      sessionId: "l",
      remainingMs: 1000,
      budgetTokens: 1000,
      previousTurnId: headers.includes("previous") ? headers[headers.indexOf("previous") + 1] : undefined,
    },
  }),
  dispatchHeaders: (_req, { lastEventId }) => lastEventId === undefined ? [] : ["last", lastEventId],
  readResponse: () => ({
    status: 0,
    headers: [],
    requestId: undefined,
    isNotRun: false,
    isSigned: false,
    isLeaving: false,
  }),
};

const PARTS = [{ id: "shared", tokens: 400 }, { id: "line", tokens: 500 }];

const ROUTE: IRoute = {
  name: "r",
  host: "h",
  prefix: "/",
  kind: RouteKind.Unsafe,
  services: [{ service: "s", weight: 1 }],
  timeoutMs: 3000,
  targetMs: 200,
  priority: 0,
  attempts: 2,
  isSticky: false,
  isResumable: false,
  keepsHistory: false,
  retainMs: 0,
};
const ORGANISATION = {
  name: "o",
  keyDigests: ["digest"],
  priority: undefined,
  allotment: { perSecond: 1, burst: 1 },
};
const STREAM: Partial<IRoute> = { kind: RouteKind.Stream, retainMs: 60_000 };
const KEPT_TURN: Partial<IRoute> = { ...STREAM, keepsHistory: true };

/** Grants a number of requests. */
class FakeAllotments implements IAllotmentClient {
  readonly asked: RequestProgress[] = [];
  returned = 0;
  #left: number;

  constructor(left: number) {
    this.#left = left;
  }

  acquire({ progress }: IAllotmentRequest) {
    return Effect.sync(() => {
      this.asked.push(progress);
      const isGranted = this.#left-- > 0;
      const retryAfterMs = isGranted ? 0 : 250;
      return { isGranted, retryAfterMs, organisation: "o", decidedBy: "a:1", perSecond: 1, version: 1 };
    });
  }

  giveBack() {
    this.returned += 1;
  }

  isLow() {
    return this.#left <= 0;
  }
}

/** Decides at once; the response takes a second. */
class SlowAllotments extends FakeAllotments {
  override acquire(request: IAllotmentRequest) {
    return Effect.tap(super.acquire(request), () => Effect.sleep(1000));
  }
}

interface ISetup {
  /** Decides on the requests of an organisation with an allotment; undefined without organisations. */
  readonly allotments?: FakeAllotments;
  readonly route?: Partial<IRoute>;
  readonly script?: readonly IServerBehavior[];
  readonly turns?: FakeTurns;
  readonly headers?: readonly string[];
  readonly backends?: number;
  readonly admission?: IProgramAdmission;
  readonly isStale?: boolean;
  readonly organisations?: readonly IOrganisation[];
  readonly target?: string;
  readonly crashes?: CrashMonitor;
  /** Software versions of the servers; "v1" by default. */
  readonly softwareVersions?: readonly string[];
  /** Attempt, service and software version of streams that have begun earlier. */
  readonly begun?: readonly (readonly [string, string, string])[];
  /** Origin of earlier tries of the request; the store then does not respond to the announcement of another one. */
  readonly earlierOrigin?: IStreamOrigin;
  /** Last event id and attempt that the caller's request resumes. */
  readonly resume?: { readonly lastEventId: string; readonly resumes?: string };
  /** How long the caller waits, in ms; 3000 by default. */
  readonly timeoutMs?: number;
}

/** Crash monitor whose clock advances by a second with each reading. */
function createCrashMonitor(): CrashMonitor {
  let now = 0;
  return new CrashMonitor({ logger: new NullLogger(), metrics: new Metrics(), now: () => now += 1000 });
}

/** Sends one request through a relay, advancing the test clock until it completes. */
async function relay(setup: ISetup) {
  const { route = {}, script = [], headers = [], backends = 3, target = "/x" } = setup;
  const turns = setup.turns ?? new FakeTurns();
  const logger = new NullLogger();
  const routes = new RouteTable();
  const engine = { slots: 4, kvTokens: 1000, tokensPerEvent: 22 };
  routes.updateIfNewer({
    version: 1,
    routes: [{ ...ROUTE, ...route, prefix: "/x" }],
    services: new Map([["s", { name: "s", maxConnections: 10, engine }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    organisations: setup.organisations ?? (setup.allotments === undefined ? undefined : [ORGANISATION]),
  });
  const directory = new BackendDirectory(logger, {
    now: () => 0,
    leaving: new LeavingServers(logger, () => 0),
  });
  for (let i = 0; i < backends; i++) {
    const id = `b${i}`;
    directory.put({
      id,
      service: "s",
      host: "h",
      port: 1,
      zone: "z",
      slots: 4,
      isDraining: false,
      startedAtMs: 0,
      softwareVersion: setup.softwareVersions?.[i] ?? "v1",
    });
  }
  const upstream = new FakeUpstream(script);
  const streams = new StreamOriginRegistry(() => 0);
  for (const [attemptId, service, softwareVersion] of setup.begun ?? []) {
    streams.add({ attemptId, contentKey: 1n, service, softwareVersion, atMs: 0 });
  }
  const sink = new RecordingSink();
  const gateway = new GatewayRelay({
    codec: CODEC,
    routes,
    directory,
    loads: new BackendLoadTracker(() => 0),
    caches: new PromptCacheIndex(),
    turns,
    crashes: setup.crashes ?? createCrashMonitor(),
    streams,
    streamAnnouncer: {
      announce: () => setup.earlierOrigin === undefined ? Effect.succeed(true) : Effect.never,
    },
    streamFinder: {
      findEarlier: () => setup.earlierOrigin,
      find: (resumed) => Effect.succeed(streams.find(resumed)),
    },
    admission: setup.admission ?? new UtilizationAdmission(),
    permits: UNLIMITED_PERMITS,
    allotments: setup.allotments ?? UNLIMITED_ALLOTMENTS,
    upstream,
    responseLimits: { maxResponseBytes: 5000, maxEventBytes: 300 },
    responseMemory: new ResponseMemoryPool(0),
    logger,
    metrics: new Metrics(),
    zone: "z",
    random: () => 0.5,
    isConfigurationStale: () => setup.isStale ?? false,
  });
  const work = Effect.gen(function* () {
    const { timeoutMs = 3000 } = setup;
    const resume = ["resume", JSON.stringify({ ...setup.resume, timeoutMs })];
    const req = { method: "POST", target, headers: [...headers, ...resume], body: Buffer.from("new") };
    const handling = Effect.andThen(gateway.handle(req, sink), Clock.currentTimeMillis);
    const fiber = yield* Effect.forkChild(handling);
    for (let i = 0; i < 40; i++) yield* TestClock.adjust(100);
    return yield* Fiber.join(fiber);
  });
  const answeredAtMs = await Effect.runPromise(Effect.provide(work, TestClock.layer()));
  return { sink, sent: upstream.sent, turns, streams, answeredAtMs };
}

function event(id: number, data = `d${id}`): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

test("relays a complete response", async (t) => {
  const { sink, sent } = await relay({ script: [{ status: 200, chunks: ["a", "b"] }] });
  t.is(sink.status, 200);
  t.is(sink.text, "ab");
  t.is(sent.length, 1);
});

test("sends a non-repeatable request only once, even if the server then fails or does not respond", async (t) => {
  for (
    const behavior of [{ fault: UpstreamFault.Broken }, { chunks: ["a"], isTruncated: true }, {
      isUnresponsive: true,
    }]
  ) {
    const { sink, sent } = await relay({ script: [behavior] });
    t.is(sent.length, 1);
    t.true(sink.status === 502 || sink.status === 504);
  }
});

test("sends a request that has not run to another server", async (t) => {
  const unreached = [UpstreamFault.NotSent, UpstreamFault.Refused].map((fault) => ({ fault }));
  for (const behavior of [...unreached, { status: 503, isNotRun: true }]) {
    const { sink, sent } = await relay({ script: [behavior, { chunks: ["a"] }] });
    t.is(sink.status, 200);
    t.not(sent[0].backendId, sent[1].backendId);
  }
});

test("a token that is granted after the request's deadline is given back", async (t) => {
  const allotments = new SlowAllotments(1);
  const { sink, sent } = await relay({ allotments, headers: ["key"], timeoutMs: 500 });
  t.is(sink.status, 503);
  t.is(sent.length, 0);
  t.is(allotments.returned, 1);
});

/** Crash monitor that remembers how the attempts ended. */
class RecordingCrashMonitor extends CrashMonitor {
  readonly results: AttemptResult[] = [];

  override finish(attempt: IObservedAttempt): void {
    this.results.push(attempt.result);
    super.finish(attempt);
  }
}

test("a request whose connection is being established at its deadline is refused as not run before it", async (t) => {
  const crashes = new RecordingCrashMonitor({
    logger: new NullLogger(),
    metrics: new Metrics(),
    now: () => 0,
  });
  const { sink, answeredAtMs } = await relay({ script: [{ hangsForMs: 500 }], timeoutMs: 400, crashes });
  t.is(sink.status, 503);
  t.true(sink.headers.includes("retry-after"));
  t.true(answeredAtMs < 400);
  t.deepEqual(crashes.results, [AttemptResult.NotStarted]);
});

test("a request that left a server before it accepted the connection has not run there", async (t) => {
  const route = { kind: RouteKind.Safe, attempts: 2 };
  const full = { status: 503, isNotRun: true };
  const { sink } = await relay({ route, script: [{ hangsForMs: 1000 }, full, full], backends: 3 });
  t.is(sink.status, 503);
});

test("does not relay an unproven statement that the request has not run", async (t) => {
  const { sink, sent } = await relay({ script: [{ status: 503 }] });
  t.is(sink.status, 502);
  t.is(sent.length, 1);
});

test("relays an error response of a request that has run", async (t) => {
  const { sink } = await relay({ script: [{ status: 500, chunks: ["no"] }] });
  t.is(sink.status, 500);
  t.is(sink.text, "no");
});

test("does not relay a successful response without the server's signature", async (t) => {
  const { sink } = await relay({ script: [{ isSigned: false, chunks: ["a"] }] });
  t.is(sink.status, 502);
});

test("refuses with 503 and Retry-After if all servers are full", async (t) => {
  const full = { status: 503, isNotRun: true };
  const { sink, sent } = await relay({ script: [full, full, full, full], backends: 3 });
  t.is(sink.status, 503);
  t.is(sent.length, 3);
  t.true(Number(sink.headers[sink.headers.indexOf("retry-after") + 1]) > 0);
});

test("retries a safe request on other servers up to the route's limit", async (t) => {
  const broken = { fault: UpstreamFault.Broken };
  const route = { kind: RouteKind.Safe, attempts: 2 };
  const recovered = await relay({ route, script: [broken, { chunks: ["a"] }] });
  t.is(recovered.sink.status, 200);
  const exhausted = await relay({ route, script: [broken, broken, { chunks: ["a"] }] });
  t.is(exhausted.sink.status, 502);
  t.is(exhausted.sent.length, 2);
});

test("retries a safe request on another server if the first does not respond", async (t) => {
  const route = { kind: RouteKind.Safe, attempts: 2 };
  const { sink, sent } = await relay({ route, script: [{ isUnresponsive: true }, { chunks: ["a"] }] });
  t.is(sink.status, 200);
  t.is(sent.length, 2);
});

test("resumes a stream after the last complete event", async (t) => {
  const { sink, sent } = await relay({
    route: { ...STREAM, isResumable: true },
    script: [{ chunks: [event(1), "id: 2\nda"], isTruncated: true }, { chunks: [event(2), event(3)] }],
  });
  t.is(sink.text, event(1) + event(2) + event(3));
  t.deepEqual(sent[1].headers, ["last", "1"]);
  t.true(sink.isEnded);
});

test("drops events that are repeated after a resume", async (t) => {
  const { sink } = await relay({
    route: { ...STREAM, isResumable: true },
    script: [{ chunks: [event(1), event(2)], isTruncated: true }, { chunks: [event(1), event(2), event(3)] }],
  });
  t.is(sink.text, event(1) + event(2) + event(3));
});

test("aborts an interrupted stream if no other server has the software version that began it", async (t) => {
  const { sink, sent } = await relay({
    route: { ...STREAM, isResumable: true },
    softwareVersions: ["v1", "v2", "v3"],
    script: [{ chunks: [event(1)], isTruncated: true }, { chunks: [event(2)] }],
  });
  t.is(sink.text, event(1));
  t.true(sink.isAborted);
  t.is(sent.length, 1);
});

const RESUMED_ROUTE = { ...STREAM, isResumable: true };

test("resumes a caller's stream at a server of the software version that began it", async (t) => {
  const { sink, sent, streams } = await relay({
    route: RESUMED_ROUTE,
    softwareVersions: ["v1", "v2", "v3"],
    begun: [["first", "s", "v2"]],
    resume: { lastEventId: "1", resumes: "first" },
    script: [{ chunks: [event(2)] }],
  });
  t.is(sink.text, event(2));
  t.deepEqual(sent.map(({ backendId }) => backendId), ["b1"]);
  t.deepEqual(sent[0].headers, ["last", "1"]);
  t.is(streams.find({ attemptId: "r1", contentKey: 0n })?.softwareVersion, "v2");
});

for (
  const [title, begun, resumes] of [
    ["no attempt", [], undefined],
    ["an unknown attempt", [["other", "s", "v1"]], "first"],
    ["a stream of a service to which the route does not lead", [["first", "moved", "v1"]], "first"],
    ["a stream of a version without servers", [["first", "s", "v9"]], "first"],
  ] as const
) {
  test(`refuses to resume ${title}, and sends it nowhere`, async (t) => {
    const resume = { lastEventId: "1", resumes };
    const { sink, sent } = await relay({ route: RESUMED_ROUTE, begun, resume });
    t.is(sink.status, 503);
    t.is(sent.length, 0);
  });
}

test("records a stream at its first event, and no other request", async (t) => {
  const begun = await relay({
    route: RESUMED_ROUTE,
    script: [{ chunks: [event(1)], isTruncated: true }, {}],
  });
  t.is(begun.streams.find({ attemptId: "r1", contentKey: 0n })?.service, "s");
  const empty = await relay({ route: RESUMED_ROUTE, script: [{ fault: UpstreamFault.Broken }, {}] });
  t.is(empty.streams.size, 0);
  const plain = await relay({ route: { kind: RouteKind.Safe }, script: [{ chunks: ["a"] }] });
  t.is(plain.streams.size, 0);
});

test("retries a stream without events at a server of any software version", async (t) => {
  const { sink, sent } = await relay({
    route: { ...STREAM, isResumable: true },
    softwareVersions: ["v1", "v2", "v3"],
    script: [{ fault: UpstreamFault.Broken }, { chunks: [event(1)] }],
  });
  t.is(sink.text, event(1));
  t.is(sent.length, 2);
});

test("aborts an interrupted stream that cannot be resumed, without ending it", async (t) => {
  const { sink, sent } = await relay({ route: STREAM, script: [{ chunks: [event(1)], isTruncated: true }] });
  t.true(sink.isAborted);
  t.false(sink.isEnded);
  t.is(sent.length, 1);
});

test("reports the tokens delivered by a turn that was interrupted", async (t) => {
  const script = [{ chunks: [event(1), event(2)], isTruncated: true }];
  const { turns, sent } = await relay({ route: STREAM, script });
  const home = { partId: "line", backendId: sent[0].backendId, tokens: 544 };
  t.deepEqual(turns.ended, [{ programId: "p", turnId: "r1", tokens: 44, home }]);
});

test("refuses a turn with an exhausted budget before anything runs", async (t) => {
  const turns = new FakeTurns();
  turns.verdict = TurnVerdict.SPENT;
  const { sink, sent } = await relay({ route: STREAM, turns });
  t.is(sink.status, 402);
  t.is(sent.length, 0);
});

test("refuses a turn with 503 and Retry-After if the budget's owner is unreachable", async (t) => {
  const turns = new FakeTurns();
  turns.verdict = undefined;
  const { sink, sent } = await relay({ route: STREAM, turns });
  t.is(sink.status, 503);
  t.true(sink.headers.includes("retry-after"));
  t.is(sent.length, 0);
});

test("prepends the history to the new input and stores input and output of the turn", async (t) => {
  const { sent, turns } = await relay({
    route: { ...STREAM, keepsHistory: true },
    headers: ["previous", "t0"],
    script: [{ chunks: [event(1, "x"), event(2, "y")] }],
  });
  t.is(Buffer.from(sent[0].body).toString(), "before new");
  t.is(Buffer.from(turns.stored[0].content).toString(), "newx\ny\n");
});

// Guards against a 402 for a program whose last turn was stored and whose instances were lost before its end was recorded.
test("reports the ends of the program's own stored turns before it refuses a turn for its budget", async (t) => {
  for (const [programId, status] of [["p", 200], ["other", 402]] as const) {
    const turns = new FakeTurns();
    turns.verdict = TurnVerdict.SPENT;
    turns.runningTurnId = "t0";
    turns.chainEnds = [{ programId, turnId: "t0", tokens: 22, home: undefined }];
    const { sink } = await relay({
      route: { ...STREAM, keepsHistory: true },
      headers: ["previous", "t0"],
      script: [{ chunks: [event(1, "x")] }],
      turns,
    });
    t.is(sink.status, status);
    if (status === 200) t.like(turns.stored[0], { programId: "p", turnId: "r1", tokens: 22 });
    else t.is(turns.ended.length, 0);
  }
});

test("aborts the stream if the turn could not be stored", async (t) => {
  const turns = new FakeTurns();
  turns.isStored = false;
  const { sink } = await relay({
    route: { ...STREAM, keepsHistory: true },
    turns,
    script: [{ chunks: [event(1)] }],
  });
  t.true(sink.isAborted);
  t.false(sink.isEnded);
});

test("refuses with 503 instead of 404 if the previous turn is unknown", async (t) => {
  const { sink, sent } = await relay({
    route: { ...STREAM, keepsHistory: true },
    headers: ["previous", "gone"],
  });
  t.is(sink.status, 503);
  t.is(sent.length, 0);
});

test("under overload refuses new programs but serves turns of running ones", async (t) => {
  const turns = new FakeTurns();
  const admission: IProgramAdmission = { decide: () => ({ isAdmitted: false, retryAfterMs: 500 }) };
  const running = await relay({ route: STREAM, turns, admission, script: [{ chunks: [event(1)] }] });
  t.is(running.sink.status, 200);
  turns.isFresh = true;
  const fresh = await relay({ route: STREAM, turns, admission });
  t.is(fresh.sink.status, 503);
  t.is(fresh.sent.length, 0);
});

test("new programs are admitted by the organisation's priority first, then by the route's", async (t) => {
  const turns = new FakeTurns();
  turns.isFresh = true;
  const priorities: number[] = [];
  const admission: IProgramAdmission = {
    decide: ({ priority }) => {
      priorities.push(priority);
      return { isAdmitted: true };
    },
  };
  for (const [priority, routePriority] of [[undefined, 3], [0, 3], [0, 9], [1, 0]] as const) {
    const organisations = [{ name: "a", keyDigests: ["digest"], priority, allotment: undefined }];
    const route = { ...STREAM, priority: routePriority };
    await relay({
      route,
      turns,
      admission,
      organisations,
      headers: ["key"],
      script: [{ chunks: [event(1)] }],
    });
  }
  t.deepEqual(priorities, [3, 0.75, 0.9, 1]);
});

test("without a known key the answer is 401 before that for an unknown route, but 503 while the configuration may be stale", async (t) => {
  const organisations: IOrganisation[] = [];
  for (const target of ["/x", "/other"]) {
    for (const headers of [[], ["key"]]) {
      const refused = await relay({ target, headers, organisations });
      t.deepEqual([refused.sink.status, refused.sent.length], [401, 0]);
      t.is((await relay({ target, headers, organisations, isStale: true })).sink.status, 503);
    }
  }
});

test("responds with 404 for an unknown route, but 503 while the configuration may be stale", async (t) => {
  t.is((await relay({ target: "/other" })).sink.status, 404);
  t.is((await relay({ target: "/other", isStale: true })).sink.status, 503);
});

test("refuses a request that has crashed three servers without sending it to a fourth", async (t) => {
  const crashes = createCrashMonitor();
  const script = [{ fault: UpstreamFault.Broken }];
  for (let i = 0; i < 3; i++) t.is((await relay({ crashes, script })).sink.status, 502);
  const { sink, sent } = await relay({ crashes, script });
  t.is(sink.status, 503);
  t.is(sent.length, 0);
});

test("routes a turn to the engine that cached its prompt, and reports the engine used", async (t) => {
  for (const backendId of ["b0", "b1", "b2"]) {
    const turns = new FakeTurns();
    turns.home = create(PromptHomeSchema, { partId: "line", backendId, tokens: 480 });
    const { sent } = await relay({ route: STREAM, turns, script: [{ chunks: ["id: 1\n\n"] }] });
    t.is(sent[0].backendId, backendId);
    t.deepEqual(turns.ended[0].home, { partId: "line", backendId, tokens: 522 });
  }
});

test("a response above the limit is not relayed, and its outcome is unknown", async (t) => {
  const { sink, sent } = await relay({ script: [{ chunks: ["a".repeat(3000), "b".repeat(3000)] }] });
  t.is(sink.status, 502);
  t.true(sink.text.includes("response-too-large"));
  t.is(sent.length, 1);
});

test("a stream that breaks a limit is cut after its complete events and does not look complete", async (t) => {
  const faulty = [
    ["an event without end", [event(1), `data: ${"x".repeat(400)}`]],
    ["more events than tokens", Array.from({ length: 80 }, (_, index) => event(index + 1, "y"))],
    ["comments without end", [event(1), ...Array.from({ length: 80 }, () => ":\n\n")]],
    ["a known event again and again", [event(1), ...Array.from({ length: 80 }, () => event(1))]],
  ] as const;
  for (const [title, chunks] of faulty) {
    const { sink } = await relay({ route: { kind: RouteKind.Stream }, script: [{ chunks }] });
    t.true(sink.isAborted, title);
    t.false(sink.isEnded, title);
    t.true(sink.text.startsWith(event(1, title.startsWith("more") ? "y" : "d1")), title);
  }
});

test("a stream that ends within an event does not look complete and is not stored", async (t) => {
  for (const framing of Object.values(BodyFraming)) {
    for (const chunks of [[event(1), "id: 2\nda"], [event(1), "id: 2\ndata: d2\n"], ["id: 1\nda"]]) {
      const route = { ...STREAM, keepsHistory: true };
      const { sink, turns, sent } = await relay({ route, script: [{ chunks, framing }] });
      t.true(sink.isAborted || sink.status === 502, `${framing} ${chunks}`);
      t.false(sink.isEnded && sink.status === 200);
      t.is(turns.stored.length, 0);
      t.is(sent.length, 1);
      t.deepEqual(turns.ended.map(({ tokens }) => tokens), [chunks.length === 2 ? 22 : 0]);
    }
  }
});

test("a resumable stream that ends within an event goes on at another server", async (t) => {
  const route = { ...STREAM, isResumable: true };
  const script = [{ chunks: [event(1), "id: 2\nda"] }, { chunks: [event(2)] }];
  const { sink, sent } = await relay({ route, script });
  t.is(sink.text, event(1) + event(2));
  t.true(sink.isEnded && !sink.isAborted);
  t.deepEqual(sent[1].headers, ["last", "1"]);
});

test("a stream without any event that ends with its connection is broken", async (t) => {
  const script = [{ chunks: [], framing: BodyFraming.Connection }];
  const { sink } = await relay({ route: STREAM, script });
  t.is(sink.status, 502);
});

test("a stream that ends between two events, whatever its framing, is complete", async (t) => {
  for (const framing of Object.values(BodyFraming)) {
    for (const rest of ["", "\n", ": done\n"]) {
      const { sink } = await relay({ route: STREAM, script: [{ chunks: [event(1), rest], framing }] });
      t.is(sink.text, event(1) + rest);
      t.true(sink.isEnded && !sink.isAborted);
    }
  }
});

test("refused connections do not use up the number of servers that may decline a request", async (t) => {
  const gone = { fault: UpstreamFault.Refused };
  const script = [gone, gone, gone, gone, gone, { chunks: ["a"] }];
  const { sink, sent } = await relay({ script, backends: 6 });
  t.is(sink.status, 200);
  t.is(sent.length, 6);
  const refused = await relay({ script: script.slice(0, 5), backends: 5 });
  t.is(refused.sink.status, 503);
  t.is(refused.sent.length, 5);
});

test("a request that the allotment does not cover gets 429 and is not sent", async (t) => {
  for (const route of [{ kind: RouteKind.Safe }, STREAM]) {
    const { sink, sent, turns } = await relay({ route, headers: ["key"], allotments: new FakeAllotments(0) });
    t.is(sink.status, 429);
    t.is(sink.headers[sink.headers.indexOf("retry-after") + 1], "0.25");
    t.is(sent.length, 0);
    // The budget's owner has granted the turn, and is told that it delivered nothing.
    t.deepEqual(turns.ended.map(({ tokens }) => tokens), route === STREAM ? [0] : []);
  }
});

test("a token that no server has used is returned", async (t) => {
  const turns = new FakeTurns();
  turns.verdict = TurnVerdict.SPENT;
  const refused = new FakeAllotments(1);
  await relay({ route: STREAM, turns, headers: ["key"], allotments: refused });
  t.deepEqual([refused.asked.length, refused.returned], [1, 1]);
  const declined = new FakeAllotments(1);
  await relay({
    headers: ["key"],
    allotments: declined,
    backends: 2,
    script: [{ isNotRun: true }, { isNotRun: true }],
  });
  t.deepEqual([declined.asked.length, declined.returned], [1, 1]);
  const served = new FakeAllotments(1);
  const { sink } = await relay({ headers: ["key"], allotments: served, script: [{ isNotRun: true }, {}] });
  t.deepEqual([sink.status, served.asked.length, served.returned], [200, 1, 0]);
});

test("each send after one that may have run takes another token, and none is sent without", async (t) => {
  const route = { kind: RouteKind.Safe, attempts: 3 };
  const script = [{ fault: UpstreamFault.Broken }, { fault: UpstreamFault.Broken }, {}];
  const enough = new FakeAllotments(3);
  const served = await relay({ route, script, headers: ["key"], allotments: enough });
  t.deepEqual([served.sink.status, served.sent.length, enough.returned], [200, 3, 0]);
  t.deepEqual(enough.asked, [RequestProgress.First, RequestProgress.Repeated, RequestProgress.Repeated]);
  const failed = await relay({ route, script, headers: ["key"], allotments: new FakeAllotments(1) });
  t.deepEqual([failed.sink.status, failed.sent.length], [502, 1]);
});

test("a turn whose history cannot be loaded is refused at once, and its end reported", async (t) => {
  const turns = new TurnsWithoutOwner();
  const { sink, answeredAtMs } = await relay({ turns, route: KEPT_TURN, headers: ["previous", "gone"] });
  t.is(sink.status, 503);
  t.is(answeredAtMs, 0);
  t.is(turns.ended.length, 1);
});

test("a request that no server has received is refused before its caller leaves", async (t) => {
  const { sink, answeredAtMs } = await relay({ turns: new TurnsWithoutOwner(), route: KEPT_TURN });
  t.is(sink.status, 503);
  t.true(answeredAtMs < 3000, String(answeredAtMs));
});

test("the wait for the first list of servers counts towards a request's deadline", async (t) => {
  const setup = { turns: new TurnsWithoutOwner(), route: KEPT_TURN, backends: 0 };
  const { sink, answeredAtMs } = await relay(setup);
  t.is(sink.status, 503);
  t.true(answeredAtMs < 3000, String(answeredAtMs));
});

const RESUMABLE: Partial<IRoute> = { kind: RouteKind.Stream, isResumable: true, attempts: 3 };
const SAFE: Partial<IRoute> = { kind: RouteKind.Safe, attempts: 3 };

test("a stream that only its server can go on with is not cut while the server is silent", async (t) => {
  const script = [{ chunks: [event(1), 1800, event(2)] }];
  for (
    const [route, backends] of [
      [{ ...RESUMABLE, isResumable: false }, 3],
      [{ ...RESUMABLE, attempts: 1 }, 3],
      [RESUMABLE, 1],
    ] as const
  ) {
    const { sink, sent } = await relay({ route, backends, script });
    t.deepEqual([sent.length, sink.isEnded, sink.text], [1, true, event(1) + event(2)]);
  }
});

test("a resumable stream leaves a silent server while its caller still waits", async (t) => {
  const script = [{ chunks: [event(1), 3000] }, { chunks: [event(2)] }];
  const { sink, sent } = await relay({ route: RESUMABLE, script });
  t.deepEqual([sent.length, sink.isEnded, sink.text], [2, true, event(1) + event(2)]);
});

test("a resumable stream leaves no second server for which its caller would not wait", async (t) => {
  const route = { ...RESUMABLE, timeoutMs: 3900 };
  const script = [{ chunks: [event(1), 3000] }, { chunks: [1800, event(2)] }, { chunks: [event(2)] }];
  const { sink, sent } = await relay({ route, script, timeoutMs: 3900 });
  t.deepEqual([sent.length, sink.isEnded, sink.text], [2, true, event(1) + event(2)]);
});

test("a resumable stream stays with a server whose silence its route allows", async (t) => {
  const script = [{ chunks: [event(1), 1800, event(2)] }];
  const { sink, sent } = await relay({ route: { ...RESUMABLE, maxPauseMs: 600 }, script });
  t.deepEqual([sent.length, sink.isEnded, sink.text], [1, true, event(1) + event(2)]);
});

test("a repeatable request waits for a silent server if no other one may run it", async (t) => {
  const [first, second] = [{ isUnresponsive: true }, { headMs: 1800, chunks: ["a"] }];
  for (
    const [backends, script] of [[1, [{ headMs: 1200, chunks: ["a"] }]], [2, [first, second]]] as const
  ) {
    const { sink, sent } = await relay({ route: SAFE, backends, script });
    t.deepEqual([sent.length, sink.status, sink.text], [backends, 200, "a"]);
  }
});

test("a request that would be quarantined elsewhere waits for its silent server", async (t) => {
  const crashes = createCrashMonitor();
  const original = crashes.isQuarantined.bind(crashes);
  let asked = 0;
  // Not quarantined when it arrives and when it is sent.
  crashes.isQuarantined = (identity) => ++asked > 2 || original(identity);
  const script = [{ headMs: 1200, chunks: ["a"] }];
  const { sink, sent } = await relay({ route: SAFE, crashes, script });
  t.deepEqual([sent.length, sink.status, sink.text], [1, 200, "a"]);
});

test("a request whose organisation may have no token left for a repetition waits for its silent server", async (t) => {
  const allotments = new FakeAllotments(1);
  const script = [{ headMs: 1200, chunks: ["a"] }];
  const { sink, sent } = await relay({ route: SAFE, allotments, headers: ["key", ""], script });
  t.deepEqual([sent.length, sink.status, sink.text], [1, 200, "a"]);
});

test("a stream whose change of software version is not recorded in time is refused while its caller can try again", async (t) => {
  const { sink, sent, answeredAtMs } = await relay({
    route: { ...STREAM, isResumable: true },
    earlierOrigin: { service: "s", softwareVersion: "v0" },
  });
  t.is(sink.status, 503);
  t.is(sent.length, 0);
  t.true(answeredAtMs <= 1500, String(answeredAtMs));
});

test("a token that is granted after its turn was refused is given back", async (t) => {
  const allotments = new SlowAllotments(1);
  const { sink, answeredAtMs } = await relay({
    turns: new TurnsWithSlowHistory(),
    allotments,
    route: KEPT_TURN,
    headers: ["key", "previous", "gone"],
  });
  t.is(sink.status, 503);
  t.is(answeredAtMs, 100);
  t.deepEqual([allotments.asked.length, allotments.returned], [1, 1]);
});

test("a successful response with an encoded body is not relayed", async (t) => {
  const encoded = (encoding: string) => ({ headers: ["Content-Encoding", encoding], chunks: ["a"] });
  for (const kind of [RouteKind.Unsafe, RouteKind.Stream]) {
    const { sink, sent } = await relay({ route: { kind }, script: [encoded("gzip")] });
    t.deepEqual([sent.length, sink.status], [1, 502]);
  }
  const { sink } = await relay({ route: SAFE, script: [encoded("br"), encoded("Identity")] });
  t.deepEqual([sink.status, sink.text], [200, "a"]);
});
