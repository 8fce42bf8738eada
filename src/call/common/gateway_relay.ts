/** Passes opaque requests on to backend servers and their answers back. */
import { Clock, Effect } from "effect";
import { TurnVerdict } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { BackendLoads } from "../../routing/common/backend_loads.ts";
import type { IBackendChoice, IBackendChooser } from "../../routing/common/backend_chooser.ts";
import { EngineChooser, ServiceChooser } from "../../routing/common/backend_chooser.ts";
import type { IProgramAdmission } from "../../routing/common/program_admission.ts";
import type { PromptCacheMap } from "../../routing/common/prompt_cache_map.ts";
import type { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IEngineInfo, RouteTable } from "../../services/routes/common/route_table.ts";
import { isRepeatable, pickService, RouteKind } from "../../services/routes/common/route_table.ts";
import type { IChain, ITurnClient } from "../../turns/common/turn_client.ts";
import { ChainState } from "../../turns/common/turn_client.ts";
import type { CrashStrikes, IRequestContent } from "./crash_strikes.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { IRefusal } from "./gateway_refusal.ts";
import { finalRefusal, GatewayStatus, notRun, RefusalReason } from "./gateway_refusal.ts";
import type {
  IAnswerHead,
  IAnswerSink,
  ICallCodec,
  IOpaqueRequest,
  IRawRequest,
  IUpstream,
  IUpstreamAnswer,
} from "./opaque_call.ts";
import { UpstreamError, UpstreamFault } from "./opaque_call.ts";
import { AttemptOutcome, RelayedCall } from "./relayed_call.ts";

/** Refusals by full servers after which the caller is told to come back. */
const MAX_REFUSALS = 4;
/** When a caller comes back to full servers, in ms: a few answers later. */
const FULL_RETRY_MS = 300;
/** When a caller comes back to an owner or a server that could not be found, in ms. */
const ABSENT_RETRY_MS = 500;
/** When a caller comes back while the store does not take a program's record, in ms: outages last seconds. */
const STORE_RETRY_MS = 1200;
/** When the caller of a request that crashes servers may come back, in ms: beyond the life of its strikes. */
const CRASHING_RETRY_MS = 60_000;
/** Longest wait for the owner of a budget or of a kept turn, in ms: a slice changes hands in less. */
const OWNER_PATIENCE_MS = 1500;
/** Longest wait for the first configuration and list of servers after a start, in ms: a few calls to the store. */
const START_PATIENCE_MS = 600;
const START_POLL_MS = 20;
/** Least time without a sign after which a repeatable request goes to another server, in ms. */
const MIN_SILENCE_MS = 700;
/** Multiple of a route's target after which a server counts as silent. */
const SILENCE_TARGETS = 4;
/** Gap in a stream after which its server counts as silent, in ms: callers give up after two seconds. */
const STREAM_GAP_MS = 1500;
/** Statuses by which a server would promise that the request has not run. */
const PROMISES = new Set([408, 421, 429, 503]);
/** Urgency on engines of the most important route, and the step between two priorities. */
const FIRST_URGENCY = 3;
const URGENCY_STEP = 2;
const LATE_URGENCY = 1;
const LAST_URGENCY = 9;

export interface IGatewayRelayOptions {
  readonly codec: ICallCodec;
  readonly routes: RouteTable;
  readonly directory: BackendDirectory;
  readonly loads: BackendLoads;
  readonly caches: PromptCacheMap;
  readonly turns: ITurnClient;
  readonly admission: IProgramAdmission;
  readonly strikes: CrashStrikes;
  readonly upstream: IUpstream;
  readonly logger: ILogger;
  readonly metrics: Metrics;
  readonly zone: string;
  /** Draws a number from 0 up to, not including, 1. */
  readonly random: () => number;
  /** Whether the configuration may be out of date because the store does not answer. */
  readonly isConfigurationStale: () => boolean;
}

