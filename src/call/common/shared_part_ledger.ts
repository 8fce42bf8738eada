/** Decides which parts of requests' content crash servers, from the strikes of requests that share them. */
import type { IRequestKey } from "./request_keys.ts";
import type { IStrike, IStrikeKey } from "./strike_ledger.ts";
import { CLOCK_TOLERANCE_MS, isSentAfter, serverKey, strikeKey } from "./strike_ledger.ts";

/** Number of crashes from which requests with a part in common are refused. */
const QUARANTINE_CRASHES = 3;
/** The same while the latest crashes are so recent that other instances may not have reported theirs. */
const UNSETTLED_QUARANTINE_CRASHES = 5;
/** Crashes at the same moment count as at most this many: servers that are lost together have no common cause in a request. */
const MAX_SIMULTANEOUS_CRASHES = 2;
/** Time within which crashes count as simultaneous, in ms. */
const SIMULTANEOUS_MS = 250;
/** Time after the crash that quarantines a part from which trials are limited, in ms; callers' first retries come before. */
const TRIAL_LIMIT_DELAY_MS = 1000;
/** Number of crashes by limited trials after which a part is refused until its strikes expire. */
const MAX_TRIAL_CRASHES = 2;
/** Time without a crash after which a request that shares all suspected parts is tried, in ms; longer after each such trial. */
const TRIAL_DELAY_MS = 1000;
const TRIAL_DELAY_FACTOR = 4;
/** Maximum number of keys whose last completion is remembered; the one that completed first is evicted first. */
const MAX_ACQUITTED = 10_000;

/** A strike with the parts that may still have caused its crash. */
interface ITrackedStrike {
  readonly strike: IStrike;
  readonly addedAtMs: number;
  readonly keys: Map<bigint, IStrikeKey>;
}

/** A strike that has lost parts with which requests have completed. */
export interface IAcquittal {
  /** The strike without these parts. */
  readonly strike: IStrike;
  /** Whether other instances may suspect requests with one of the parts. */
  readonly isUrgent: boolean;
}

/** Why a request is refused: it shares a part with requests that have crashed servers. */
export interface ISharedCause {
  readonly key: IRequestKey;
  readonly strikes: readonly IStrike[];
  /** Time after which a request is tried again, in ms; undefined if none is. */
  readonly endsInMs: number | undefined;
}

export interface ISharedPartLedgerOptions {
  /** Unix time in ms. */
  readonly now: () => number;
  /** In [0, 1), different for each instance, so that instances do not try a request at the same time. */
  readonly spread: number;
  /** Returns the strikes of all requests that were unfinished on the same server at the same crash. */
  readonly strikesOfSameCrash: (strike: IStrike) => readonly IStrike[];
  /** Whether the content of a request as a whole has crashed servers. */
  readonly isCause: (fingerprint: bigint) => boolean;
  readonly isSettled: (strike: IStrike) => boolean;
}

/**
 * Expected load pattern: a target, body, object, prompt part or two of them together crash every server that runs a
 * request with them, and return in ever new requests, beside many sound requests that share other parts.
 *
 * Each completed request acquits its parts. If all crashes of a part have another part or a whole request in common as
 * well, only requests with both are refused; one with the first alone is tried, so that it either is served, which acquits
 * its parts, or shows that the first part is the cause by itself.
 */
export class SharedPartLedger {
  readonly #opts: ISharedPartLedgerOptions;
  readonly #strikes = new Map<string, ITrackedStrike>();
  readonly #byKey = new Map<bigint, Set<ITrackedStrike>>();
  /** Time at which the last completed request with a key was sent, in Unix ms, for strikes that are reported later. */
  readonly #acquittedMs = new Map<bigint, number>();
  readonly #startedAtMs: number;

  constructor(opts: ISharedPartLedgerOptions) {
    this.#opts = opts;
    this.#startedAtMs = opts.now();
  }

