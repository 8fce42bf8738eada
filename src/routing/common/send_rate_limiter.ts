/** Limits the rate at which requests are sent to backend servers that state how many they accept. */
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";

/** Unused permits that are kept, as a time at the stated rate: requests do not arrive at regular intervals. */
const BURST_MS = 500;
/**
 * Lower bound of a rate, in requests per second. A server that accepts none is still sent a request now and then, as
 * only a response shows that its limit has ended.
 */
const MIN_PER_SECOND = 0.2;
/** Time after its last request at which an instance no longer counts among those that ask for a server. */
const ASKER_TTL_MS = 5000;
/** Interval at which all instances together may ask for one server without success. */
const MIN_ASK_INTERVAL_MS = 20;
/** Time after its last use at which the state of a server is discarded; far longer than the interval of any rate. */
const RETENTION_MS = 60_000;
const MS_PER_SECOND = 1000;

export interface IPermitRequest {
  readonly run: IServerRun;
  /** Requests per second that the server accepts. */
  readonly perSecond: number;
  /** Name of the instance that wants to send. */
  readonly instance: string;
  /** Number of parts that the rate is divided into, of which this limiter grants one; 1 by default. */
  readonly parts?: number;
  /** Longest time that the request can wait for its permit, in ms. */
  readonly maxWaitMs: number;
}

/** Decision on a request for a permit. */
export interface IPermit {
  readonly isGranted: boolean;
  /** Time until the permit is valid, or until the next one becomes available if none was granted, in ms. */
  readonly waitMs: number;
  /** Time before which the instance should not ask again, in ms; 0 if a permit was granted. */
  readonly retryAfterMs: number;
  /** Number of instances that have asked for the server lately. */
  readonly askers: number;
}

interface IServerState {
  readonly startedAtMs: number;
  /** Time from which the last permit is valid, in ms of the clock. The rate may have changed since. */
  lastValidAtMs: number;
  /** Rate of the last permit, in requests per second. */
  perSecond: number;
  /** Time of the last request of each instance. */
  readonly askedAtMs: Map<string, number>;
  usedAtMs: number;
}

export interface ISendRateLimiterOptions {
  readonly now: () => number;
  /** Returns the delay of the first permit of a server, as a share of the interval between two permits. */
  readonly firstDelay: () => number;
}

/**
 * Grants permits at each server's rate, first come, first served. A permit may be valid only later, so that a
 * request waits for a definite time or not at all. Designed for a few servers that accept a small part of their
 * usual load, for which all instances compete; each is told when to ask again, so that the number of
 * questions does not grow with the number of instances.
 */
export class SendRateLimiter {
  readonly #opts: ISendRateLimiterOptions;
  readonly #servers = new Map<string, IServerState>();

  constructor(opts: ISendRateLimiterOptions) {
    this.#opts = opts;
  }

  acquire({ run, perSecond, instance, parts = 1, maxWaitMs }: IPermitRequest): IPermit {
    const now = this.#opts.now();
    const intervalMs = MS_PER_SECOND * parts / Math.max(MIN_PER_SECOND, perSecond);
    const state = this.#stateOf(run, { now, intervalMs, perSecond });
    state.usedAtMs = now;
    // Permits of a higher rate that are not valid yet are void: their holders ask again.
    if (perSecond < state.perSecond) state.lastValidAtMs = Math.min(state.lastValidAtMs, now);
    state.perSecond = perSecond;
    const askers = countAskers(state, { instance, now });
    const validAtMs = Math.max(state.lastValidAtMs + intervalMs, now - BURST_MS);
    const waitMs = Math.max(0, validAtMs - now);
    if (waitMs > maxWaitMs) {
      const retryAfterMs = Math.max(waitMs, askers * MIN_ASK_INTERVAL_MS);
      return { isGranted: false, waitMs, retryAfterMs, askers };
    }
    state.lastValidAtMs = validAtMs;
    return { isGranted: true, waitMs, retryAfterMs: 0, askers };
  }

  remove({ backendId }: IServerRun): void {
    this.#servers.delete(backendId);
  }

  #stateOf(
    { backendId, startedAtMs }: IServerRun,
    { now, intervalMs, perSecond }: { now: number; intervalMs: number; perSecond: number },
  ): IServerState {
    const known = this.#servers.get(backendId);
    if (known?.startedAtMs === startedAtMs) return known;
    this.#evict(now);
    const lastValidAtMs = now + intervalMs * (this.#opts.firstDelay() - 1);
    const askedAtMs = new Map<string, number>();
    const state = { startedAtMs, lastValidAtMs, perSecond, askedAtMs, usedAtMs: now };
    this.#servers.set(backendId, state);
    return state;
  }

  #evict(now: number): void {
    for (const [id, { usedAtMs }] of this.#servers) {
      if (usedAtMs < now - RETENTION_MS) this.#servers.delete(id);
    }
  }
}

/** Records that an instance asks, and counts those that have asked lately. */
function countAskers(
  { askedAtMs }: IServerState,
  { instance, now }: { instance: string; now: number },
): number {
  askedAtMs.set(instance, now);
  for (const [name, atMs] of askedAtMs) if (atMs < now - ASKER_TTL_MS) askedAtMs.delete(name);
  return askedAtMs.size;
}
