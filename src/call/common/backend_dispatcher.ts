/** Selects backend servers for a request and sends it to them. */
import { Clock, Effect } from "effect";
import { findHeader } from "../../base/common/http_headers.ts";
import type { IBackendChoice, IBackendChooser } from "../../routing/common/backend_chooser.ts";
import {
  EngineBackendChooser,
  ServiceBackendChooser,
  SuspectBackendChooser,
} from "../../routing/common/backend_chooser.ts";
import type { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import type { PromptCacheIndex } from "../../routing/common/prompt_cache_index.ts";
import type { BackendDirectory, IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import { combinedPriority } from "../../services/organisations/common/organisation_scope.ts";
import type { IEngineInfo, RouteTable } from "../../services/routes/common/route_table.ts";
import { isRepeatable, RouteKind } from "../../services/routes/common/route_table.ts";
import type { IPromptHome } from "../../turns/common/prompt_home_cache.ts";
import type { IAllotmentClient } from "./allotment_client.ts";
import { BufferedBody } from "./buffered_body.ts";
import { CallAuthorizer } from "./call_authorizer.ts";
import type { CrashMonitor } from "./crash_monitor.ts";
import type { IDelivery } from "./delivery.ts";
import type { IDrainAdmission } from "./drain_admission.ts";
import type { IObservedAttempt } from "./observed_attempt.ts";
import { AttemptResult } from "./observed_attempt.ts";
import { finalRefusal, GatewayStatus, RefusalReason } from "./gateway_refusal.ts";
import type {
  IRequestCodec,
  IResponseHead,
  IResponseSink,
  IUpstream,
  IUpstreamResponse,
} from "./opaque_request.ts";
import { UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { IPermitClient, IPermitDecision } from "./permit_client.ts";
import type { RelayedCall } from "./relayed_call.ts";
import { AttemptOutcome } from "./relayed_call.ts";
import type { IResponseLimits, ResponseMemoryPool } from "./response_limits.ts";
import { readInto } from "./response_limits.ts";
import type { ISilence } from "./silence_limits.ts";
import { eventSilenceLimit, failWhenSilent, headSilenceLimit } from "./silence_limits.ts";
import { serversOfOrigin } from "./stream_origin.ts";
import type { IStreamOriginRecorder } from "./stream_relay.ts";
import { StreamRelay } from "./stream_relay.ts";

/**
 * Status codes by which a caller concludes that the request has not run. They are not relayed: without proof
 * from the server the request may have run.
 */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Outcomes of attempts that have certainly not run. */
const FAULT_OUTCOMES: ReadonlyMap<UpstreamFault, AttemptOutcome> = new Map([
  [UpstreamFault.NotSent, AttemptOutcome.NotRun],
  [UpstreamFault.Refused, AttemptOutcome.Refused],
  [UpstreamFault.LinksLost, AttemptOutcome.NotSent],
  [UpstreamFault.Unreachable, AttemptOutcome.Unreachable],
]);
/** Faults of the links of instances, which say nothing about servers. */
const LINK_FAULTS = new Set([UpstreamFault.LinksLost, UpstreamFault.PathLost, UpstreamFault.Unreachable]);
/** Urgency of a request with route priority 0, the highest one. Engines run lower urgency values first. */
const BASE_URGENCY = 3;
const URGENCY_PER_PRIORITY = 2;
/** Added to the urgency of a request that can no longer finish on time. */
const LATE_URGENCY_PENALTY = 1;
const MAX_URGENCY = 9;
/** Upper bound of the wait for a permit, and share of the remaining time that a request may spend on it. */
const MAX_PERMIT_WAIT_MS = 1000;
const MAX_PERMIT_WAIT_SHARE = 0.33;
const NANOS_PER_MS = 1e6;
const EVENT_STREAM_TYPE = "text/event-stream";
const IDENTITY_ENCODING = "identity";

export interface IBackendDispatcherOptions {
  readonly codec: IRequestCodec;
  readonly routes: RouteTable;
  readonly directory: BackendDirectory;
  readonly loads: BackendLoadTracker;
  readonly caches: PromptCacheIndex;
  readonly crashes: CrashMonitor;
  readonly streams: IStreamOriginRecorder;
  readonly permits: IPermitClient;
  /** Undefined if no allotments are enforced. */
  readonly allotments?: Pick<IAllotmentClient, "isLow">;
  readonly upstream: IUpstream;
  readonly responseLimits: IResponseLimits;
  readonly responseMemory: ResponseMemoryPool;
  readonly logger: ILogger;
  readonly metrics: Metrics;
  /** Refuses what cannot end before this instance stops. Undefined if it never stops gracefully. */
  readonly drain?: IDrainAdmission;
  /** Whether the configuration may be stale because the store does not respond. */
  readonly isConfigurationStale: () => boolean;
  /** Availability zone of this instance. */
  readonly zone: string;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** A request to send and the destination of its response. */
export interface IAttempt {
  readonly call: RelayedCall;
  readonly sink: IResponseSink;
  readonly body: Uint8Array;
  /** Runs before the end of a stream is relayed. If it returns false, the response is aborted instead. */
  readonly beforeEnd: Effect.Effect<boolean>;
  /** See {@link IStreamRelayOptions.claim}. */
  readonly claim?: (() => boolean) | undefined;
}

interface IObservedSend extends IAttempt {
  readonly observed: IObservedAttempt;
  readonly delivery: IDelivery;
  /** Since when the server and the caller have been waiting at the time of the send. */
  readonly silence: ISilence;
  /** Time in ms of a clock that does not jump. */
  readonly now: () => number;
  /** Present once a stream is being relayed. */
  relay?: StreamRelay;
}

export class BackendDispatcher {
  readonly #opts: IBackendDispatcherOptions;
  readonly #authorizer: CallAuthorizer;
  /** Distinguishes this instance from the others in the choice among equal servers. */
  readonly #instanceKey: string;

  constructor(opts: IBackendDispatcherOptions) {
    this.#opts = opts;
    this.#instanceKey = String(opts.random());
    this.#authorizer = new CallAuthorizer(opts);
  }

  /**
   * Selects a server for a request and acquires the permit to send it there. Servers without a permit are passed over;
   * if there is no other, the request waits for the first permit that becomes available in time. Returns undefined
   * if no server may receive the request.
   */
  chooseWithPermit(call: RelayedCall): Effect.Effect<IBackendChoice | undefined> {
    return Effect.gen({ self: this }, function* () {
      /** Time until the next permit, in ms, by server. */
      const exhausted = new Map<IBackendEntry, number>();
      const excluded = new Set(call.excluded);
      while (true) {
        const choice = this.choose(call, excluded);
        if (choice === undefined) break;
        const { isGranted, waitMs } = yield* this.#opts.permits.acquire(choice.backend, 0);
        if (isGranted) return choice;
        exhausted.set(choice.backend, waitMs);
        excluded.add(choice.backend.id);
      }
      call.limitedServers = exhausted.size;
      return exhausted.size === 0 ? undefined : yield* this.#awaitPermit(call, exhausted);
    });
  }

  /**
   * Waits for a permit of one of the servers. Returns undefined at once if none becomes available in time. A request may
   * wait for a limited time in all, also if servers decline it or permits become void.
   */
  #awaitPermit(
    call: RelayedCall,
    exhausted: ReadonlyMap<IBackendEntry, number>,
  ): Effect.Effect<IBackendChoice | undefined> {
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      const remainingMs = call.deadlineAtMs - startedAtMs;
      call.permitDeadlineMs ??= startedAtMs +
        Math.min(MAX_PERMIT_WAIT_MS, remainingMs * MAX_PERMIT_WAIT_SHARE);
      const waits = new Map(exhausted);
      const countWait = Effect.map(Clock.currentTimeMillis, (now) => {
        call.permitWaitMs += now - startedAtMs;
      });
      while (true) {
        call.nextPermitMs = Math.min(...waits.values());
        const permit = yield* this.#acquireFirst(waits, call.permitDeadlineMs);
        if (permit === undefined) break;
        const { backend, decision } = permit;
        if (yield* this.#opts.permits.awaitValid(backend, decision)) {
          yield* countWait;
          const running = this.#opts.loads.running(backend.id);
          return { backend, costMs: decision.waitMs, running, cachedTokens: 0 };
        }
      }
      yield* countWait;
      return undefined;
    });
  }

  /** Acquires the permit of the first server that has one in time, and records the waits of those that have none. */
  #acquireFirst(
    waits: Map<IBackendEntry, number>,
    deadlineMs: number,
  ): Effect.Effect<{ backend: IBackendEntry; decision: IPermitDecision } | undefined> {
    return Effect.gen({ self: this }, function* () {
      for (const [backend] of [...waits].sort(([, a], [, b]) => a - b)) {
        const maxWaitMs = Math.max(0, Math.floor(deadlineMs - (yield* Clock.currentTimeMillis)));
        const decision = yield* this.#opts.permits.acquire(backend, maxWaitMs);
        if (decision.isGranted) return { backend, decision };
        waits.set(backend, decision.waitMs);
      }
      return undefined;
    });
  }

  /** Selects a server for a request. Returns undefined if no server may receive it. */
  choose(call: RelayedCall, excluded: ReadonlySet<string> = call.excluded): IBackendChoice | undefined {
    const available = this.#opts.directory.listAvailable(call.service);
    if (call.origin !== undefined) {
      return this.#chooseAmong(serversOfOrigin(call.origin, available), { call, excluded });
    }
    // Tries of one software version leave no doubt about how a caller that resumes the stream may go on.
    const preferred = call.earlierOrigin === undefined ? [] : serversOfOrigin(call.earlierOrigin, available);
    return this.#chooseAmong(preferred, { call, excluded }) ??
      this.#chooseAmong(available, { call, excluded });
  }

  #chooseAmong(
    backends: readonly IBackendEntry[],
    { call, excluded }: { call: RelayedCall; excluded: ReadonlySet<string> },
  ): IBackendChoice | undefined {
    if (backends.length === 0) return undefined;
    const { req, service } = call;
    const input = {
      zone: this.#opts.zone,
      affinity: affinityOf(call, req.program?.sessionId ?? req.affinityKey),
      parts: req.prompt?.parts ?? [],
      promptTokens: req.prompt?.promptTokens ?? 0,
      maxTokens: req.prompt?.maxTokens ?? 0,
      excluded,
      isRepeatable: isRepeatable(call.route),
    };
    const affinity = call.route.kind === RouteKind.Stream
      ? input.affinity
      : affinityOf(call, req.affinityKey);
    const separation = this.#opts.crashes.separationOf(call.identity);
    if (separation !== undefined) {
      const chooser = new SuspectBackendChooser(this.#opts.loads, separation);
      return chooser.choose(input, this.#opts.crashes.withoutStruck(call.identity, backends));
    }
    return this.#chooserOf(service).choose({ ...input, affinity }, backends);
  }

  #chooserOf(service: string): IBackendChooser {
    const engine = this.engineOf(service);
    return engine === undefined
      ? new ServiceBackendChooser(this.#opts.loads, this.#instanceKey)
      : new EngineBackendChooser(engine, this.#opts);
  }

  /** Returns the engine information of a service; undefined for plain services. */
  engineOf(service: string): IEngineInfo | undefined {
    return this.#opts.routes.service(service)?.engine;
  }

  /** Sends a request to the selected server and relays the response. */
  run(attempt: IAttempt, choice: IBackendChoice): Effect.Effect<AttemptOutcome> {
    const { loads, crashes } = this.#opts;
    const { call } = attempt;
    const { backend } = choice;
    return Effect.clockWith((clock) => {
      const observed = crashes.observe(call.identity, { requestId: call.req.id, backend });
      loads.recordRequestStart(backend.id);
      loads.failureRates.recordSend(backend);
      const now = () => Number(clock.monotonicTimeNanosUnsafe()) / NANOS_PER_MS;
      const serverSinceMs = now();
      const callerSinceMs = call.lastEventAtMs ??
        serverSinceMs - (clock.currentTimeMillisUnsafe() - call.startedAtMs);
      const delivery = call.deliveries.start();
      call.delivery = delivery;
      const send: IObservedSend = {
        ...attempt,
        observed,
        delivery,
        silence: { serverSinceMs, callerSinceMs },
        now,
      };
      return this.#send(send, choice).pipe(
        Effect.catchTag("UpstreamError", (err) => Effect.sync(() => this.#recordFault(send, err))),
        Effect.onInterrupt(() => this.#recordInterrupt(send, choice)),
        Effect.ensuring(Effect.sync(() => crashes.finish(observed))),
      );
    }).pipe(Effect.ensuring(Effect.sync(() => loads.recordRequestEnd(backend.id))));
  }

  /** Counts an attempt that was interrupted because the request's time was over. A full server owed no answer yet. */
  #recordInterrupt(
    { call, observed, delivery }: IObservedSend,
    { backend, running }: IBackendChoice,
  ): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      if (!delivery.mayHaveArrived) {
        observed.result = AttemptResult.NotStarted;
        return;
      }
      if (now < call.deadlineAtMs || running >= backend.slots) return;
      this.#opts.loads.failureRates.recordAnswer(backend, { isFailed: true });
    });
  }

  /** Whether an attempt that was given up shows a silence of its server that no other one has shown. */
  #isNewFailure({ call, observed, silence, relay }: IObservedSend): boolean {
    const { serverSinceMs } = relay?.silence ?? silence;
    const sinceMs = observed.sentAtMs + (serverSinceMs - silence.serverSinceMs);
    return this.#opts.loads.recordSilence(call.choice!.backend.id, sinceMs);
  }

  #recordFault(send: IObservedSend, { fault: stated, message }: UpstreamError): AttemptOutcome {
    const { call, observed, delivery } = send;
    const fault = delivery.mayHaveArrived || stated !== UpstreamFault.TimedOut
      ? stated
      : UpstreamFault.NotSent;
    const id = call.choice!.backend.id;
    call.fault = fault;
    const isServerFailure = !LINK_FAULTS.has(fault) &&
      (fault !== UpstreamFault.TimedOut || this.#isNewFailure(send));
    if (isServerFailure) this.#opts.loads.recordFailure(id);
    const outcome = FAULT_OUTCOMES.get(fault) ?? AttemptOutcome.Failed;
    if (outcome === AttemptOutcome.Failed) {
      call.runs += 1;
      if (isServerFailure) {
        this.#opts.loads.failureRates.recordAnswer(call.choice!.backend, { isFailed: true });
      }
    } else {
      observed.result = AttemptResult.NotStarted;
    }
    if (fault === UpstreamFault.Broken) observed.result = AttemptResult.ConnectionLost;
    this.#opts.metrics.incrementCounter("backend_faults", { fault });
    const { runs, events } = call;
    this.#opts.logger.warn("backend-failed", {
      request: call.req.id,
      backend: id,
      softwareVersion: call.choice!.backend.softwareVersion,
      fault,
      runs,
      events,
      framing: call.framing,
      unfinishedBytes: call.unfinishedBytes === 0 ? undefined : call.unfinishedBytes,
      error: message,
      ...this.#opts.crashes.evidenceFor(call.identity),
    });
    return outcome;
  }

  #send(attempt: IObservedSend, choice: IBackendChoice): Effect.Effect<AttemptOutcome, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      const { call, body, observed, delivery } = attempt;
      const { req } = call;
      if (!this.#opts.directory.isAvailable(choice.backend)) {
        observed.result = AttemptResult.NotStarted;
        this.#opts.logger.info("backend-unavailable", { request: req.id, backend: choice.backend.id });
        return AttemptOutcome.NotRun;
      }
      call.denial = this.#authorizer.recheck(call);
      if (call.denial !== undefined) {
        observed.result = AttemptResult.NotStarted;
        this.#opts.logger.info("send-denied", {
          request: req.id,
          reason: call.denial.reason,
          version: this.#opts.routes.version,
          ...this.#authorizer.logFields(req),
        });
        return AttemptOutcome.Denied;
      }
      const now = yield* Clock.currentTimeMillis;
      if (!attempt.sink.hasStarted && this.#opts.drain?.canComplete(call, now) === false) {
        observed.result = AttemptResult.NotStarted;
        this.#opts.logger.info("send-too-late", { request: req.id, route: call.route.name });
        return AttemptOutcome.Stopping;
      }
      const hasOrganisations = this.#opts.routes.organisations.isConfigured;
      const headers = this.#opts.codec.dispatchHeaders(req, {
        timeoutMs: Math.max(1, Math.floor(call.deadlineAtMs - now)),
        backendId: choice.backend.id,
        urgency: req.prompt === undefined ? undefined : urgencyOf(call),
        lastEventId: call.lastEventId,
        bodyLength: body.length,
        hasOrganisations,
        organisation: hasOrganisations ? call.organisation?.name : undefined,
      });
      const request = this.#opts.upstream.send(choice.backend, {
        requestId: req.id,
        method: req.method,
        target: req.target,
        headers,
        body,
        deadlineAtMs: call.deadlineAtMs,
        delivery,
      });
      const response = yield* this.#leaveIfSilent(request, attempt);
      this.#opts.loads.recordResponse(choice.backend.id);
      call.framing = response.body.framing;
      if (response.head.isNotRun) {
        observed.result = AttemptResult.NotStarted;
        response.body.drain();
        return AttemptOutcome.NotRun;
      }
      const isStream = call.route.kind === RouteKind.Stream && isSuccess(response.head);
      if (!isStream && attempt.sink.hasStarted) return this.#rejectContinuation(attempt, response);
      return yield* isStream ? this.#relayStream(attempt, response) : this.#relayBuffered(attempt, response);
    });
  }

  /** Limits the wait for the response head while the request can be repeated on another server. */
  #leaveIfSilent<T>(
    work: Effect.Effect<T, UpstreamError>,
    { call, silence, now }: IObservedSend,
  ): Effect.Effect<T, UpstreamError> {
    const { route, choice } = call;
    // A full engine queues the request and sends nothing until a slot is free.
    const isFull = choice!.running >= choice!.backend.slots;
    if (isFull || !mayRunAgain(call)) return work;
    const limit = () => headSilenceLimit(route, silence);
    const mayLeave = () => this.#canGoOnElsewhere(call);
    return Effect.raceFirst(work, failWhenSilent({ now, limit, mayLeave }));
  }

  /** Whether another server could take over the request of one that is silent, right now. */
  #canGoOnElsewhere(call: RelayedCall): boolean {
    const { crashes, loads, permits, allotments } = this.#opts;
    if (crashes.isQuarantined(call.identity)) return false;
    if (call.organisation !== undefined && allotments?.isLow(call.organisation) === true) return false;
    const choice = this.choose(call, new Set([...call.excluded, call.choice!.backend.id]));
    return choice !== undefined && !loads.isInBackoff(choice.backend.id) &&
      !permits.isExhausted(choice.backend);
  }

  #relayBuffered(
    attempt: IObservedSend,
    response: IUpstreamResponse,
  ): Effect.Effect<AttemptOutcome, UpstreamError> {
    return Effect.suspend(() => {
      const received = new BufferedBody(this.#opts.responseLimits, this.#opts.responseMemory);
      const relay = this.#receiveAndRelay(attempt, { ...response, received });
      return Effect.ensuring(relay, Effect.sync(() => received.dispose()));
    });
  }

  #receiveAndRelay(
    { call, sink, observed }: IObservedSend,
    { head, body, received }: IUpstreamResponse & { received: BufferedBody },
  ): Effect.Effect<AttemptOutcome, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.ensuring(
        readInto(received, body),
        Effect.sync(() => {
          call.connectionError = body.connectionError;
        }),
      );
      observed.result = isSuccess(head) && !isUnsound(head)
        ? AttemptResult.Succeeded
        : AttemptResult.Responded;
      call.runs += 1;
      const isFailed = head.status >= 500 || isUnsound(head);
      this.#opts.loads.failureRates.recordAnswer(call.choice!.backend, { isFailed });
      const now = yield* Clock.currentTimeMillis;
      if (isSuccess(head)) {
        this.#opts.loads.recordUnitLatency(call.choice!.backend.id, now - call.startedAtMs);
      }
      const mayRepeat = isRepeatable(call.route) && call.runs < call.route.attempts;
      if (head.status >= 500 && mayRepeat) return AttemptOutcome.Failed;
      if (isUnsound(head) || NOT_RUN_STATUSES.has(head.status)) return AttemptOutcome.Failed;
      call.status = head.status;
      sink.respond(head.status, head.headers, received.bytes);
      return AttemptOutcome.Done;
    });
  }

  /** Limits the wait for the next event while the stream can go on at another server. */
  #leaveIfStalled(
    reading: Effect.Effect<void, UpstreamError>,
    { attempt: { call, sink, now }, relay }: { attempt: IObservedSend; relay: StreamRelay },
  ): Effect.Effect<void, UpstreamError> {
    if (!mayRunAgain(call)) return reading;
    const limit = () => eventSilenceLimit(call.route, relay.silence);
    const mayLeave = () => (!sink.hasStarted || call.order.canResume) && this.#canGoOnElsewhere(call);
    return Effect.raceFirst(reading, failWhenSilent({ now, limit, mayLeave }));
  }

  /** Ignores an error with which a server responds to the rest of a stream that has begun. */
  #rejectContinuation(
    { call, observed }: IObservedSend,
    { head, body }: IUpstreamResponse,
  ): AttemptOutcome {
    body.drain();
    observed.result = AttemptResult.Responded;
    call.runs += 1;
    this.#opts.loads.failureRates.recordAnswer(call.choice!.backend, { isFailed: head.status >= 500 });
    const { req: { id: request }, choice, lastEventId } = call;
    this.#opts.logger.warn("stream-not-resumed", {
      request,
      backend: choice!.backend.id,
      status: head.status,
      lastEventId,
    });
    return AttemptOutcome.Failed;
  }

  #relayStream(
    attempt: IObservedSend,
    { head, body }: IUpstreamResponse,
  ): Effect.Effect<AttemptOutcome, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      const { call, sink } = attempt;
      if (isUnsound(head) || !mayContinue(call, head)) {
        body.discard();
        return yield* Effect.fail(new UpstreamError(UpstreamFault.Invalid));
      }
      attempt.observed.isStreaming = true;
      const { streams, responseLimits: limits } = this.#opts;
      const { silence, now, claim } = attempt;
      const relay = new StreamRelay(call, { sink, head, streams, limits, silence, now, claim });
      attempt.relay = relay;
      yield* Effect.ensuring(
        this.#leaveIfStalled(readInto(relay, body), { attempt, relay }),
        Effect.sync(() => {
          call.connectionError = body.connectionError;
          call.unfinishedBytes = relay.unfinishedBytes;
        }),
      );
      yield* relay.failWhenBrokenOff(body.framing);
      attempt.observed.result = AttemptResult.Succeeded;
      call.runs += 1;
      this.#opts.loads.failureRates.recordAnswer(call.choice!.backend, { isFailed: false });
      this.#recordPrompt(call);
      const eventIntervalMs = relay.meanEventIntervalMs;
      if (eventIntervalMs !== undefined) {
        this.#opts.loads.recordUnitLatency(call.choice!.backend.id, eventIntervalMs);
      }
      if (!(yield* attempt.beforeEnd)) {
        call.refuse(finalRefusal(GatewayStatus.BadGateway, RefusalReason.HistoryUnavailable));
        sink.abort();
        return AttemptOutcome.Done;
      }
      relay.finish();
      call.status = head.status;
      return AttemptOutcome.Done;
    });
  }

  /** Records which engine has the prompt's prefix in its cache, as reported by the program's owner. */
  recordPromptHome(call: RelayedCall, { backendId, partId, tokens }: IPromptHome): void {
    const { directory, caches } = this.#opts;
    if (!directory.has(backendId)) return;
    for (const part of call.req.prompt?.parts ?? []) {
      const isLast = call.scoped(part.id) === partId;
      caches.recordReportedPart({ backendId, partId: part.id, tokens: isLast ? tokens : part.tokens });
      if (isLast) return;
    }
  }

  /** Returns the engine that has processed a turn's prompt; undefined if none has sent any event. */
  promptHomeOf(call: RelayedCall, tokens: number): IPromptHome | undefined {
    const { req, choice, events } = call;
    const last = req.prompt?.parts.at(-1);
    if (last === undefined || choice === undefined || events === 0) return undefined;
    return { partId: call.scoped(last.id), backendId: choice.backend.id, tokens: last.tokens + tokens };
  }

  #recordPrompt({ req, service, choice }: RelayedCall): void {
    const engine = this.engineOf(service);
    if (engine === undefined || req.prompt === undefined) return;
    this.#opts.caches.recordPrompt(choice!.backend.id, {
      parts: req.prompt.parts,
      capacity: engine.kvTokens,
    });
  }
}

