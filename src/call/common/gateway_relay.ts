/** Passes opaque requests on to backend servers and their answers back. */
import { Clock, Effect } from "effect";
import { TurnVerdict } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IProgramAdmission } from "../../routing/common/program_admission.ts";
import { isRepeatable, pickService, RouteKind } from "../../services/routes/common/route_table.ts";
import type { IChain, ITurnClient } from "../../turns/common/turn_client.ts";
import { ChainState } from "../../turns/common/turn_client.ts";
import type { IAttempt, IBackendAttemptsOptions } from "./backend_attempts.ts";
import { BackendAttempts } from "./backend_attempts.ts";
import type { IRefusal } from "./gateway_refusal.ts";
import { finalRefusal, GatewayStatus, notRun, RefusalReason } from "./gateway_refusal.ts";
import type { IAnswerSink, IOpaqueRequest, IRawRequest } from "./opaque_call.ts";
import { AttemptOutcome, contentOf, RelayedCall } from "./relayed_call.ts";

/** Refusals by full servers after which the request is refused. */
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

export interface IGatewayRelayOptions extends IBackendAttemptsOptions {
  readonly turns: ITurnClient;
  readonly admission: IProgramAdmission;
  /** Draws a number from 0 up to, not including, 1. */
  readonly random: () => number;
  /** Whether the configuration may be out of date because the store does not answer. */
  readonly isConfigurationStale: () => boolean;
}

export class GatewayRelay {
  readonly #opts: IGatewayRelayOptions;
  readonly #attempts: BackendAttempts;

  constructor(opts: IGatewayRelayOptions) {
    this.#opts = opts;
    this.#attempts = new BackendAttempts(opts);
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
        : this.#serve({ call, sink, body: req.body, beforeEnd: Effect.succeed(true) });
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

  /** Asks for the budget and the chain before a turn, and reports afterwards what it has delivered. */
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
        partIds: (req.prompt?.parts ?? []).map(({ id }) => id),
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
        if (begun?.home !== undefined) this.#attempts.noteHome(call, begun.home);
        const refusal = begun?.isFresh ? this.#admit(call) : undefined;
        if (refusal !== undefined) return Effect.succeed(refusal);
        if (chain instanceof Object) {
          const body = chain.contents.length === 0 ? req.body : Buffer.concat([...chain.contents, req.body]);
          return this.#serve({ call, sink, body, beforeEnd: this.#keep(call, chain) });
        }
        const reason = chain === ChainState.Unknown
          ? RefusalReason.TurnUnknown
          : RefusalReason.HistoryUnavailable;
        return Effect.succeed(notRun(reason, ABSENT_RETRY_MS));
      });
      const end = () => {
        const tokens = call.events * (this.#attempts.engineOf(call.service)?.tokensPerEvent ?? 0);
        const home = this.#attempts.homeOf(call, tokens);
        return this.#opts.turns.end({ programId: program.programId, turnId: req.id, tokens, home });
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
        const choice = this.#attempts.choose(call);
        if (choice === undefined) return this.#noBackend(call);
        call.choice = choice;
        const outcome = yield* this.#attempts.run(attempt, choice);
        if (outcome === AttemptOutcome.Done) {
          this.#opts.strikes.notePass(call.content);
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

  /** Keeps a turn before its end is passed on; true when there is nothing to keep or it is kept. */
  #keep(call: RelayedCall, chain: IChain): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { req, route } = call;
      if (!route.keepsHistory) return true;
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

function isTurn({ req, route }: RelayedCall): boolean {
  return route.kind === RouteKind.Stream && route.retainMs > 0 && req.program?.budget !== undefined;
}

function writeRefusal(sink: IAnswerSink, { status, reason, retryAfterMs }: IRefusal): void {
  const headers = ["content-type", "application/problem+json"];
  if (retryAfterMs !== undefined) headers.push("retry-after", (retryAfterMs / 1000).toFixed(2));
  sink.whole(status, headers, Buffer.from(JSON.stringify({ status, title: reason })));
}
