/** Relays opaque requests to backend servers and their responses to callers. */
import { Clock, Effect, Fiber } from "effect";
import { TurnVerdict } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { RequestProgress } from "../../routing/common/allotment_limiter.ts";
import type { IProgramAdmission } from "../../routing/common/program_admission.ts";
import { combinedPriority } from "../../services/organisations/common/organisation_scope.ts";
import { isRepeatable, RouteKind, selectServiceByWeight } from "../../services/routes/common/route_table.ts";
import { BoundedLabel } from "../../services/metrics/common/bounded_label.ts";
import type { IBeginTurnResult } from "../../turns/common/owned_slices.ts";
import type { IOwnerCallOptions, ITurnChain, ITurnClient } from "../../turns/common/turn_client.ts";
import { ChainLookupStatus } from "../../turns/common/turn_client.ts";
import type { IAttempt } from "./backend_dispatcher.ts";
import { BackendDispatcher } from "./backend_dispatcher.ts";
import type { IAllotmentClient } from "./allotment_client.ts";
import { CallAuthorizer } from "./call_authorizer.ts";
import type { IHedgedDispatcherOptions } from "./hedged_dispatcher.ts";
import { HedgedDispatcher } from "./hedged_dispatcher.ts";
import type { IRefusal } from "./gateway_refusal.ts";
import {
  allotmentRefusal,
  finalRefusal,
  GatewayStatus,
  RefusalReason,
  retryableRefusal,
} from "./gateway_refusal.ts";
import type { IOpaqueRequest, IRawRequest, IRequestProgress, IResponseSink } from "./opaque_request.ts";
import { AttemptOutcome, RelayedCall } from "./relayed_call.ts";
import { MAX_TOKENS, RequestPhase, UpstreamFault } from "./opaque_request.ts";
import { RequestIdentity } from "./request_identity.ts";
import type { IStreamContinuationOptions } from "./stream_continuation.ts";
import { StreamContinuation } from "./stream_continuation.ts";

/** Number of servers that may decline a request, for example because they are full, before it is refused. */
const MAX_REFUSALS = 4;
/** Retry delay when all servers are full: the time of a few responses. */
const BACKENDS_FULL_RETRY_AFTER_MS = 300;
/** Retry delay when an owner, a server or the configuration is unavailable. */
const UNAVAILABLE_RETRY_AFTER_MS = 500;
/** Retry delay when the store does not accept a program's record. Store outages last seconds. */
const STORE_RETRY_AFTER_MS = 1200;
/** Retry delay when no instance knows the stream that a caller resumes: reports of others may be on their way. */
const STREAM_RETRY_AFTER_MS = 300;
/** Retry delay for a request that crashes servers: its caller need not return soon. */
const CRASHING_RETRY_AFTER_MS = 60_000;
/** Retry delay of a request that this instance cannot end before it stops: others serve it at once. */
const STOPPING_RETRY_AFTER_MS = 10;
/** Time limit for reaching the owner of a budget or a stored turn. A slice handover takes less time. */
const OWNER_TIMEOUT_MS = 1500;
/** Share of the time left that a turn may wait for owners, so that its caller has time for another try. */
const OWNER_WAIT_SHARE = 0.5;
/** Share of the time left after which the caller of a turn without an owner should retry, and the least delay. */
const OWNER_RETRY_SHARE = 0.3;
const MIN_OWNER_RETRY_AFTER_MS = 50;
/** Time before its deadline at which a request that no server has received is refused: the refusal must reach the caller. */
const MAX_REFUSAL_MARGIN_MS = 150;
const REFUSAL_MARGIN_SHARE = 0.1;
/** Time limit for the first configuration and server list after startup: the time of a few store requests. */
const STARTUP_TIMEOUT_MS = 600;
const STARTUP_POLL_INTERVAL_MS = 20;
/** Number of organisations with their own series in the metrics; all others share one. */
const MAX_ORGANISATION_LABELS = 20;

