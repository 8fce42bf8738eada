/** Sends a slow repeatable request to a second server and relays the first sound answer. */
import { Effect } from "effect";
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import type { IHedgingPolicy } from "../../routing/common/hedging_policy.ts";
import { HedgeDenial } from "../../routing/common/hedging_policy.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { isRepeatable } from "../../services/routes/common/route_table.ts";
import type { BackendDispatcher, IAttempt, IBackendDispatcherOptions } from "./backend_dispatcher.ts";
import type { IHedgeLimitClient } from "./hedge_limit_client.ts";
import type { RacingAttempt } from "./hedge_race.ts";
import { HedgeRace } from "./hedge_race.ts";
import { UpstreamFault } from "./opaque_request.ts";
import type { RelayedCall } from "./relayed_call.ts";
import { AttemptOutcome } from "./relayed_call.ts";
import { serversOfOrigin } from "./stream_origin.ts";

/** A server of another zone is preferred if its cost is at most this multiple of the lowest cost plus the constant below. */
const MAX_ZONE_COST_FACTOR = 1.5;
const MAX_ZONE_EXTRA_COST_MS = 2;
/** Outcomes that say nothing about the server. */
const LINK_OUTCOMES = new Set([AttemptOutcome.NotSent, AttemptOutcome.Unreachable]);

export interface IHedgingOptions {
  readonly policy: IHedgingPolicy;
  /** Limits the hedged requests of all instances together. */
  readonly limit: IHedgeLimitClient;
  /**
   * Acquires the second send of a request from its organisation's allotment; returns false if the allotment does not
   * cover it. Always granted by default.
   */
  readonly acquireExtraSend?: (call: RelayedCall) => Effect.Effect<boolean>;
}

export interface IHedgedDispatcherOptions extends IBackendDispatcherOptions {
  /** Undefined if hedging is off. */
  readonly hedging?: IHedgingOptions | undefined;
}

interface IRace extends IAttempt {
  readonly hedging: IHedgingOptions;
  /** Unix time in ms. */
  readonly now: () => number;
  readonly race: HedgeRace;
}

export class HedgedDispatcher {
  readonly #opts: IHedgedDispatcherOptions;
  readonly #dispatcher: BackendDispatcher;

  constructor(dispatcher: BackendDispatcher, opts: IHedgedDispatcherOptions) {
    this.#dispatcher = dispatcher;
    this.#opts = opts;
  }

  /** Sends a request to the selected server and, if that is slow and hedging permits, to another one. */
  run(attempt: IAttempt, choice: IBackendChoice): Effect.Effect<AttemptOutcome> {
    return Effect.suspend(() => {
      const { hedging } = this.#opts;
      const mayHedge = hedging !== undefined && this.#mayHedge(attempt.call, hedging.policy);
      return mayHedge ? this.#race({ ...attempt, hedging }, choice) : this.#dispatcher.run(attempt, choice);
    });
  }

