/** Detection of requests that crash the backend servers that run them. */
import { hash32 } from "../../base/common/hash.ts";

/** Crashes after which a request is refused. Three unrelated connection resets in a row are very unlikely. */
const MAX_CRASHES = 3;
/** How long a crash counts. Longer than callers keep retrying the same request. */
const CRASH_RETENTION_MS = 60_000;
/** Maximum number of tracked requests. The one whose last crash is the oldest is evicted first. */
const MAX_TRACKED_REQUESTS = 1000;

export interface ICrashCount {
  /** Hash of the request's content. */
  readonly fingerprint: number;
  readonly count: number;
}

export interface ICrashEvidence {
  /** Hash of the request's content, in hexadecimal. */
  readonly fingerprint: string;
  /** Crashes counted for the content by this and the other instances, as known here. */
  readonly crashes: number;
}

interface ICrashEntry {
  count: number;
  lastAtMs: number;
}

/** The part of a request that identifies it: retries of the same request by its caller have equal content. */
export interface IRequestContent {
  readonly method: string;
  readonly target: string;
  readonly body: Uint8Array;
  /** Identity of the sender; empty if the request has none. */
  readonly caller: string;
}

/**
 * Counts crashes by request content, on this and the other instances. Expected load pattern: a single request
 * crashes every server that starts to run it, and its caller retries it through any instance.
 */
export class CrashCounter {
  readonly #now: () => number;
  readonly #local = new Map<number, ICrashEntry>();
  readonly #peerCounts = new Map<string, ReadonlyMap<number, ICrashEntry>>();

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Records that a server broke the connection while it had the request. Returns whether it counts. */
  recordCrash(content: IRequestContent): boolean {
    if (isAmbiguous(content)) return false;
    const fingerprint = fingerprintOf(content);
    const count = this.#liveCount(this.#local.get(fingerprint)) + 1;
    this.#local.delete(fingerprint);
    this.#local.set(fingerprint, { count, lastAtMs: this.#now() });
    const oldest = this.#local.keys().next();
    if (this.#local.size > MAX_TRACKED_REQUESTS && !oldest.done) this.#local.delete(oldest.value);
    return true;
  }

  /** Records that a server completed the request, which means that the earlier crashes had another cause. */
  recordSuccess(content: IRequestContent): void {
    if (this.#local.size > 0) this.#local.delete(fingerprintOf(content));
  }

  /** Returns the crash counts of this instance, to be reported to the others. */
  localCounts(): ICrashCount[] {
    return [...this.#local].map(([fingerprint, entry]) => ({ fingerprint, count: this.#liveCount(entry) }))
      .filter(({ count }) => count > 0);
  }

  /** Replaces the crash counts that another instance has reported. */
  recordPeerCounts(instance: string, counts: readonly ICrashCount[]): void {
    if (counts.length === 0 && !this.#peerCounts.has(instance)) return;
    const lastAtMs = this.#now();
    this.#peerCounts.set(
      instance,
      new Map(counts.map(({ fingerprint, count }) => [fingerprint, { count, lastAtMs }])),
    );
  }

  /** Whether a request has crashed so many servers that it must not be sent to another one. */
  hasReachedLimit(content: IRequestContent): boolean {
    if (this.#local.size === 0 && this.#peerCounts.size === 0) return false;
    return this.evidenceFor(content).crashes >= MAX_CRASHES;
  }

  /** Returns the identity of a request's content and the crashes known to this instance, for the log. */
  evidenceFor(content: IRequestContent): ICrashEvidence {
    const fingerprint = fingerprintOf(content);
    let crashes = this.#liveCount(this.#local.get(fingerprint));
    for (const counts of this.#peerCounts.values()) crashes += this.#liveCount(counts.get(fingerprint));
    return { fingerprint: fingerprint.toString(16).padStart(8, "0"), crashes };
  }

  /** Returns the crash count of an entry, or 0 if it has expired. */
  #liveCount(entry: ICrashEntry | undefined): number {
    return entry === undefined || this.#now() - entry.lastAtMs > CRASH_RETENTION_MS ? 0 : entry.count;
  }
}

/** Whether different callers may send the same content, so that crashes cannot be attributed to a request. */
function isAmbiguous({ body, caller }: IRequestContent): boolean {
  return body.length === 0 && caller === "";
}

function fingerprintOf({ method, target, body, caller }: IRequestContent): number {
  return hash32(`${method} ${target} ${caller} ${Buffer.from(body).toString("latin1")}`);
}