export interface IGatewayRelayOptions extends IHedgedDispatcherOptions, IStreamContinuationOptions {
  readonly turns: ITurnClient;
  readonly admission: IProgramAdmission;
  readonly allotments: IAllotmentClient;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

export class GatewayRelay {
  readonly #opts: IGatewayRelayOptions;
  readonly #dispatcher: BackendDispatcher;
  readonly #authorizer: CallAuthorizer;
  readonly #organisationLabel = new BoundedLabel(MAX_ORGANISATION_LABELS);
  readonly #hedged: HedgedDispatcher;
  readonly #streams: StreamContinuation;

  constructor(opts: IGatewayRelayOptions) {
    this.#opts = opts;
    this.#authorizer = new CallAuthorizer(opts);
    this.#dispatcher = new BackendDispatcher(opts);
    this.#hedged = new HedgedDispatcher(this.#dispatcher, opts);
    this.#streams = new StreamContinuation(opts);
  }

  /** Serves one request. Interruption means that the caller has disconnected. */
  handle(raw: IRawRequest, sink: IResponseSink): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const arrivedAtMs = yield* Clock.currentTimeMillis;
      const { routes, codec } = this.#opts;
      const { isConfigured: hadOrganisations } = routes.organisations;
      const first = codec.readRequest(raw, { hasOrganisations: hadOrganisations });
      if (first === undefined) {
        return this.#refuseEarly(sink, finalRefusal(GatewayStatus.BadRequest, RefusalReason.NoIdentity));
      }
      sink.describeProgress = () => ({ request: first.id, phase: RequestPhase.Waiting });
      yield* this.#awaitConfiguration();
      const { isConfigured: hasOrganisations } = routes.organisations;
      const req = hasOrganisations === hadOrganisations
        ? first
        : codec.readRequest(raw, { hasOrganisations })!;
      const route = routes.find(req.host, req.target);
      const organisation = routes.organisations.find(req.apiKeyDigest);
      const denial = this.#authorizer.check(req, route);
      if (denial !== undefined) return this.#refuseEarly(sink, denial, req);
      if (route === undefined) return this.#refuseEarly(sink, this.#noRouteRefusal(), req);
      const identity = RequestIdentity.of(req);
      if (this.#opts.crashes.isQuarantined(identity)) {
        return this.#refuseEarly(sink, this.#crashingRefusal(identity), req);
      }
      const context = { identity, route, organisation };
      const isResumed = route.kind === RouteKind.Stream && req.lastEventId !== undefined;
      if (isResumed && route.keepsHistory && isTurn({ req, route })) {
        // The turn could not be stored: the events before the last one that the caller has are not known here.
        const refusal = retryableRefusal(RefusalReason.HistoryUnavailable, UNAVAILABLE_RETRY_AFTER_MS);
        return this.#refuseEarly(sink, refusal, req);
      }
      const origin = isResumed ? yield* this.#streams.findOrigin(req, context) : undefined;
      if (isResumed && origin === undefined) {
        const refusal = retryableRefusal(RefusalReason.StreamUnknown, STREAM_RETRY_AFTER_MS);
        return this.#refuseEarly(sink, refusal, req);
      }
      const earlierOrigin = isResumed ? undefined : this.#streams.findEarlierOrigin(req, context);
      const call = new RelayedCall(req, {
        identity,
        route,
        service: (origin ?? earlierOrigin)?.service ??
          selectServiceByWeight(route.services, this.#opts.random()),
        now: arrivedAtMs,
        configurationVersion: routes.version,
        organisation,
        hasOrganisations,
      });
      call.origin = origin;
      call.earlierOrigin = earlierOrigin;
      call.engine = this.#dispatcher.engineOf(call.service);
      sink.describeProgress = () => progressOfCall(call, sink);
      if (this.#opts.drain?.canComplete(call, arrivedAtMs) === false) {
        this.#refuse(call, { sink, refusal: stoppingRefusal() });
        return yield* this.#log(call, "request");
      }
      const work = isTurn(call) ? this.#serveTurn(call, sink) : this.#serveOther(call, sink);
      const outcome = yield* Effect.raceFirst(work, this.#awaitEnd(call, sink)).pipe(
        Effect.ensuring(Effect.sync(() => this.#giveBackToken(call))),
        Effect.onInterrupt(() => {
          this.#addCrashEvidence(call);
          return this.#log(call, "caller-left");
        }),
      );
      if (outcome !== undefined) this.#refuse(call, { sink, refusal: outcome });
      else this.#opts.drain?.recordDuration(route.name, (yield* Clock.currentTimeMillis) - arrivedAtMs);
      if (outcome?.status === GatewayStatus.Timeout) this.#addCrashEvidence(call);
      yield* this.#log(call, "request");
    });
  }