  /** Adds a strike with the keys that are not acquitted. */
  add(strike: IStrike, suspected: readonly IStrikeKey[] = []): void {
    const remaining = suspected.filter(({ hash }) => !this.#isAcquitted(hash, strike));
    const keys = new Map(remaining.map((key) => [key.hash, key]));
    const tracked = { strike, addedAtMs: this.#opts.now(), keys };
    this.#strikes.set(strikeKey(strike), tracked);
    for (const hash of keys.keys()) {
      const strikes = this.#byKey.get(hash) ?? new Set();
      strikes.add(tracked);
      this.#byKey.set(hash, strikes);
    }
  }

  remove(strike: IStrike): void {
    const tracked = this.#strikes.get(strikeKey(strike));
    if (tracked === undefined) return;
    this.#strikes.delete(strikeKey(strike));
    for (const hash of [...tracked.keys.keys()]) this.#acquit(tracked, hash);
  }

  /** Returns the parts that may still have caused a strike's crash. */
  keysOf(strike: IStrike): IStrikeKey[] {
    return [...this.#strikes.get(strikeKey(strike))?.keys.values() ?? []];
  }

  /** Removes the keys of a strike that another copy of it no longer has; returns whether there were any. */
  narrow(strike: IStrike): boolean {
    const tracked = this.#strikes.get(strikeKey(strike));
    if (tracked === undefined) return false;
    const remaining = new Set((strike.keys ?? []).map(({ hash }) => hash));
    const removed = [...tracked.keys.keys()].filter((hash) => !remaining.has(hash));
    for (const hash of removed) this.#acquit(tracked, hash);
    return removed.length > 0;
  }

  /** Records that a request with these keys has completed, which was sent at the given time. */
  acquit(keys: readonly IRequestKey[], sentAtMs: number): IAcquittal[] {
    const changed = new Map<ITrackedStrike, boolean>();
    for (const { hash } of keys) {
      this.#recordAcquittal(hash, sentAtMs);
      const strikes = [...this.#byKey.get(hash) ?? []];
      const isUrgent = distinctCrashes(strikes).length >= MAX_SIMULTANEOUS_CRASHES;
      for (const tracked of strikes) {
        if (!this.#isAcquitted(hash, tracked.strike)) continue;
        this.#acquit(tracked, hash);
        changed.set(tracked, isUrgent || changed.get(tracked) === true);
      }
    }
    return [...changed].map(([{ strike, keys: remaining }, isUrgent]) => ({
      strike: { ...strike, keys: [...remaining.values()] },
      isUrgent,
    }));
  }

  /** Whether requests that share the key are suspected of crashing servers. */
  isSuspect({ hash }: IRequestKey): boolean {
    return this.#weigh(this.#byKey.get(hash)) >= QUARANTINE_CRASHES;
  }

  /** Whether all crashes of requests with the key are earlier than the start of this instance. */
  isInherited({ hash }: IRequestKey): boolean {
    return [...this.#byKey.get(hash) ?? []].every(({ strike }) => strike.atMs < this.#startedAtMs);
  }

  /** Returns why a request with these keys is refused; undefined if it may be sent. */
  causeOf(
    keys: readonly IRequestKey[],
    isTried: (key: IRequestKey) => boolean,
  ): ISharedCause | undefined {
    for (const key of keys) {
      const strikes = [...this.#byKey.get(key.hash) ?? []];
      if (!this.#isQuarantined(key, strikes)) continue;
      const hasCause = sharesCause(keys, { key, strikes });
      const endsInMs = this.#trialInMs(key, { strikes, hasCause });
      if (endsInMs === 0 && !(this.#isTrialLimited(strikes) && isTried(key))) continue;
      return { key, strikes: strikes.map(({ strike }) => strike), endsInMs };
    }
    return undefined;
  }

  #isQuarantined(key: IRequestKey, strikes: readonly ITrackedStrike[]): boolean {
    const weight = this.#weigh(strikes);
    if (weight < QUARANTINE_CRASHES) return false;
    const settled = strikes.filter(({ strike }) => this.#opts.isSettled(strike));
    if (this.#weigh(settled) < QUARANTINE_CRASHES && weight < UNSETTLED_QUARANTINE_CRASHES) return false;
    return !strikes.every((tracked) => this.#isExplainedWithout(key, tracked));
  }

  /** Time until a request with a part may be tried, in ms: 0 if it may be now, undefined if it is not at all. */
  #trialInMs(
    key: IRequestKey,
    { strikes, hasCause }: { strikes: readonly ITrackedStrike[]; hasCause: boolean },
  ): number | undefined {
    // Its crash would leave nothing in common but the part, so that no second trial of this kind follows.
    if (!hasCause) return 0;
    const trialCrashes = this.#trialCrashes(key, strikes);
    if (trialCrashes >= MAX_TRIAL_CRASHES) return undefined;
    const latestMs = Math.max(...strikes.map(({ addedAtMs }) => addedAtMs));
    // Instances that start together would try the part together as well, so that their trials are spread over a longer time.
    const exponent = Math.max(trialCrashes, this.isInherited(key) ? 1 : 0);
    const delayMs = TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** exponent * (1 + this.#opts.spread);
    return Math.max(0, latestMs + delayMs - this.#opts.now());
  }

  #isTrialLimited(strikes: readonly ITrackedStrike[]): boolean {
    return this.#opts.now() > trialLimitStartMs(strikes);
  }

  /**
   * Number of crashes since trials have been limited. Of earlier ones than the start of this instance, those of requests that
   * were sent without suspicion count as one: their senders may have seen other requests with the part complete, which is lost
   * with them, so that one trial must remain.
   */
  #trialCrashes({ hash }: IRequestKey, strikes: readonly ITrackedStrike[]): number {
    const startMs = trialLimitStartMs(strikes);
    const isUncertain = ({ strike, keys }: ITrackedStrike) =>
      strike.atMs < this.#startedAtMs && keys.get(hash)?.wasSuspected !== true;
    const count = (some: readonly ITrackedStrike[]) =>
      distinctCrashes(some).filter((atMs) => atMs > startMs).length;
    const certain = count(strikes.filter((tracked) => !isUncertain(tracked)));
    return certain + Math.min(count(strikes.filter(isUncertain)), MAX_TRIAL_CRASHES - 1);
  }

  /** Whether another request without the key explains a crash, because it has crashed servers itself. */
  #isExplainedWithout({ hash }: IRequestKey, { strike, keys }: ITrackedStrike): boolean {
    return this.#opts.strikesOfSameCrash(strike).some((other) => {
      const otherKeys = this.#strikes.get(strikeKey(other))?.keys;
      if (otherKeys === undefined || otherKeys.has(hash) || other.fingerprint === strike.fingerprint) {
        return false;
      }
      if (this.#opts.isCause(other.fingerprint)) return true;
      return [...otherKeys.values()].some((key) => !keys.has(key.hash) && this.isSuspect(key));
    });
  }

  #weigh(strikes: Iterable<ITrackedStrike> = []): number {
    const crashes = distinctCrashes(strikes);
    const isSimultaneous = crashes.every((atMs, index) =>
      index === 0 || atMs - crashes[index - 1] < SIMULTANEOUS_MS
    );
    return isSimultaneous ? Math.min(MAX_SIMULTANEOUS_CRASHES, crashes.length) : crashes.length;
  }

  #recordAcquittal(hash: bigint, sentAtMs: number): void {
    const latestMs = Math.max(sentAtMs, this.#acquittedMs.get(hash) ?? -Infinity);
    this.#acquittedMs.delete(hash);
    this.#acquittedMs.set(hash, latestMs);
    const [oldest] = this.#acquittedMs.keys();
    if (this.#acquittedMs.size > MAX_ACQUITTED) this.#acquittedMs.delete(oldest);
  }

  /**
   * Whether a request with the key was sent after the one that a strike belongs to, and has completed. The crash may have been
   * noticed long after it.
   */
  #isAcquitted(hash: bigint, { sentAtMs = 0, atMs }: IStrike): boolean {
    return (sentAtMs || atMs) <= (this.#acquittedMs.get(hash) ?? -Infinity) + CLOCK_TOLERANCE_MS;
  }

  #acquit(tracked: ITrackedStrike, hash: bigint): void {
    tracked.keys.delete(hash);
    const strikes = this.#byKey.get(hash);
    strikes?.delete(tracked);
    if (strikes?.size === 0) this.#byKey.delete(hash);
  }
}

/**
 * Times of the crashes in order, in Unix ms. Several requests may have strikes for the same one. A restart is noticed late,
 * so that strikes of the same server run may belong to several crashes: a request that was sent after a crash is one of a
 * later one.
 */
function distinctCrashes(strikes: Iterable<ITrackedStrike>): number[] {
  const latest = new Map<string, IStrike>();
  const times: number[] = [];
  const inOrder = [...strikes].map(({ strike }) => strike).sort((a, b) => a.atMs - b.atMs);
  for (const strike of inOrder) {
    const key = serverKey(strike);
    const known = latest.get(key);
    if (known !== undefined && !isSentAfter(strike, known)) continue;
    latest.set(key, strike);
    times.push(strike.atMs);
  }
  return times;
}

/** Time from which trials are limited, in Unix ms. */
function trialLimitStartMs(strikes: readonly ITrackedStrike[]): number {
  return (distinctCrashes(strikes)[QUARANTINE_CRASHES - 1] ?? Infinity) + TRIAL_LIMIT_DELAY_MS;
}

/** Whether a request shares what the crashes have in common: the part, or with another part if all of them have that too. */
function sharesCause(
  keys: readonly IRequestKey[],
  { key, strikes }: { key: IRequestKey; strikes: readonly ITrackedStrike[] },
): boolean {
  const common = commonRefinements(key, strikes);
  return common.size === 0 || keys.some(({ hash }) => common.has(hash));
}

/**
 * Hashes of what each crash has in common beyond a key: keys that contain it and another part, and the fingerprints of
 * requests that were part of all of them.
 */
function commonRefinements(key: IRequestKey, strikes: readonly ITrackedStrike[]): Set<bigint> {
  const byCrash = new Map<string, Set<bigint>>();
  for (const { strike, keys } of strikes) {
    const crash = serverKey(strike);
    const hashes = byCrash.get(crash) ?? new Set();
    byCrash.set(crash, hashes);
    const { parts } = keys.get(key.hash)!;
    hashes.add(strike.fingerprint);
    for (const other of keys.values()) {
      if (other.parts !== parts && (other.parts & parts) === parts) hashes.add(other.hash);
    }
  }
  const [first, ...rest] = [...byCrash.values()];
  return new Set([...first].filter((hash) => rest.every((hashes) => hashes.has(hash))));
}