interface IAttempt {
  readonly call: RelayedCall;
  readonly sink: IAnswerSink;
  readonly body: Uint8Array;
  readonly chain: IChain | undefined;
}

export class GatewayRelay {
  readonly #opts: IGatewayRelayOptions;

  constructor(opts: IGatewayRelayOptions) {
    this.#opts = opts;
  }

  /** Serves one request. Interruption means that the caller has left. */
  handle(raw: IRawRequest, sink: IAnswerSink): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const req = this.#opts.codec.readRequest(raw);
      if (req === undefined) {
        return this.#refuseEarly(sink, finalRefusal(GatewayStatus.BadRequest, RefusalReason.NoIdentity));
      }
      const { routes } = this.#opts;
      yield* this.#awaitConfiguration();
      const route = routes.find(req.host, req.target);
      if (route === undefined) return this.#refuseEarly(sink, this.#noRoute(), req);
      if (this.#opts.strikes.isCrashing(contentOf(req))) {
        return this.#refuseEarly(sink, notRun(RefusalReason.Crashing, CRASHING_RETRY_MS), req);
      }
      const now = yield* Clock.currentTimeMillis;
      const service = pickService(route.services, this.#opts.random());
      const call = new RelayedCall(req, { route, service, now, configurationVersion: routes.version });
      const work = isTurn(call)
        ? this.#serveTurn(call, sink)
        : this.#serve({ call, sink, body: req.body, chain: undefined });
      const outcome = yield* Effect.raceFirst(work, this.#awaitDeadline(call)).pipe(
        Effect.onInterrupt(() => this.#log(call, "caller-left")),
      );
      if (outcome !== undefined) this.#refuse(call, { sink, refusal: outcome });
      yield* this.#log(call, "request");
    });
  }

  /** Waits a little for the first configuration after a start. */
  #awaitConfiguration(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let waitedMs = 0; waitedMs < START_PATIENCE_MS; waitedMs += START_POLL_MS) {
        if (this.#opts.routes.configuration !== undefined && this.#opts.directory.size > 0) return;
        yield* Effect.sleep(START_POLL_MS);
      }
    });
  }

  #noRoute(): IRefusal {
    if (this.#opts.routes.configuration === undefined) {
      return notRun(RefusalReason.NoConfiguration, ABSENT_RETRY_MS);
    }
    if (this.#opts.isConfigurationStale()) return notRun(RefusalReason.NoRoute, ABSENT_RETRY_MS);
    return finalRefusal(GatewayStatus.NotFound, RefusalReason.NoRoute);
  }

  #refuseEarly(sink: IAnswerSink, refusal: IRefusal, req?: IOpaqueRequest): void {
    const { status, reason } = refusal;
    this.#opts.logger.info("request", { request: req?.id, target: req?.target, status, reason });
    writeRefusal(sink, refusal);
  }

  #refuse(call: RelayedCall, { sink, refusal }: { sink: IAnswerSink; refusal: IRefusal }): void {
    call.refuse(refusal);
    if (sink.isBegun) sink.abort();
    else writeRefusal(sink, refusal);
  }

  #awaitDeadline(call: RelayedCall): Effect.Effect<IRefusal> {
    return Effect.gen(function* () {
      const now = yield* Clock.currentTimeMillis;
      yield* Effect.sleep(Math.max(0, call.deadlineAtMs - now));
      if (call.runs === 0 && call.choice === undefined) {
        return notRun(RefusalReason.DeadlineOver, ABSENT_RETRY_MS);
      }
      return finalRefusal(GatewayStatus.Timeout, RefusalReason.DeadlineOver);
    });
  }

  /** Asks for the budget and the chain before a turn, and tells afterwards what it has handed out. */
  #serveTurn(call: RelayedCall, sink: IAnswerSink): Effect.Effect<IRefusal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const { req, route } = call;
      const program = req.program!;
      const patienceMs = Math.min(OWNER_PATIENCE_MS, call.deadlineAtMs - call.startedAtMs);
      const grant = {
        programId: program.programId,
        turnId: req.id,
        maxTokens: req.prompt?.maxTokens ?? 0,
        budget: program.budget!,
        retainMs: route.retainMs,
      };
      const begin = this.#opts.turns.begin(grant, patienceMs);
      const chained = this.#loadChain(call, patienceMs);
      const [begun, chain] = yield* Effect.all([begin, chained], { concurrency: "unbounded" });
      const verdict = begun?.verdict;
      if (verdict === TurnVerdict.SPENT) {
        return finalRefusal(GatewayStatus.BudgetSpent, RefusalReason.BudgetSpent);
      }
      if (verdict === TurnVerdict.NOT_RECORDED) {
        return notRun(RefusalReason.BudgetUnavailable, STORE_RETRY_MS);
      }
      if (verdict !== TurnVerdict.GRANTED) return notRun(RefusalReason.BudgetUnavailable, ABSENT_RETRY_MS);
      const serve = Effect.suspend(() => {
        const refusal = begun?.isFresh ? this.#admit(call) : undefined;
        if (refusal !== undefined) return Effect.succeed(refusal);
        if (chain instanceof Object) {
          const body = chain.contents.length === 0 ? req.body : Buffer.concat([...chain.contents, req.body]);
          return this.#serve({ call, sink, body, chain });
        }
        const reason = chain === ChainState.Unknown
          ? RefusalReason.TurnUnknown
          : RefusalReason.HistoryUnavailable;
        return Effect.succeed(notRun(reason, ABSENT_RETRY_MS));
      });
      const end = () => {
        const tokens = call.events * (this.#engineOf(call.service)?.tokensPerEvent ?? 0);
        return this.#opts.turns.end({ programId: program.programId, turnId: req.id, tokens });
      };
      return yield* Effect.onExit(serve, () => Effect.asVoid(Effect.forkDetach(Effect.suspend(end))));
    });
  }

  #loadChain(call: RelayedCall, patienceMs: number): Effect.Effect<IChain | ChainState> {
    const previous = call.req.program?.previousTurnId;
    if (!call.route.keepsHistory || previous === undefined) return Effect.succeed({ contents: [], refs: [] });
    return Effect.map(
      this.#opts.turns.load(previous, patienceMs),
      (result) => result.state === ChainState.Found ? result.chain : result.state,
    );
  }

  /** Tries servers until one has answered or none may be tried any more. */
  #serve(attempt: IAttempt): Effect.Effect<IRefusal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const { call, sink } = attempt;
      while (true) {
        const choice = this.#choose(call);
        if (choice === undefined) return this.#noBackend(call);
        call.choice = choice;
        const outcome = yield* this.#attempt(attempt, choice);
        if (outcome === AttemptOutcome.Done) {
          this.#opts.strikes.notePass(contentOf(call.req));
          return undefined;
        }
        call.excluded.add(choice.backend.id);
        if (outcome === AttemptOutcome.NotRun) {
          call.refusals += 1;
          if (call.refusals >= MAX_REFUSALS) return this.#noBackend(call);
          continue;
        }
        const canResume = !sink.isBegun || call.lastEventId !== undefined;
        if (!isRepeatable(call.route) || !canResume || call.runs >= call.route.attempts) {
          return finalRefusal(GatewayStatus.BadGateway, RefusalReason.OutcomeUnknown);
        }
      }
    });
  }

  /** Decides on a program before its first turn, by how crowded the engines are. */
  #admit({ route, service }: RelayedCall): IRefusal | undefined {
    const { directory, loads, admission, random } = this.#opts;
    const crowding = directory.usable(service).map(({ id, slots }) => loads.running(id) / slots);
    const verdict = admission.decide({ crowding, priority: route.priority, random: random() });
    return verdict.isAdmitted ? undefined : notRun(RefusalReason.Overloaded, verdict.retryAfterMs);
  }

  /** A request that has not run anywhere is promised so; otherwise its outcome is unknown. */
  #noBackend({ runs, refusals }: RelayedCall): IRefusal {
    if (runs > 0) return finalRefusal(GatewayStatus.BadGateway, RefusalReason.OutcomeUnknown);
    if (refusals === 0) return notRun(RefusalReason.NoBackend, ABSENT_RETRY_MS);
    return notRun(RefusalReason.BackendsFull, FULL_RETRY_MS * (0.5 + this.#opts.random()));
  }

  #choose(call: RelayedCall): IBackendChoice | undefined {
    const { req, service, excluded } = call;
    const chooser = this.#chooserOf(service);
    const demand = {
      zone: this.#opts.zone,
      affinity: req.program?.lineId ?? req.affinityKey ?? "",
      parts: req.prompt?.parts ?? [],
      promptTokens: req.prompt?.promptTokens ?? 0,
      maxTokens: req.prompt?.maxTokens ?? 0,
      excluded,
    };
    const affinity = call.route.kind === RouteKind.Stream ? demand.affinity : req.affinityKey ?? "";
    return chooser.choose({ ...demand, affinity }, this.#opts.directory.usable(service));
  }

  #chooserOf(service: string): IBackendChooser {
    const engine = this.#engineOf(service);
    return engine === undefined
      ? new ServiceChooser(this.#opts.loads)
      : new EngineChooser(engine, this.#opts);
  }

  #engineOf(service: string): IEngineInfo | undefined {
    return this.#opts.routes.service(service)?.engine;
  }

  #attempt(attempt: IAttempt, choice: IBackendChoice): Effect.Effect<AttemptOutcome> {
    const { loads } = this.#opts;
    const { id } = choice.backend;
    return Effect.suspend(() => {
      loads.noteStart(id);
      return this.#tryOnce(attempt, choice);
    }).pipe(
      Effect.catchTag(
        "UpstreamError",
        (err) =>
          Effect.map(
            this.#noteFault(attempt.call, err),
            () => err.fault === UpstreamFault.NotSent ? AttemptOutcome.NotRun : AttemptOutcome.Failed,
          ),
      ),
      Effect.ensuring(Effect.sync(() => loads.noteEnd(id))),
    );
  }

  #noteFault(call: RelayedCall, { fault, message }: UpstreamError): Effect.Effect<void> {
    return Effect.sync(() => {
      const id = call.choice!.backend.id;
      this.#opts.loads.noteFailure(id);
      if (fault !== UpstreamFault.NotSent) call.runs += 1;
      if (fault === UpstreamFault.Broken) this.#opts.strikes.noteCrash(contentOf(call.req));
      this.#opts.metrics.count("backend_faults", { fault });
      const { runs, events } = call;
      this.#opts.logger.warn("backend-failed", {
        request: call.req.id,
        backend: id,
        fault,
        runs,
        events,
        error: message,
      });
    });
  }

  #tryOnce(attempt: IAttempt, choice: IBackendChoice): Effect.Effect<AttemptOutcome, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      const { call, body } = attempt;
      const { req } = call;
      const now = yield* Clock.currentTimeMillis;
      const headers = this.#opts.codec.dispatchHeaders(req, {
        deadlineMs: Math.max(1, Math.floor(call.deadlineAtMs - now)),
        instanceId: choice.backend.id,
        urgency: req.prompt === undefined ? undefined : urgencyOf(call),
        lastEventId: call.lastEventId,
        bodyLength: body.length,
      });
      const send = this.#opts.upstream.send(choice.backend, {
        requestId: req.id,
        method: req.method,
        target: req.target,
        headers,
        body,
      });
      const answer = yield* this.#orSilent(send, call);
      this.#opts.loads.noteAnswer(choice.backend.id);
      if (answer.head.isNotRun) {
        answer.body.drain();
        return AttemptOutcome.NotRun;
      }
      const isStream = call.route.kind === RouteKind.Stream && isSuccess(answer.head);
      return yield* isStream ? this.#passStream(attempt, answer) : this.#passWhole(attempt, answer);
    });
  }

  /** Gives a repeatable request's server a limited time for its first sign. */
  #orSilent<T>(
    work: Effect.Effect<T, UpstreamError>,
    { route, runs, choice }: RelayedCall,
  ): Effect.Effect<T, UpstreamError> {
    // On a crowded engine a request waits for a slot without a sign.
    const isCrowded = choice!.running >= choice!.backend.slots;
    if (isCrowded || !isRepeatable(route) || runs + 1 >= route.attempts) return work;
    const silenceMs = Math.max(MIN_SILENCE_MS, route.targetMs * SILENCE_TARGETS);
    return Effect.timeoutOrElse(work, {
      duration: silenceMs,
      orElse: () => Effect.fail(new UpstreamError(UpstreamFault.Silent)),
    });
  }

  #passWhole(
    { call, sink }: IAttempt,
    { head, body }: IUpstreamAnswer,
  ): Effect.Effect<AttemptOutcome, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      const chunks: Uint8Array[] = [];
      yield* body.read((chunk) => chunks.push(chunk));
      call.runs += 1;
      const now = yield* Clock.currentTimeMillis;
      if (isSuccess(head)) this.#opts.loads.notePace(call.choice!.backend.id, now - call.startedAtMs);
      const mayRepeat = isRepeatable(call.route) && call.runs < call.route.attempts;
      if (head.status >= 500 && mayRepeat) return AttemptOutcome.Failed;
      if (isUnsigned(head) || PROMISES.has(head.status)) return AttemptOutcome.Failed;
      call.status = head.status;
      sink.whole(head.status, head.headers, Buffer.concat(chunks));
      return AttemptOutcome.Done;
    });
  }

  #passStream(
    attempt: IAttempt,
    { head, body }: IUpstreamAnswer,
  ): Effect.Effect<AttemptOutcome, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      const { call, sink } = attempt;
      if (isUnsigned(head)) {
        body.discard();
        return yield* Effect.fail(new UpstreamError(UpstreamFault.Broken));
      }
      const relay = new StreamRelay(call, { sink, head });
      yield* Effect.raceFirst(body.read((chunk) => relay.push(chunk)), relay.awaitSilence());
      call.runs += 1;
      this.#notePrompt(call);
      const pace = relay.paceMs;
      if (pace !== undefined) this.#opts.loads.notePace(call.choice!.backend.id, pace);
      if (!(yield* this.#keep(attempt))) {
        call.refuse(notRun(RefusalReason.HistoryUnavailable, ABSENT_RETRY_MS));
        sink.abort();
        return AttemptOutcome.Done;
      }
      relay.finish();
      call.status = head.status;
      return AttemptOutcome.Done;
    });
  }

  #notePrompt({ req, service, choice }: RelayedCall): void {
    const engine = this.#engineOf(service);
    if (engine === undefined || req.prompt === undefined) return;
    this.#opts.caches.use(choice!.backend.id, { parts: req.prompt.parts, capacity: engine.kvTokens });
  }

  /** Keeps a turn before its end is passed on; true when there is nothing to keep or it is kept. */
  #keep({ call, chain }: IAttempt): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { req, route } = call;
      if (!route.keepsHistory || chain === undefined) return true;
      const now = yield* Clock.currentTimeMillis;
      const content = Buffer.concat([req.body, Buffer.from(call.output.join(""), "latin1")]);
      const finished = { turnId: req.id, chain, content, retainMs: route.retainMs };
      return yield* this.#opts.turns.keep(finished, call.deadlineAtMs - now);
    });
  }

  #log(call: RelayedCall, event: string): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      this.#opts.logger.info(event, call.describe(now));
      const labels = { route: call.route.kind, status: String(call.status) };
      this.#opts.metrics.time("request", now - call.startedAtMs, labels);
    });
  }
}