  /** Waits up to the startup timeout for the first configuration and server list. */
  #awaitConfiguration(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let waitedMs = 0; waitedMs < STARTUP_TIMEOUT_MS; waitedMs += STARTUP_POLL_INTERVAL_MS) {
        if (this.#opts.routes.configuration !== undefined && this.#opts.directory.size > 0) return;
        yield* Effect.sleep(STARTUP_POLL_INTERVAL_MS);
      }
    });
  }

  #noRouteRefusal(): IRefusal {
    if (this.#opts.routes.configuration === undefined) {
      return retryableRefusal(RefusalReason.NoConfiguration, UNAVAILABLE_RETRY_AFTER_MS);
    }
    if (this.#opts.isConfigurationStale()) {
      return retryableRefusal(RefusalReason.NoRoute, UNAVAILABLE_RETRY_AFTER_MS);
    }
    return finalRefusal(GatewayStatus.NotFound, RefusalReason.NoRoute);
  }

  #refuseEarly(sink: IResponseSink, refusal: IRefusal, req?: IOpaqueRequest): void {
    const { status, reason } = refusal;
    const evidence = reason === RefusalReason.CrashingRequest && req !== undefined
      ? this.#opts.crashes.evidenceFor(RequestIdentity.of(req))
      : {};
    const organisations = req === undefined ? {} : this.#authorizer.logFields(req);
    this.#opts.logger.info("request", {
      request: req?.id,
      target: req?.target,
      status,
      reason,
      version: this.#opts.routes.configuration?.version,
      ...organisations,
      resumedAfter: req?.lastEventId,
      resumes: req?.resumes,
      ...evidence,
    });
    this.#opts.metrics.incrementCounter("early_refusals", { reason });
    const name = this.#opts.routes.organisations.find(req?.apiKeyDigest)?.name;
    if (name !== undefined) this.#countRequest(name, status);
    writeRefusal(sink, refusal);
  }

  #refuse(call: RelayedCall, { sink, refusal }: { sink: IResponseSink; refusal: IRefusal }): void {
    call.refuse(refusal);
    if (sink.hasStarted) sink.abort();
    else writeRefusal(sink, refusal);
  }

  /** Waits until a request must be refused because of its deadline or because this instance stops. */
  #awaitEnd(call: RelayedCall, sink: IResponseSink): Effect.Effect<IRefusal> {
    const { drain } = this.#opts;
    const atDeadline = this.#awaitDeadline(call);
    if (drain === undefined) return atDeadline;
    const atStop = Effect.flatMap(drain.awaitEnd, () =>
      // A response that has begun goes on until the process ends.
      sink.hasStarted ? Effect.never : Effect.sync(() => {
        const isSent = call.runs > 0 || !call.deliveries.tryWithdraw();
        return isSent
          ? finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call))
          : stoppingRefusal();
      }));
    return Effect.raceFirst(atDeadline, atStop);
  }

  /** Waits until a request must be refused: shortly before its deadline if no server has received it, and at the deadline otherwise. */
  #awaitDeadline(call: RelayedCall): Effect.Effect<IRefusal> {
    return Effect.gen(function* () {
      const { startedAtMs, deadlineAtMs } = call;
      const marginMs = Math.min(MAX_REFUSAL_MARGIN_MS, (deadlineAtMs - startedAtMs) * REFUSAL_MARGIN_SHARE);
      const now = yield* Clock.currentTimeMillis;
      yield* Effect.sleep(Math.max(0, deadlineAtMs - marginMs - now));
      if (call.runs === 0 && call.deliveries.tryWithdraw()) {
        return retryableRefusal(RefusalReason.DeadlineExceeded, UNAVAILABLE_RETRY_AFTER_MS);
      }
      yield* Effect.sleep(Math.max(0, deadlineAtMs - (yield* Clock.currentTimeMillis)));
      if (call.runs === 0 && call.deliveries.tryWithdraw()) {
        return retryableRefusal(RefusalReason.DeadlineExceeded, UNAVAILABLE_RETRY_AFTER_MS);
      }
      return finalRefusal(GatewayStatus.Timeout, RefusalReason.DeadlineExceeded);
    });
  }

  /** Serves a request that is no turn. */
  #serveOther(call: RelayedCall, sink: IResponseSink): Effect.Effect<IRefusal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const refusal = yield* this.#acquireToken(call);
      if (refusal !== undefined) return refusal;
      return yield* this.#serve({ call, sink, body: call.req.body, beforeEnd: Effect.succeed(true) });
    });
  }

  /**
   * Acquires the token for the next send from the allotment of the request's organisation, if that has one. A token that is
   * granted after the request has ended is given back.
   */
  #acquireToken(call: RelayedCall): Effect.Effect<IRefusal | undefined> {
    if (call.organisation?.allotment === undefined) return Effect.succeed(undefined);
    return Effect.gen({ self: this }, function* () {
      const acquiring = yield* Effect.forkDetach(this.#askForToken(call));
      const giveBack = Effect.andThen(Fiber.await(acquiring), Effect.sync(() => this.#giveBackToken(call)));
      return yield* Effect.onInterrupt(Fiber.join(acquiring), () => Effect.forkDetach(giveBack));
    });
  }

  #askForToken(call: RelayedCall): Effect.Effect<IRefusal | undefined> {
    const { organisation, req, configurationVersion: version } = call;
    if (organisation?.allotment === undefined) return Effect.succeed(undefined);
    const token = this.#opts.allotments.acquire({
      organisation,
      version,
      programId: req.program?.programId,
      progress: progressOf(call),
    });
    return Effect.map(token, (decision) => {
      call.allotment = decision;
      call.holdsToken = decision?.isGranted === true;
      if (decision === undefined || decision.isGranted) return undefined;
      return call.runs > 0
        ? finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call))
        : allotmentRefusal(decision.retryAfterMs);
    });
  }

  /** Returns a token of the allotment that no server has used. */
  #giveBackToken(call: RelayedCall): void {
    if (!call.holdsToken) return;
    call.holdsToken = false;
    this.#opts.allotments.giveBack(call.allotment!);
  }

  /** Serves a turn, and reports its end to the budget's owner unless the owner has refused it. */
  #serveTurn(call: RelayedCall, sink: IResponseSink): Effect.Effect<IRefusal | undefined> {
    // Without a response, the owner may have granted the turn, or may grant it later.
    const endTurn = Effect.suspend(() => call.isTurnRefused ? Effect.void : this.#endTurn(call));
    return Effect.onExit(this.#beginTurn(call, sink), () => Effect.asVoid(Effect.forkDetach(endTurn)));
  }

  /** Reports to the budget's owner how many tokens a turn has delivered. */
  #endTurn(call: RelayedCall): Effect.Effect<void> {
    const { req } = call;
    const tokens = this.#deliveredTokens(call);
    const home = this.#dispatcher.promptHomeOf(call, tokens);
    return this.#opts.turns.end({
      programId: call.scoped(req.program!.programId),
      turnId: req.id,
      tokens,
      home,
    });
  }

  #deliveredTokens({ events, engine, service }: RelayedCall): number {
    const { tokensPerEvent = 0 } = engine ?? this.#dispatcher.engineOf(service) ?? {};
    return Math.min(Math.ceil(events * tokensPerEvent), MAX_TOKENS);
  }

  /** Obtains the budget and the history of a turn and serves it. */
  #beginTurn(call: RelayedCall, sink: IResponseSink): Effect.Effect<IRefusal | undefined> {
    return Effect.gen({ self: this }, function* () {
      // Any refusal ends the turn, so that it need not wait for the other answers.
      const questions = [this.#obtainGrant(call), this.#loadChain(call), this.#requireToken(call)] as const;
      const [first, chain] = yield* Effect.all(questions, { concurrency: "unbounded" });
      const isSettled = first.verdict === TurnVerdict.SPENT && (yield* this.#reportStoredEnds(call, chain));
      const begun = isSettled ? yield* this.#obtainGrant(call) : first;
      if (begun.verdict === TurnVerdict.SPENT) {
        return finalRefusal(GatewayStatus.BudgetExhausted, RefusalReason.BudgetExhausted);
      }
      if (begun.home !== undefined) this.#dispatcher.recordPromptHome(call, begun.home);
      const refusal = begun.isFresh ? this.#admit(call) : undefined;
      if (refusal !== undefined) return refusal;
      const { req } = call;
      const body = chain.contents.length === 0 ? req.body : Buffer.concat([...chain.contents, req.body]);
      return yield* this.#serve({ call, sink, body, beforeEnd: this.#storeTurn(call, chain) });
    }).pipe(Effect.catch((refusal) => Effect.succeed(refusal)));
  }

  /** Requests the turn from its program's budget; fails if no owner decides. */
  #obtainGrant(call: RelayedCall): Effect.Effect<IBeginTurnResult, IRefusal> {
    return Effect.gen({ self: this }, function* () {
      const { req, route } = call;
      const program = req.program!;
      const grant = {
        programId: call.scoped(program.programId),
        turnId: req.id,
        maxTokens: req.prompt?.maxTokens ?? 0,
        budget: program.budgetTokens!,
        retainMs: route.retainMs,
        partIds: (req.prompt?.parts ?? []).map(({ id }) => call.scoped(id)),
      };
      const begun = yield* this.#opts.turns.begin(grant, yield* ownerCallOptions(call));
      call.isTurnRefused = begun !== undefined && begun.verdict !== TurnVerdict.GRANTED;
      if (begun?.verdict === TurnVerdict.NOT_RECORDED) {
        return yield* Effect.fail(retryableRefusal(RefusalReason.BudgetUnavailable, STORE_RETRY_AFTER_MS));
      }
      const isDecided = begun?.verdict === TurnVerdict.GRANTED || begun?.verdict === TurnVerdict.SPENT;
      if (begun === undefined || !isDecided) {
        return yield* noOwnerRefusal(call, RefusalReason.BudgetUnavailable);
      }
      return begun;
    });
  }

  /** Acquires the token for the next send; fails if the allotment does not cover the request. */
  #requireToken(call: RelayedCall): Effect.Effect<void, IRefusal> {
    return Effect.flatMap(
      this.#acquireToken(call),
      (refusal) => refusal === undefined ? Effect.void : Effect.fail(refusal),
    );
  }

  /**
   * Reports the ends of the program's own stored turns, which the budget's owner may still count as running at their limit:
   * the reports are lost with the instances. Returns false if there is no such turn.
   */
  #reportStoredEnds(call: RelayedCall, chain: ITurnChain): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const ownProgramId = call.scoped(call.req.program!.programId);
      const ended = chain.ended.filter(({ programId }) => programId === ownProgramId);
      const reports = Effect.forEach(ended, (turn) => this.#opts.turns.end(turn), {
        concurrency: "unbounded",
        discard: true,
      });
      const { timeoutMs } = yield* ownerCallOptions(call);
      yield* Effect.timeoutOption(reports, timeoutMs);
      return ended.length > 0;
    });
  }

  /** Loads the turns that the turn continues; fails if one of them cannot be loaded. */
  #loadChain(call: RelayedCall): Effect.Effect<ITurnChain, IRefusal> {
    return Effect.gen({ self: this }, function* () {
      const previous = call.req.program?.previousTurnId;
      if (!call.route.keepsHistory || previous === undefined) return EMPTY_CHAIN;
      const opts = { ...yield* ownerCallOptions(call), organisation: call.ownerName };
      const result = yield* this.#opts.turns.load(previous, opts);
      switch (result.state) {
        case ChainLookupStatus.Found:
          return result.chain;
        case ChainLookupStatus.NotOwned:
          return yield* Effect.fail(finalRefusal(GatewayStatus.NotFound, RefusalReason.TurnNotOwned));
        case ChainLookupStatus.Unknown:
          return yield* Effect.fail(
            retryableRefusal(RefusalReason.TurnUnknown, UNAVAILABLE_RETRY_AFTER_MS),
          );
        case ChainLookupStatus.Unavailable:
          return yield* noOwnerRefusal(call, RefusalReason.HistoryUnavailable);
      }
    });
  }

  /** Tries servers until one has responded or no further attempt is permitted. */
  #serve(attempt: IAttempt): Effect.Effect<IRefusal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const { call, sink } = attempt;
      while (true) {
        if (this.#opts.crashes.isQuarantined(call.identity)) return this.#quarantineRefusal(call);
        const choice = yield* this.#dispatcher.chooseWithPermit(call);
        if (choice === undefined) return this.#noBackendRefusal(call);
        if (call.organisation?.allotment !== undefined && !call.holdsToken) {
          const refusal = yield* this.#acquireToken(call);
          if (refusal !== undefined) return refusal;
        }
        call.choice = choice;
        if (!(yield* this.#streams.announceVersionChange(call, choice))) {
          return this.#notRecordedRefusal(call);
        }
        const { holdsToken } = call;
        call.holdsToken = false;
        const outcome = yield* this.#hedged.run(attempt, choice);
        call.deliveries.settle();
        if (outcome === AttemptOutcome.Done) return undefined;
        // A server that did not run the request leaves the token for the next attempt.
        if (outcome !== AttemptOutcome.Failed) call.holdsToken = holdsToken;
        if (outcome === AttemptOutcome.Denied) return this.#deniedRefusal(call);
        if (outcome === AttemptOutcome.Stopping) return this.#stoppingRefusal(call);
        if (outcome === AttemptOutcome.NotSent) continue;
        if (outcome === AttemptOutcome.Unreachable) return this.#unreachableRefusal(call);
        call.excluded.add(choice.backend.id);
        // A refused connection costs next to nothing, and many servers may have ended at once.
        if (outcome === AttemptOutcome.Refused) continue;
        if (outcome === AttemptOutcome.NotRun) {
          call.refusals += 1;
          if (call.refusals >= MAX_REFUSALS) return this.#noBackendRefusal(call);
          continue;
        }
        const canResume = !sink.hasStarted || call.order.canResume;
        if (!isRepeatable(call.route) || !canResume || call.runs >= call.route.attempts) {
          return finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call));
        }
      }
    });
  }

  /** Admits or refuses a program before its first turn, by the utilization of the engines. */
  #admit({ route, service, organisation }: RelayedCall): IRefusal | undefined {
    const { directory, loads, permits, admission, random } = this.#opts;
    const engines = directory.listAvailable(service);
    // Engines that accept nothing more for now offer no capacity, however few requests they run.
    const open = engines.filter((backend) => !permits.isExhausted(backend));
    const engineUtilizations = open.map(({ id, slots }) => loads.running(id) / slots);
    if (open.length === 0 && engines.length > 0) engineUtilizations.push(1);
    const decision = admission.decide({
      engineUtilizations,
      priority: combinedPriority(organisation, route),
      random: random(),
    });
    return decision.isAdmitted
      ? undefined
      : retryableRefusal(RefusalReason.Overloaded, decision.retryAfterMs);
  }

  /** Creates the refusal of a request that has been quarantined since it arrived. */
  #quarantineRefusal({ runs, identity }: RelayedCall): IRefusal {
    return runs > 0
      ? finalRefusal(GatewayStatus.BadGateway, RefusalReason.CrashingRequest)
      : this.#crashingRefusal(identity);
  }

  /** Creates the refusal of a request that has not run. One that others explain is told when it may run again. */
  #crashingRefusal(identity: RequestIdentity): IRefusal {
    const retryAfterMs = this.#opts.crashes.quarantineEndsInMs(identity) ?? CRASHING_RETRY_AFTER_MS;
    return retryableRefusal(RefusalReason.CrashingRequest, retryAfterMs);
  }

  #notRecordedRefusal(call: RelayedCall): IRefusal {
    return call.runs > 0
      ? finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call))
      : retryableRefusal(RefusalReason.StreamNotRecorded, STORE_RETRY_AFTER_MS);
  }

  /** Creates the refusal of a request whose API key has been withdrawn since it arrived. */
  #deniedRefusal(call: RelayedCall): IRefusal {
    return call.runs > 0 || call.denial === undefined
      ? finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call))
      : call.denial;
  }

  #stoppingRefusal(call: RelayedCall): IRefusal {
    return call.runs > 0
      ? finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call))
      : stoppingRefusal();
  }

  #unreachableRefusal(call: RelayedCall): IRefusal {
    return call.runs > 0
      ? finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call))
      : retryableRefusal(RefusalReason.ServersUnreachable, UNAVAILABLE_RETRY_AFTER_MS);
  }

  /** Creates the refusal for lack of a server. It is retryable only if the request has not run anywhere. */
  #noBackendRefusal(call: RelayedCall): IRefusal {
    if (call.runs > 0) return finalRefusal(GatewayStatus.BadGateway, unknownOutcomeReason(call));
    if (call.nextPermitMs !== undefined) {
      const retryAfterMs = call.nextPermitMs * (1 + this.#opts.random());
      return retryableRefusal(RefusalReason.BackendsLimited, retryAfterMs);
    }
    if (call.refusals === 0) return retryableRefusal(RefusalReason.NoBackend, UNAVAILABLE_RETRY_AFTER_MS);
    return retryableRefusal(
      RefusalReason.BackendsFull,
      BACKENDS_FULL_RETRY_AFTER_MS * (0.5 + this.#opts.random()),
    );
  }

  /** Stores a turn before its end is relayed. Returns true if it is stored or the route keeps no history. */
  #storeTurn(call: RelayedCall, chain: ITurnChain): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { req, route } = call;
      if (!route.keepsHistory) return true;
      const now = yield* Clock.currentTimeMillis;
      const content = Buffer.concat([req.body, Buffer.from(call.output.join(""), "latin1")]);
      const completed = {
        programId: call.scoped(req.program!.programId),
        turnId: req.id,
        tokens: this.#deliveredTokens(call),
        chain,
        content,
        retainMs: route.retainMs,
        organisation: call.ownerName,
      };
      const { ownerWaits: waits } = call;
      return yield* this.#opts.turns.store(completed, { timeoutMs: call.deadlineAtMs - now, waits });
    });
  }

  /** Adds what is known of crashes to the log line of a request that a server may still be running. */
  #addCrashEvidence(call: RelayedCall): void {
    if (call.choice !== undefined) call.crashEvidence = this.#opts.crashes.evidenceFor(call.identity);
  }

  /** Counts a request of an organisation by the class of its status; "0xx" if its caller has left before a response. */
  #countRequest(name: string, status: number): void {
    const organisation = this.#organisationLabel.labelOf(name);
    const statusClass = `${Math.floor(status / 100)}xx`;
    this.#opts.metrics.incrementCounter("organisation_requests", { organisation, status: statusClass });
  }

  #log(call: RelayedCall, event: string): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      this.#opts.logger.info(event, call.logFields(now));
      const labels = { route: call.route.kind, status: String(call.status) };
      this.#opts.metrics.recordDuration("request", now - call.startedAtMs, labels);
      if (call.organisation !== undefined) this.#countRequest(call.organisation.name, call.status);
    });
  }
}