  /** Whether a request may run on two servers at the same time. */
  #mayHedge(call: RelayedCall, policy: IHedgingPolicy): boolean {
    const { req, route } = call;
    const isFirstAttempt = call.runs === 0 && call.refusals === 0 && call.excluded.size === 0;
    return isRepeatable(route) && route.attempts > 1 && isFirstAttempt && req.lastEventId === undefined &&
      req.program?.budgetTokens === undefined && !this.#isSuspect(call) &&
      policy.includes(route.host, req.target);
  }

  #isSuspect({ identity }: RelayedCall): boolean {
    const { crashes } = this.#opts;
    return crashes.separationOf(identity) !== undefined || crashes.isQuarantined(identity);
  }

  #race(
    attempt: IAttempt & { hedging: IHedgingOptions },
    choice: IBackendChoice,
  ): Effect.Effect<AttemptOutcome> {
    return Effect.clockWith((clock) => {
      const { call, sink, hedging: { limit } } = attempt;
      const now = () => clock.currentTimeMillisUnsafe();
      const onDidClaim = (winner: RacingAttempt, losers: readonly RacingAttempt[]) =>
        this.#recordWinner(racing, { winner, losers });
      const race = new HedgeRace(call, { sink, onDidClaim });
      const racing = { ...attempt, now, race };
      const first = race.add(call.fork(choice, { now: now(), runs: 0 }));
      limit.recordSend(call.service);
      const second = Effect.raceFirst(this.#hedge(racing, choice), race.awaitDecided());
      const both = Effect.all([this.#runAttempt(racing, first), second], {
        concurrency: "unbounded",
        discard: true,
      });
      return Effect.map(both, () => this.#outcomeOf(racing));
    });
  }

  #runAttempt(racing: IRace, attempt: RacingAttempt): Effect.Effect<void> {
    const { race, body, beforeEnd } = racing;
    const claim = () => race.claim(attempt);
    const send = { call: attempt.call, sink: attempt, body, beforeEnd, claim };
    const running = Effect.map(this.#dispatcher.run(send, attempt.call.choice!), (outcome) => {
      if (attempt.isCancelled) return;
      race.recordEnd(attempt, outcome);
      const isTimeout = outcome === AttemptOutcome.Failed && attempt.call.fault === UpstreamFault.TimedOut;
      if (isTimeout && race.winner !== attempt) this.#recordLatency(racing, attempt);
    });
    return Effect.raceFirst(running, attempt.awaitCancelled());
  }

  /** Sends the request to a second server after the route's usual latency. */
  #hedge(racing: IRace, first: IBackendChoice): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { call, race, now, hedging: { policy } } = racing;
      const delayMs = policy.delayMs(routeKey(call.route));
      if (delayMs === undefined) return this.#deny(HedgeDenial.FewSamples);
      yield* Effect.sleep(delayMs);
      const choice = yield* this.#acquireSecond(racing, first);
      if (!("backend" in choice)) return this.#deny(choice.denial);
      const second = race.add(call.fork(choice, { now: now(), runs: 1 }));
      const afterMs = second.sentAtMs - race.attempts[0].sentAtMs;
      const { id: hedgeBackend } = choice.backend;
      call.hedge = { afterMs, backendId: hedgeBackend, isWinner: false };
      this.#opts.metrics.incrementCounter("hedges", { outcome: "sent" });
      this.#opts.logger.info("request-hedged", {
        request: call.req.id,
        backend: first.backend.id,
        hedgeBackend,
        hedgedAfterMs: Math.round(afterMs),
        running: choice.running,
      });
      yield* this.#runAttempt(racing, second);
    });
  }

  /** Selects the second server and acquires all that a send there needs. */
  #acquireSecond(
    { call, hedging }: IRace,
    first: IBackendChoice,
  ): Effect.Effect<IBackendChoice | { readonly denial: HedgeDenial }> {
    return Effect.gen({ self: this }, function* () {
      const { policy, limit } = hedging;
      const { directory, loads } = this.#opts;
      if (this.#isSuspect(call)) return { denial: HedgeDenial.Suspect };
      const available = directory.listAvailable(call.service);
      if (!policy.isIdleEnough(available, loads)) return { denial: HedgeDenial.Utilization };
      const choice = this.#chooseSecond(call, { first: first.backend, available });
      if (choice === undefined) return { denial: HedgeDenial.NoServer };
      const token = yield* limit.acquire(call.service);
      if (typeof token === "string") return { denial: token };
      const refund = Effect.sync(() => limit.refund(token));
      const denial = yield* Effect.onInterrupt(this.#acquirePermits(hedging, { call, choice }), () => refund);
      if (denial === undefined) return choice;
      yield* refund;
      return { denial };
    });
  }

  /** The permit comes last: it is valid only for a moment. */
  #acquirePermits(
    { acquireExtraSend }: IHedgingOptions,
    { call, choice }: { call: RelayedCall; choice: IBackendChoice },
  ): Effect.Effect<HedgeDenial | undefined> {
    return Effect.gen({ self: this }, function* () {
      if (acquireExtraSend !== undefined && !(yield* acquireExtraSend(call))) return HedgeDenial.Allotment;
      const { isGranted } = yield* this.#opts.permits.acquire(choice.backend, 0);
      return isGranted ? undefined : HedgeDenial.ServerLimit;
    });
  }

  /** Selects an idle server, in another zone than the first one where that costs about the same. */
  #chooseSecond(
    call: RelayedCall,
    { first, available }: { first: IBackendEntry; available: readonly IBackendEntry[] },
  ): IBackendChoice | undefined {
    const { loads, permits } = this.#opts;
    // A stream that has begun before keeps to one software version.
    const origin = call.origin ?? call.earlierOrigin;
    const allowed = origin === undefined ? available : serversOfOrigin(origin, available);
    const idle = allowed.filter((backend) =>
      backend.id !== first.id && !loads.isInBackoff(backend.id) &&
      loads.running(backend.id) < backend.slots && !permits.isExhausted(backend)
    );
    const chooseAmong = (backends: readonly IBackendEntry[]) => {
      const excluded = available.filter((backend) => !backends.includes(backend)).map(({ id }) => id);
      return this.#dispatcher.choose(call, new Set(excluded));
    };
    const best = chooseAmong(idle);
    const elsewhere = chooseAmong(idle.filter(({ zone }) => zone !== first.zone));
    if (best === undefined || elsewhere === undefined) return best;
    const maxCostMs = best.costMs * MAX_ZONE_COST_FACTOR + MAX_ZONE_EXTRA_COST_MS;
    return elsewhere.costMs <= maxCostMs ? elsewhere : best;
  }

  #deny(reason: HedgeDenial): void {
    this.#opts.metrics.incrementCounter("hedges_denied", { reason });
  }

  #recordWinner(
    racing: IRace,
    { winner, losers }: { winner: RacingAttempt; losers: readonly RacingAttempt[] },
  ): void {
    const { call: { hedge }, race } = racing;
    const isSecond = winner !== race.attempts[0];
    if (isSecond && hedge !== undefined) hedge.isWinner = true;
    if (isSecond) this.#opts.metrics.incrementCounter("hedges", { outcome: "won" });
    else if (losers.length > 0) this.#opts.metrics.incrementCounter("hedges", { outcome: "cancelled" });
    for (const attempt of [winner, ...losers]) this.#recordLatency(racing, attempt);
    for (const loser of losers) this.#recordMinLatency(racing, loser);
  }

  /** Records the latency of the first attempt of a request: the delay is counted from its send. */
  #recordLatency({ race, now, hedging: { policy } }: IRace, attempt: RacingAttempt): void {
    if (attempt !== race.attempts[0]) return;
    policy.recordLatency(routeKey(attempt.call.route), now() - attempt.sentAtMs);
  }

  /** The time of a cancelled attempt is a lower bound; ignoring it would make a slow server look as fast as its fastest answers. */
  #recordMinLatency({ now, hedging: { policy } }: IRace, { call, sentAtMs }: RacingAttempt): void {
    // The latency of an engine is that of a token, of which nothing is known.
    if (this.#dispatcher.engineOf(call.service) !== undefined) return;
    const { id } = call.choice!.backend;
    const elapsedMs = now() - sentAtMs;
    const knownMs = this.#opts.loads.unitLatencyMs(id) ?? policy.delayMs(routeKey(call.route)) ?? Infinity;
    if (elapsedMs > knownMs) this.#opts.loads.recordUnitLatency(id, elapsedMs);
  }

  /** Returns the outcome of the attempts as that of a single one on the first server, and records the rest in the call. */
  #outcomeOf({ call, race: { winner, attempts } }: IRace): AttemptOutcome {
    const [first] = attempts;
    const hasRelayedError = winner === undefined && attempts.some((attempt) => attempt.relayHeldResponse());
    if (hasRelayedError) return AttemptOutcome.Done;
    const decisive = winner ?? attempts.find(({ outcome }) => outcome === AttemptOutcome.Failed) ?? first;
    call.adopt(decisive.call);
    for (const attempt of attempts) {
      const { outcome } = attempt;
      if (outcome === undefined || outcome === AttemptOutcome.Done || LINK_OUTCOMES.has(outcome)) continue;
      // Whoever asked for the outcome records that of a single attempt on the first server.
      if (attempt !== first) call.excluded.add(attempt.call.choice!.backend.id);
      if (attempt !== decisive && outcome === AttemptOutcome.NotRun) call.refusals += 1;
    }
    return decisive.outcome!;
  }
}

function routeKey({ host, prefix }: IRoute): string {
  return `${host}${prefix}`;
}