/** Passes the events of one answer on, each whole and once. */
class StreamRelay {
  readonly #call: RelayedCall;
  readonly #sink: IAnswerSink;
  readonly #head: IAnswerHead;
  readonly #splitter = new EventSplitter();
  #lastSignMs = performance.now();
  #firstMs = 0;
  #events = 0;

  constructor(call: RelayedCall, { sink, head }: { sink: IAnswerSink; head: IAnswerHead }) {
    this.#call = call;
    this.#sink = sink;
    this.#head = head;
  }

  /** Mean time between two events, in ms; undefined with too few. */
  get paceMs(): number | undefined {
    return this.#events < 3 ? undefined : (this.#lastSignMs - this.#firstMs) / (this.#events - 1);
  }

  push(chunk: Uint8Array): void {
    this.#lastSignMs = performance.now();
    const events = this.#splitter.push(chunk);
    if (events.length === 0) return;
    if (this.#events === 0) this.#firstMs = this.#lastSignMs;
    this.#events += events.length;
    const fresh = events.filter(({ id }) => !this.#isOld(id));
    if (fresh.length === 0) return;
    this.#begin();
    for (const { id, data } of fresh) {
      this.#call.lastEventId = id ?? this.#call.lastEventId;
      this.#call.events += 1;
      if (this.#call.route.keepsHistory) this.#call.output.push(data, "\n");
    }
    this.#sink.write(fresh.length === 1 ? fresh[0].bytes : Buffer.concat(fresh.map(({ bytes }) => bytes)));
  }

  /** Fails once no byte has come for too long. */
  awaitSilence(): Effect.Effect<never, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const leftMs = this.#lastSignMs + STREAM_GAP_MS - performance.now();
        if (leftMs <= 0) return yield* Effect.fail(new UpstreamError(UpstreamFault.Silent));
        yield* Effect.sleep(leftMs + 1);
      }
    });
  }

  /** Ends the answer to the caller as complete. */
  finish(): void {
    this.#begin();
    if (this.#splitter.rest.length > 0) this.#sink.write(this.#splitter.rest);
    this.#sink.end();
  }

  #begin(): void {
    if (this.#sink.isBegun) return;
    this.#call.firstEventAtMs = Date.now();
    this.#sink.begin(this.#head.status, this.#head.headers);
  }

  /** Whether an event was passed on before, from the server that had the stream first. */
  #isOld(id: string | undefined): boolean {
    const last = this.#call.lastEventId;
    return id !== undefined && last !== undefined && Number(id) <= Number(last);
  }
}