/** Returns for how long a turn may wait for owners from now on, and where its waiting is recorded. */
function ownerCallOptions(
  { deadlineAtMs, ownerWaits: waits }: RelayedCall,
): Effect.Effect<IOwnerCallOptions> {
  return Effect.map(Clock.currentTimeMillis, (now) => {
    const timeoutMs = Math.min(OWNER_TIMEOUT_MS, Math.max(0, deadlineAtMs - now) * OWNER_WAIT_SHARE);
    return { timeoutMs, waits };
  });
}

/** Fails with the refusal of a turn that no owner serves. Its caller is to return while there is time to serve the turn. */
function noOwnerRefusal(
  { deadlineAtMs }: RelayedCall,
  reason: RefusalReason,
): Effect.Effect<never, IRefusal> {
  return Effect.flatMap(Clock.currentTimeMillis, (now) => {
    const shareMs = Math.max(MIN_OWNER_RETRY_AFTER_MS, (deadlineAtMs - now) * OWNER_RETRY_SHARE);
    return Effect.fail(retryableRefusal(reason, Math.min(UNAVAILABLE_RETRY_AFTER_MS, shareMs)));
  });
}

const EMPTY_CHAIN: ITurnChain = { contents: [], refs: [], ended: [] };

function isTurn({ req, route }: Pick<RelayedCall, "req" | "route">): boolean {
  return route.kind === RouteKind.Stream && route.retainMs > 0 && req.program?.budgetTokens !== undefined;
}

