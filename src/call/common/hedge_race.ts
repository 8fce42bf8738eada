/** Two attempts at one request that run at the same time, of which one is relayed to the caller. */
import { Deferred, Effect } from "effect";
import type { IResponseSink } from "./opaque_request.ts";
import type { AttemptOutcome, RelayedCall } from "./relayed_call.ts";

/** Lowest status of an answer that another attempt may replace. */
const MIN_ERROR_STATUS = 500;

interface IHeldResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * One of the attempts, and its view of the caller's connection: nothing of it is relayed before it has claimed the call, or
 * after another one has.
 */
export class RacingAttempt implements IResponseSink {
  /** The call as seen by this attempt. */
  readonly call: RelayedCall;
  readonly sentAtMs: number;
  /** Undefined while the attempt is running, and if it was cancelled. */
  outcome: AttemptOutcome | undefined;
  readonly #race: HedgeRace;
  readonly #sink: IResponseSink;
  readonly #runsBefore: number;
  readonly #cancelled = Deferred.makeUnsafe<void>();
  #isCancelled = false;
  /** Whether the request was not sent when the attempt was cancelled. */
  #isWithdrawn = false;
  #held: IHeldResponse | undefined;

  constructor(call: RelayedCall, { race, sink }: { race: HedgeRace; sink: IResponseSink }) {
    this.call = call;
    this.sentAtMs = call.startedAtMs;
    this.#race = race;
    this.#sink = sink;
    this.#runsBefore = call.runs;
  }

  get isCancelled(): boolean {
    return this.#isCancelled;
  }

  get isRunning(): boolean {
    return this.outcome === undefined && !this.#isCancelled;
  }

  /** Number of servers, 0 or 1, that may have run the request in this attempt. */
  get runs(): number {
    if (this.#isCancelled) return this.#isWithdrawn ? 0 : 1;
    return this.call.runs - this.#runsBefore;
  }

  get hasStarted(): boolean {
    return this.#isWinner && this.#sink.hasStarted;
  }

  /** Relays a complete response. An error is held back while another attempt may still bring a better answer. */
  respond(status: number, headers: readonly string[], body: Uint8Array): void {
    if (status >= MIN_ERROR_STATUS && this.#race.hasOtherRunning(this)) {
      // The memory of the body is released once the attempt has ended; `slice` of a Buffer would share it.
      this.#held = { status, headers, body: new Uint8Array(body) };
      return;
    }
    if (this.#race.claim(this)) this.#sink.respond(status, headers, body);
  }

  startStream(status: number, headers: readonly string[]): void {
    if (this.#race.claim(this)) this.#sink.startStream(status, headers);
  }

  write(chunk: Uint8Array): void {
    if (this.#isWinner) this.#sink.write(chunk);
  }

  end(): void {
    if (this.#isWinner) this.#sink.end();
  }

  abort(): void {
    if (this.#isWinner) this.#sink.abort();
  }

  /** Relays the error that was held back; returns whether there is one. */
  relayHeldResponse(): boolean {
    if (this.#held === undefined || !this.#race.claim(this)) return false;
    const { status, headers, body } = this.#held;
    this.#sink.respond(status, headers, body);
    return true;
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#isWithdrawn = this.call.delivery?.tryWithdraw() === true;
    Deferred.doneUnsafe(this.#cancelled, Effect.void);
  }

  awaitCancelled(): Effect.Effect<void> {
    return Deferred.await(this.#cancelled);
  }

  get #isWinner(): boolean {
    return this.#race.winner === this;
  }
}

export interface IHedgeRaceOptions {
  readonly sink: IResponseSink;
  /** Called when an attempt has claimed the call, with the attempts that were cancelled by that. */
  readonly onDidClaim: (winner: RacingAttempt, losers: readonly RacingAttempt[]) => void;
}

/** The attempts at one request; the first one with a sound answer claims the call. */
export class HedgeRace {
  readonly #call: RelayedCall;
  readonly #opts: IHedgeRaceOptions;
  readonly #attempts: RacingAttempt[] = [];
  readonly #decided = Deferred.makeUnsafe<void>();
  #winner: RacingAttempt | undefined;

  constructor(call: RelayedCall, opts: IHedgeRaceOptions) {
    this.#call = call;
    this.#opts = opts;
  }

  get winner(): RacingAttempt | undefined {
    return this.#winner;
  }

  /** In the order in which they were sent. */
  get attempts(): readonly RacingAttempt[] {
    return this.#attempts;
  }

  add(call: RelayedCall): RacingAttempt {
    const attempt = new RacingAttempt(call, { race: this, sink: this.#opts.sink });
    this.#attempts.push(attempt);
    return attempt;
  }

  hasOtherRunning(attempt: RacingAttempt): boolean {
    return this.#attempts.some((other) => other !== attempt && other.isRunning);
  }

  /** Has an attempt relayed and cancels the others. Returns false if another one is relayed. */
  claim(attempt: RacingAttempt): boolean {
    if (this.#winner !== undefined) return this.#winner === attempt;
    this.#winner = attempt;
    this.#call.adopt(attempt.call);
    const losers = this.#attempts.filter((other) => other !== attempt && other.isRunning);
    for (const loser of losers) {
      loser.cancel();
      this.#call.runs += loser.runs;
    }
    this.#decideIfSingle();
    this.#opts.onDidClaim(attempt, losers);
    return true;
  }

  /** Records how an attempt ended that was not cancelled. */
  recordEnd(attempt: RacingAttempt, outcome: AttemptOutcome): void {
    attempt.outcome = outcome;
    this.#call.runs += attempt.runs;
    this.#decideIfSingle();
  }

  /** Waits until no second attempt is needed any more: the first one has an answer, or has failed. */
  awaitDecided(): Effect.Effect<void> {
    return Deferred.await(this.#decided);
  }

  /** A failed attempt without a second one is retried, not hedged. */
  #decideIfSingle(): void {
    if (this.#attempts.length === 1) Deferred.doneUnsafe(this.#decided, Effect.void);
  }
}
