/** Strikes of the gateway's requests, and the decision which requests are quarantined. */
import type { ISeparation } from "../../routing/common/backend_chooser.ts";
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";
import type { IRequestKey } from "./request_keys.ts";
import type { IAcquittal, ISharedCause } from "./shared_part_ledger.ts";
import { SharedPartLedger } from "./shared_part_ledger.ts";

/** Part of a request that may have caused a crash. */
export interface IStrikeKey extends IRequestKey {
  /** Whether the sender suspected requests with the key when it sent this one, as a trial; false in strikes of old builds. */
  readonly wasSuspected?: boolean;
}

/** A request was unfinished on a server when that server crashed. */
export interface IStrike extends IServerRun {
  /** Hash of the request's content; retries of the same request have the same one. */
  readonly fingerprint: bigint;
  /**
   * One more than the highest level of the request that was known when it was sent. Concurrent attempts, of
   * which all fail when many servers are lost at the same time, therefore have the same level.
   */
  readonly level: number;
  /** Unix time of the crash, in ms, by the clock of the instance that observed it. */
  readonly atMs: number;
  /** Unix time at which the request was sent to the server, in ms, by the clock of the sender; absent in old strikes. */
  readonly sentAtMs?: number;
  /** Parts of the request that may have caused the crash, without those that a completed request has; absent in old strikes. */
  readonly keys?: readonly IStrikeKey[];
  /** Whether the observer knew that the same content had completed before; false in old strikes. */
  readonly isProven?: boolean;
}

/** Weight from which a request is quarantined. */
const QUARANTINE_WEIGHT = 3;
/** Weight from which a request is quarantined for a while even if other requests explain its crashes. */
const EXPLAINED_QUARANTINE_WEIGHT = 5;
/**
 * Time after its last strike for which such a request is quarantined, in ms; doubled with each further
 * strike. By then the requests that explain its crashes are quarantined, so it completes if it is harmless.
 */
const EXPLAINED_QUARANTINE_MS = 2000;
/** Number of different durations of such a quarantine. */
const QUARANTINE_SPREAD_STEPS = 1024n;
/**
 * Time after which a strike can quarantine its request, in ms: by then the other instances have reported
 * their strikes on the same server, which may explain the crash. A request that returns faster is quarantined
 * from {@link EXPLAINED_QUARANTINE_WEIGHT} without this delay.
 */
const SETTLE_MS = 500;
/**
 * Maximum difference between the times at which instances observe the same crash, in ms. An instance may
 * attribute it to an earlier run of the server if it has not noticed a restart.
 */
const SAME_CRASH_MS = 3000;
/** Tolerated difference between the clocks of two instances, in ms. */
export const CLOCK_TOLERANCE_MS = 100;
/** Time within which the other instances report their strikes for the same crash, in ms. */
const REPORT_DELAY_MS = 200;
/** Positions that requests take by their hash as long as those of other instances are not known. */
const POSITIONS = 1n << 16n;
/** How long a completed request protects equal requests of other callers, in ms. */
const PROVEN_RETENTION_MS = 10 * 60_000;
/** Maximum number of such requests; the one that completed first is evicted first. */
const MAX_PROVEN = 2000;
/** How long a strike counts, in ms: longer than callers keep returning with the same request. */
const STRIKE_RETENTION_MS = 30 * 60_000;
/** Maximum number of strikes; the oldest are evicted first. */
const MAX_STRIKES = 4000;
/** Maximum number of withdrawn strikes that are remembered, so that a late copy does not restore them. */
const MAX_WITHDRAWN = 4000;

/**
 * Set of strikes that instances merge in any order. Expected load pattern: a single request crashes every
 * server that starts to run it and returns through any instance, while other requests that run on the same
 * servers fail with it and are retried as well.
 */
export class StrikeLedger {
  readonly #now: () => number;
  readonly #strikes = new Map<string, IStrike>();
  readonly #byFingerprint = new Map<bigint, Set<IStrike>>();
  readonly #byBackend = new Map<string, Set<IStrike>>();
  readonly #withdrawn = new Set<string>();
  readonly #provenAtMs = new Map<bigint, number>();
  /** Local time at which each strike was added, in ms. */
  readonly #addedAtMs = new Map<IStrike, number>();

