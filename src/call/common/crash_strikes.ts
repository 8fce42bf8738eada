/** Requests that crash the backend servers which run them. */
import { hash32 } from "../../base/common/hash.ts";

/** Crashes after which a request is refused: a chance reset of three servers in a row is very unlikely. */
const MAX_STRIKES = 3;
/** How long a crash counts, in ms: longer than callers go on sending the same request. */
const STRIKE_LIFETIME_MS = 60_000;
/** Most requests that are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED = 1000;

export interface ICrashStrike {
  /** Hash of the request's content. */
  readonly fingerprint: number;
  readonly count: number;
}

interface IStrikes {
  count: number;
  lastAtMs: number;
}

/** Content of a request, which a caller's repetition shares. */
export interface IRequestContent {
  readonly method: string;
  readonly target: string;
  readonly body: Uint8Array;
  /** Identity of the sender, where the request has one; empty otherwise. */
  readonly caller: string;
}

/**
 * Counts crashes by a request's content, here and on the other instances. Load pattern: one request
 * that ends every server which begins to run it, and that its caller sends again through any instance.
 */
export class CrashStrikes {
  readonly #now: () => number;
  readonly #own = new Map<number, IStrikes>();
  readonly #reported = new Map<string, ReadonlyMap<number, IStrikes>>();

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Notes that a server broke off while it had the request. */
  noteCrash(content: IRequestContent): void {
    if (isCommon(content)) return;
    const fingerprint = fingerprintOf(content);
    const count = this.#live(this.#own.get(fingerprint)) + 1;
    this.#own.delete(fingerprint);
    this.#own.set(fingerprint, { count, lastAtMs: this.#now() });
    const oldest = this.#own.keys().next();
    if (this.#own.size > MAX_REMEMBERED && !oldest.done) this.#own.delete(oldest.value);
  }

  /** Notes that a server ran the request to its end: earlier crashes had another cause. */
  notePass(content: IRequestContent): void {
    if (this.#own.size > 0) this.#own.delete(fingerprintOf(content));
  }

  /** Crashes that this instance has seen, for the others. */
  own(): ICrashStrike[] {
    return [...this.#own].map(([fingerprint, strikes]) => ({ fingerprint, count: this.#live(strikes) }))
      .filter(({ count }) => count > 0);
  }

  /** Takes up what another instance has seen. */
  noteReport(instance: string, strikes: readonly ICrashStrike[]): void {
    if (strikes.length === 0 && !this.#reported.has(instance)) return;
    const lastAtMs = this.#now();
    this.#reported.set(
      instance,
      new Map(strikes.map(({ fingerprint, count }) => [fingerprint, { count, lastAtMs }])),
    );
  }

  /** Whether a request has crashed too many servers to be sent to another. */
  isCrashing(content: IRequestContent): boolean {
    if (this.#own.size === 0 && this.#reported.size === 0) return false;
    const fingerprint = fingerprintOf(content);
    let sum = this.#live(this.#own.get(fingerprint));
    for (const strikes of this.#reported.values()) sum += this.#live(strikes.get(fingerprint));
    return sum >= MAX_STRIKES;
  }

  #live(strikes: IStrikes | undefined): number {
    return strikes === undefined || this.#now() - strikes.lastAtMs > STRIKE_LIFETIME_MS ? 0 : strikes.count;
  }
}

/** Whether many callers' requests look the same, so that crashes of several say nothing of one. */
function isCommon({ body, caller }: IRequestContent): boolean {
  return body.length === 0 && caller === "";
}

function fingerprintOf({ method, target, body, caller }: IRequestContent): number {
  return hash32(`${method} ${target} ${caller} ${Buffer.from(body).toString("latin1")}`);
}