function isSuccess({ status }: IResponseHead): boolean {
  return status >= 200 && status < 300;
}

/** Whether a successful response is not the server's own: it has no signature, or something has encoded its body. */
function isUnsound(head: IResponseHead): boolean {
  const encoding = findHeader(head.headers, "content-encoding") ?? IDENTITY_ENCODING;
  return isSuccess(head) && (!head.isSigned || encoding.trim().toLowerCase() !== IDENTITY_ENCODING);
}

/** Whether a response may go on with the stream whose beginning the caller has received; true if there is none. */
function mayContinue(
  { lastEventId, streamStatus }: RelayedCall,
  { status, headers }: IResponseHead,
): boolean {
  if (lastEventId === undefined) return true;
  const type = findHeader(headers, "content-type") ?? EVENT_STREAM_TYPE;
  const mediaType = type.split(";")[0].trim().toLowerCase();
  return mediaType === EVENT_STREAM_TYPE && status === (streamStatus ?? status);
}

/** Whether a server may run a request after another one that may have run it. */
function mayRunAgain({ route, runs }: RelayedCall): boolean {
  return isRepeatable(route) && runs + 1 < route.attempts;
}

function affinityOf(call: RelayedCall, key: string | undefined): string {
  return key === undefined || key === "" ? "" : call.scoped(key);
}

/** Returns the rank of a request on an engine. Within a priority, late requests rank behind the others. */
function urgencyOf({ route, req, organisation }: RelayedCall): number {
  const latePenalty = (req.program?.remainingMs ?? 1) <= 0 ? LATE_URGENCY_PENALTY : 0;
  if (organisation?.priority === undefined) {
    return Math.min(MAX_URGENCY, BASE_URGENCY + route.priority * URGENCY_PER_PRIORITY + latePenalty);
  }
  const priority = combinedPriority(organisation, route);
  const rank = Math.floor(priority * URGENCY_PER_PRIORITY) + latePenalty;
  // A late request of an organisation does not rank as low as those of organisations with the next priority.
  const lowestRank = Math.floor(priority) * URGENCY_PER_PRIORITY + LATE_URGENCY_PENALTY;
  return Math.min(MAX_URGENCY, BASE_URGENCY + Math.min(rank, lowestRank));
}