  readonly #sharedParts: SharedPartLedger;

  /** The spread, in [0, 1), is different for each instance, so that they do not try a request at the same time. */
  constructor(now: () => number, spread = 0) {
    this.#now = now;
    this.#sharedParts = new SharedPartLedger({
      now,
      spread,
      strikesOfSameCrash: (strike) => this.#strikesOfSameCrash(strike),
      isCause: (fingerprint) => this.#weigh(fingerprint, this.strikesOf(fingerprint)) >= QUARANTINE_WEIGHT,
      isSettled: (strike) => this.#isSettled(strike),
    });
  }

  get size(): number {
    return this.#strikes.size;
  }

  /** Number of requests that are quarantined. */
  get quarantinedCount(): number {
    let count = 0;
    for (const fingerprint of this.#byFingerprint.keys()) if (this.isQuarantined(fingerprint)) count += 1;
    return count;
  }

  /**
   * Adds a strike unless it is known, withdrawn or expired; returns whether anything has changed. Of two strikes for
   * the same server run the higher level counts: while the store is unavailable, a restart is not noticed. A key that one
   * of the two lacks has been acquitted.
   */
  add(strike: IStrike): boolean {
    const key = strikeKey(strike);
    if (this.isObsolete(strike)) return false;
    const known = this.#strikes.get(key);
    const isNarrowed = this.#sharedParts.narrow(strike);
    if ((known?.level ?? 0) >= strike.level) return isNarrowed;
    const keys = known === undefined ? strike.keys : this.#sharedParts.keysOf(known);
    this.#remove(key);
    this.#strikes.set(key, strike);
    this.#addedAtMs.set(strike, this.#now());
    this.#sharedParts.add(strike, keys);
    addToIndex(this.#byFingerprint, strike.fingerprint, strike);
    addToIndex(this.#byBackend, strike.backendId, strike);
    return true;
  }

  has(key: string): boolean {
    return this.#strikes.has(key);
  }

  /** Whether a strike is withdrawn or expired. */
  isObsolete(strike: IStrike): boolean {
    return this.#withdrawn.has(strikeKey(strike)) || this.#isExpired(strike);
  }

  /** Removes a strike permanently; returns it if it was present. */
  withdraw(key: string): IStrike | undefined {
    this.#withdrawn.add(key);
    const [oldest] = this.#withdrawn;
    if (this.#withdrawn.size > MAX_WITHDRAWN) this.#withdrawn.delete(oldest);
    return this.#remove(key);
  }

  /** Returns all strikes, each with the keys that are not acquitted. */
  list(): IStrike[] {
    return [...this.#strikes.values()].map((strike) => this.narrow(strike));
  }

  /** Returns the part because of which a request is refused that shares it with others; undefined if it may be sent. */
  sharedCauseOf(
    keys: readonly IRequestKey[],
    isTried: (key: IRequestKey) => boolean,
  ): ISharedCause | undefined {
    return this.#sharedParts.causeOf(keys, isTried);
  }

  /** Returns the keys among these that are suspected of crashing servers. */
  suspectedAmong(keys: readonly IRequestKey[]): IRequestKey[] {
    return keys.filter((key) => this.#sharedParts.isSuspect(key));
  }

  /** Whether a key is suspected only because of crashes before the start of this instance. */
  isInherited(key: IRequestKey): boolean {
    return this.#sharedParts.isInherited(key);
  }

  /** Records the completion of a request with these keys; returns the strikes that have lost some of them. */
  acquit(keys: readonly IRequestKey[], sentAtMs: number): IAcquittal[] {
    return this.#sharedParts.acquit(keys, sentAtMs);
  }

  /** Returns a copy of a known strike without the keys that are acquitted; other strikes unchanged. */
  narrow(strike: IStrike): IStrike {
    if (!this.#strikes.has(strikeKey(strike))) return strike;
    return { ...strike, keys: this.#sharedParts.keysOf(strike) };
  }

  strikesOf(fingerprint: bigint): IStrike[] {
    return [...(this.#byFingerprint.get(fingerprint) ?? [])];
  }

  /** Returns the position of a request with strikes among those that shared its latest crash. */
  separationOf(fingerprint: bigint): ISeparation | undefined {
    const strikes = this.strikesOf(fingerprint).sort((a, b) => a.level - b.level || a.atMs - b.atMs);
    const latest = strikes.at(-1);
    if (latest === undefined) return undefined;
    const isReported = this.#now() - latest.atMs >= REPORT_DELAY_MS;
    if (!isReported) return { crash: latest.backendId, position: Number(fingerprint % POSITIONS) };
    // The most suspect ones come first, so that neighbours in the order are the likeliest causes.
    const isBefore = (other: IStrike) =>
      other.level === latest.level ? other.fingerprint < fingerprint : other.level > latest.level;
    return { crash: latest.backendId, position: this.#strikesOfSameCrash(latest).filter(isBefore).length };
  }

  /** Highest level of a request's strikes; 0 if it has none. */
  levelOf(fingerprint: bigint): number {
    return maxLevel(this.strikesOf(fingerprint));
  }

  /** Records that a request, which several callers may send at the same time, has completed. */
  recordProven(fingerprint: bigint): void {
    this.#provenAtMs.delete(fingerprint);
    this.#provenAtMs.set(fingerprint, this.#now());
    const [oldest] = this.#provenAtMs.keys();
    if (this.#provenAtMs.size > MAX_PROVEN) this.#provenAtMs.delete(oldest);
  }

  /** Whether a request with the same content has completed recently, as far as this instance knows. */
  isProven(fingerprint: bigint): boolean {
    return this.#isRecentProof(this.#provenAtMs.get(fingerprint) ?? -Infinity);
  }

  /** Whether a request has crashed so many servers that it must not be sent to another one. */
  isQuarantined(fingerprint: bigint): boolean {
    const strikes = this.strikesOf(fingerprint);
    const weight = this.#weigh(fingerprint, strikes);
    const settledWeight = this.#weigh(fingerprint, strikes.filter((strike) => this.#isSettled(strike)));
    const isDecided = settledWeight >= QUARANTINE_WEIGHT || weight >= EXPLAINED_QUARANTINE_WEIGHT;
    if (!isDecided) return false;
    return !this.#isExplainedByOthers(strikes) || this.#heldBackMs(fingerprint, weight) > 0;
  }

  /** Time for which a quarantined request is still refused, in ms, if other requests explain its crashes. */
  heldBackMs(fingerprint: bigint): number | undefined {
    const strikes = this.strikesOf(fingerprint);
    if (!this.#isExplainedByOthers(strikes)) return undefined;
    return Math.max(0, this.#heldBackMs(fingerprint, this.#weigh(fingerprint, strikes)));
  }

  #isExplainedByOthers(strikes: readonly IStrike[]): boolean {
    return strikes.every((strike) => this.#isExplained(strike));
  }

  /** Removes expired strikes and the oldest ones above the maximum number; returns the removed ones. */
  evict(): IStrike[] {
    const evicted: IStrike[] = [];
    for (const [key, strike] of this.#strikes) {
      if (this.#strikes.size <= MAX_STRIKES && !this.#isExpired(strike)) continue;
      this.#remove(key);
      evicted.push(strike);
    }
    return evicted;
  }

  /** Time for which a request whose crashes others explain is refused, in ms; not positive if it is not. */
  #heldBackMs(fingerprint: bigint, weight: number): number {
    if (weight < EXPLAINED_QUARANTINE_WEIGHT) return 0;
    const addedAtMs = this.strikesOf(fingerprint).map((strike) => this.#addedAtMs.get(strike) ?? 0);
    // Requests that failed together return at different times, so that a harmless one runs alone.
    const spread = 1 + Number(fingerprint % QUARANTINE_SPREAD_STEPS) / Number(QUARANTINE_SPREAD_STEPS);
    const durationMs = EXPLAINED_QUARANTINE_MS * spread * 2 ** (weight - EXPLAINED_QUARANTINE_WEIGHT);
    return Math.max(...addedAtMs) + durationMs - this.#now();
  }

  /** Whether another request that may be quarantined was unfinished on the server as well. */
  #isExplained(strike: IStrike): boolean {
    return this.#strikesOfSameCrash(strike).some(({ fingerprint }) =>
      fingerprint !== strike.fingerprint &&
      this.#weigh(fingerprint, this.strikesOf(fingerprint)) >= QUARANTINE_WEIGHT
    );
  }

  /** Strikes of all requests that were unfinished on the same server at the same crash. */
  #strikesOfSameCrash(strike: IStrike): IStrike[] {
    return [...(this.#byBackend.get(strike.backendId) ?? [])].filter((other) =>
      (other.startedAtMs === strike.startedAtMs || Math.abs(other.atMs - strike.atMs) <= SAME_CRASH_MS) &&
      !isSentAfter(other, strike) && !isSentAfter(strike, other)
    );
  }

  /**
   * Number of crashes that a request may have caused. Of a request that several callers send, and that has
   * completed before, concurrent attempts count once: all of them fail when many servers are lost at once.
   */
  #weigh(fingerprint: bigint, strikes: readonly IStrike[]): number {
    // Strikes keep this knowledge for instances that have not seen the request complete.
    const isProven = this.isProven(fingerprint) ||
      strikes.some(({ isProven, atMs }) => isProven === true && this.#isRecentProof(atMs));
    return isProven ? maxLevel(strikes) : Math.max(strikes.length, maxLevel(strikes));
  }

  #isRecentProof(atMs: number): boolean {
    return this.#now() - atMs <= PROVEN_RETENTION_MS;
  }

  /** Whether the crash is old enough, by the clock of the observer or by the time since it was reported. */
  #isSettled(strike: IStrike): boolean {
    const sinceMs = Math.min(strike.atMs, this.#addedAtMs.get(strike) ?? 0);
    return this.#now() - sinceMs >= SETTLE_MS;
  }

  #isExpired({ atMs }: IStrike): boolean {
    return this.#now() - atMs > STRIKE_RETENTION_MS;
  }

  #remove(key: string): IStrike | undefined {
    const strike = this.#strikes.get(key);
    if (strike === undefined) return undefined;
    this.#strikes.delete(key);
    this.#addedAtMs.delete(strike);
    this.#sharedParts.remove(strike);
    removeFromIndex(this.#byFingerprint, strike.fingerprint, strike);
    removeFromIndex(this.#byBackend, strike.backendId, strike);
    return strike;
  }
}

function maxLevel(strikes: readonly IStrike[]): number {
  return strikes.reduce((level, strike) => Math.max(level, strike.level), 0);
}

/**
 * Whether a request was sent after the crash of another strike, so that its own crash is a later one, even if a restart of the
 * server in between has not been noticed.
 */
export function isSentAfter({ sentAtMs = 0 }: IStrike, { atMs }: IStrike): boolean {
  return sentAtMs > atMs + CLOCK_TOLERANCE_MS;
}

export function serverKey({ backendId, startedAtMs }: IServerRun): string {
  return `${backendId}@${startedAtMs}`;
}

/** Identifies a strike on all instances. */
export function strikeKey(strike: IStrike): string {
  return `${formatFingerprint(strike.fingerprint)}/${serverKey(strike)}`;
}

export function formatFingerprint(fingerprint: bigint): string {
  return fingerprint.toString(16).padStart(16, "0");
}

function addToIndex<K>(index: Map<K, Set<IStrike>>, key: K, strike: IStrike): void {
  const strikes = index.get(key) ?? new Set();
  strikes.add(strike);
  index.set(key, strikes);
}

function removeFromIndex<K>(index: Map<K, Set<IStrike>>, key: K, strike: IStrike): void {
  const strikes = index.get(key);
  strikes?.delete(strike);
  if (strikes?.size === 0) index.delete(key);
}