function contentOf({ method, target, body, program, affinityKey }: IOpaqueRequest): IRequestContent {
  return { method, target, body, caller: program?.lineId ?? affinityKey ?? "" };
}

function isTurn({ req, route }: RelayedCall): boolean {
  return route.kind === RouteKind.Stream && route.retainMs > 0 && req.program?.budget !== undefined;
}

function isSuccess({ status }: IAnswerHead): boolean {
  return status >= 200 && status < 300;
}

function isUnsigned(head: IAnswerHead): boolean {
  return isSuccess(head) && !head.isSigned;
}

/** Rank on an engine: late requests behind all that can be on time. */
function urgencyOf({ route, req }: RelayedCall): number {
  const isLate = (req.program?.finishMs ?? 1) <= 0;
  const rank = FIRST_URGENCY + route.priority * URGENCY_STEP + (isLate ? LATE_URGENCY : 0);
  return Math.min(LAST_URGENCY, rank);
}

function writeRefusal(sink: IAnswerSink, { status, reason, retryAfterMs }: IRefusal): void {
  const headers = ["content-type", "application/problem+json"];
  if (retryAfterMs !== undefined) headers.push("retry-after", (retryAfterMs / 1000).toFixed(2));
  sink.whole(status, headers, Buffer.from(JSON.stringify({ status, title: reason })));
}
