/** Decides which requests an instance still serves while it stops. */
import { Effect, Latch } from "effect";

/** Number of durations of a route that are kept. */
const MAX_SAMPLES = 128;
/** Share of the longest durations that is disregarded, so that one slow response does not refuse a route's short requests. */
const DISREGARDED_SHARE = 0.02;
/** Time by which a request should end before the instance does, in ms: the response must reach its caller. */
const MARGIN_MS = 50;
/** Maximum number of routes whose durations are kept; the one that was used least recently is evicted first. */
const MAX_ROUTES = 1000;

/** A request that is about to be served or sent. */
export interface IDrainCandidate {
  readonly route: { readonly name: string };
  /** Unix time at which the request ends whatever happens, in ms. */
  readonly deadlineAtMs: number;
}

export interface IDrainAdmission {
  /** Whether a request can be expected to end before the instance does; true unless it stops. */
  canComplete(candidate: IDrainCandidate, now: number): boolean;
  /** Whether a request ends before the instance does even if it takes all of its time. */
  endsInTime(deadlineAtMs: number): boolean;
  /** Records how long a request has taken from its arrival to its complete response, in ms. */
  recordDuration(route: string, durationMs: number): void;
  /** Waits until the requests in progress must be answered, as the instance ends. */
  readonly awaitEnd: Effect.Effect<void>;
}

/**
 * Expected load pattern: callers keep connections open and send requests on them until the process ends. Most take far less
 * time than their deadlines permit, so that what a request of its route usually takes decides, not its deadline.
 */
export class DrainAdmission implements IDrainAdmission {
  readonly #durations = new Map<string, number[]>();
  readonly #ended = Latch.makeUnsafe(false);
  #endsAtMs = Infinity;

  get awaitEnd(): Effect.Effect<void> {
    return this.#ended.await;
  }

  /** Refuses from now on what cannot end before a Unix time in ms. */
  begin(endsAtMs: number): void {
    this.#endsAtMs = endsAtMs;
  }

  /** Ends the requests in progress if their time is over. */
  endIfDue(now: number): void {
    if (now >= this.#endsAtMs) Latch.openUnsafe(this.#ended);
  }

  recordDuration(route: string, durationMs: number): void {
    const samples = this.#durations.get(route) ?? [];
    this.#durations.delete(route);
    this.#durations.set(route, samples);
    samples.push(durationMs);
    if (samples.length > MAX_SAMPLES) samples.shift();
    const [oldest] = this.#durations.keys();
    if (this.#durations.size > MAX_ROUTES) this.#durations.delete(oldest);
  }

  canComplete({ route, deadlineAtMs }: IDrainCandidate, now: number): boolean {
    if (this.endsInTime(deadlineAtMs)) return true;
    const usualMs = this.#usualMaximumMs(route.name);
    return usualMs !== undefined && now + usualMs + MARGIN_MS <= this.#endsAtMs;
  }

  endsInTime(deadlineAtMs: number): boolean {
    return deadlineAtMs <= this.#endsAtMs;
  }

  /** Time that hardly any request of a route exceeds, in ms; undefined if none has been served. */
  #usualMaximumMs(route: string): number | undefined {
    const samples = this.#durations.get(route);
    if (samples === undefined) return undefined;
    const longestFirst = samples.toSorted((a, b) => b - a);
    return longestFirst[Math.floor(samples.length * DISREGARDED_SHARE)];
  }
}