function progressOfCall(call: RelayedCall, { hasStarted }: IResponseSink): IRequestProgress {
  const { req, choice, runs, refusal } = call;
  const phase = choice === undefined ? RequestPhase.Waiting : RequestPhase.Sent;
  return {
    request: req.id,
    phase: hasStarted ? RequestPhase.Streaming : phase,
    backend: choice?.backend.id,
    runs,
    reason: refusal?.reason,
  };
}

/** Returns what is known of the request's program and of earlier sends of the request. */
function progressOf({ runs, req }: RelayedCall): RequestProgress {
  if (runs > 0) return RequestProgress.Repeated;
  return req.program?.previousTurnId === undefined ? RequestProgress.First : RequestProgress.Continued;
}

/** Returns why the outcome of a request is unknown that a server may have run. */
function unknownOutcomeReason({ fault }: RelayedCall): RefusalReason {
  return fault === UpstreamFault.TooLarge ? RefusalReason.ResponseTooLarge : RefusalReason.OutcomeUnknown;
}

function stoppingRefusal(): IRefusal {
  return retryableRefusal(RefusalReason.Stopping, STOPPING_RETRY_AFTER_MS);
}

function writeRefusal(sink: IResponseSink, { status, reason, retryAfterMs }: IRefusal): void {
  const headers = ["content-type", "application/problem+json"];
  if (retryAfterMs !== undefined) headers.push("retry-after", (retryAfterMs / 1000).toFixed(2));
  if (status === GatewayStatus.Unauthorized) headers.push("www-authenticate", "Bearer");
  sink.respond(status, headers, Buffer.from(JSON.stringify({ status, title: reason })));
}
