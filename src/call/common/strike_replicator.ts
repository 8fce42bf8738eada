/** Keeps the strikes of all instances in a keyed topic of the store, so that they survive the instances. */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Effect } from "effect";
import { toError } from "../../base/common/errors.ts";
import type { Strike } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { StrikeSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { repeatWhenNeeded } from "../../base/common/periodic.ts";
import { Signal } from "../../base/common/signal.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { supervise } from "../../services/logging/common/supervision.ts";
import type { IKeyedUpdate } from "../../services/store/common/keyed_topic_follower.ts";
import { KeyedTopicFollower } from "../../services/store/common/keyed_topic_follower.ts";
import type {
  IKeyedWrite,
  IPartitionedLog,
  StoreError,
} from "../../services/store/common/partitioned_log.ts";
import { isValidKey } from "../../services/store/common/partitioned_log.ts";
import type { CrashMonitor, IStrikeChange } from "./crash_monitor.ts";
import type { IStrike } from "./strike_ledger.ts";
import { strikeKey } from "./strike_ledger.ts";
import { toStrikeMessage } from "./strike_message.ts";
import { isUsableStrike } from "./usable_messages.ts";

const POLL_TIMEOUT_MS = 3000;
/** Limits the calls to the store after a crash, when all instances write strikes of its victims. */
const POLL_INTERVAL_MS = 1000;
/**
 * Delay before a request's first strike is written, and before strikes are deleted, in ms. Most requests
 * complete when they are retried, which withdraws the strike before it is written.
 */
const FIRST_STRIKE_DELAY_MS = 1000;
/** Delay before further strikes are written, in ms; collects those of one crash into one call. */
const STRIKE_DELAY_MS = 50;
/** Delay before an acquittal of parts is written by the instance that has added the strike, in ms; collects several into one call. */
const NARROWING_DELAY_MS = 1000;
/** Least delay before another instance writes it, in ms, in case the one that has added the strike is lost; up to twice as long. */
const OTHERS_NARROWING_DELAY_MS = 3000;
const RETRY_DELAY_MS = 500;
/** Longest wait for a change; bounds the delay of one that is signalled just before the wait begins. */
const MAX_WAIT_MS = 5000;
/** Maximum number of records in one call. */
const MAX_BATCH = 500;
/** Interval between two searches for requests whose crash may go unnoticed, in ms. */
const AT_RISK_INTERVAL_MS = 250;
/** Precedes the key of a strike that counts only once its server is known to have ended. */
export const PENDING_KEY_PREFIX = "pending/";
/** Age from which a pending strike is deleted, in ms. */
const PENDING_EXPIRY_MS = 60_000;
/** Mean interval between two searches for expired strikes, in ms. */
const EVICTION_INTERVAL_MS = 60_000;

interface IPendingWrite {
  readonly key: string;
  /** Undefined if the key is to be deleted. */
  readonly strike: IStrike | undefined;
  readonly dueAtMs: number;
  /** Whether the write only takes acquitted parts out of the stored strike. */
  readonly isNarrowing?: boolean;
}

export interface IStrikeReplicatorOptions {
  readonly log: IPartitionedLog;
  readonly topic: string;
  readonly monitor: CrashMonitor;
  readonly logger: ILogger;
  /** Unix time in ms. */
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

export class StrikeReplicator {
  readonly follower: KeyedTopicFollower;
  readonly #opts: IStrikeReplicatorOptions;
  readonly #pending = new Map<string, IPendingWrite>();
  /** Keys of the strikes that this instance has added. */
  readonly #own = new Set<string>();
  /** Pending strikes that were enqueued, by their keys. */
  readonly #enqueuedPending = new Map<string, IStrike>();
  readonly #changed = new Signal();
  #isFailing = false;

  constructor(opts: IStrikeReplicatorOptions) {
    const { log, topic, logger, monitor } = opts;
    this.#opts = opts;
    this.follower = new KeyedTopicFollower({
      log,
      topic,
      logger,
      waitMs: POLL_TIMEOUT_MS,
      pauseMs: POLL_INTERVAL_MS,
    });
    this.follower.onDidUpdate((update) => this.#apply(update));
    monitor.onDidChange((change) => this.#enqueue(change));
    monitor.onDidNarrow((strike) => this.#enqueueNarrowing(strike));
  }

  /** Number of changes that are not in the store yet. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /** Follows the topic and writes this instance's changes until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      yield* this.follower.start();
      const { logger } = this.#opts;
      yield* Effect.forkScoped(supervise(this.#writeLoop(), { component: "strike writer", logger }));
      yield* Effect.forkScoped(supervise(this.#atRiskLoop(), { component: "pending strikes", logger }));
      yield* Effect.forkScoped(supervise(this.#evictionLoop(), { component: "strike eviction", logger }));
    });
  }

  #apply({ key, value }: IKeyedUpdate): void {
    const { monitor, logger, now } = this.#opts;
    const isPending = key.startsWith(PENDING_KEY_PREFIX);
    if (value === undefined) {
      this.#own.delete(key);
      return isPending ? undefined : monitor.mergeWithdrawal(key);
    }
    try {
      const strike = fromBinary(StrikeSchema, value);
      if (!isUsableStrike(strike, now())) {
        return logger.warn("strike-unusable", { key, bytes: value.length });
      }
      if (isPending) return void monitor.merge({ strike, isWithdrawn: false, isPending });
      if (monitor.isObsolete(strike)) return this.#delete(key);
      monitor.merge({ strike, isWithdrawn: false, isPending: false });
      this.#enqueueNarrowing(strike);
    } catch (err) {
      logger.warn("strike-unreadable", { key, error: toError(err).message });
    }
  }

  #enqueue({ strike, isWithdrawn }: IStrikeChange): void {
    const key = strikeKey(strike);
    if (!this.#canStore(key)) return;
    const delayMs = strike.level === 1 ? FIRST_STRIKE_DELAY_MS : STRIKE_DELAY_MS;
    // A pending strike would come back with all parts of its request, and after its withdrawal.
    this.#deletePending(strike, delayMs);
    if (isWithdrawn) return this.#delete(key);
    this.#own.add(key);
    this.#pending.set(key, { key, strike, dueAtMs: this.#opts.now() + delayMs });
    this.#changed.notify();
  }

  /**
   * Has acquitted parts taken out of a stored strike. An instance that starts after the loss of all others would refuse
   * requests with them, as only the lost ones have seen such requests complete.
   */
  #enqueueNarrowing(strike: IStrike): void {
    const key = strikeKey(strike);
    // A write that is pending leaves them out.
    if (this.#pending.has(key) || !this.#isStoredWider(key)) return;
    const delayMs = this.#own.has(key)
      ? NARROWING_DELAY_MS
      : OTHERS_NARROWING_DELAY_MS * (1 + this.#opts.random());
    this.#pending.set(key, { key, strike, dueAtMs: this.#opts.now() + delayMs, isNarrowing: true });
    this.#changed.notify();
  }

  /** Whether the stored copy of a strike has parts that are acquitted. */
  #isStoredWider(key: string): boolean {
    const value = this.follower.valueOf(key);
    const stored = value === undefined ? undefined : decode(value);
    return stored !== undefined && this.#opts.monitor.narrow(stored).keys!.length < stored.keys.length;
  }

  /** Whether the store can hold a strike. One that it cannot hold, because of its server's long id, spreads by report only. */
  #canStore(key: string): boolean {
    const isStorable = isValidKey(key);
    if (!isStorable) this.#opts.logger.warn("strike-unstorable", { key });
    return isStorable;
  }

  #delete(key: string, delayMs = FIRST_STRIKE_DELAY_MS): void {
    // The store would refuse the whole call; only bytes that are not UTF-8 are read as such a key.
    if (!isValidKey(key)) return;
    this.#own.delete(key);
    const pending = this.#pending.get(key);
    // A strike that has not been written needs no deletion.
    if (pending?.strike !== undefined && pending.isNarrowing !== true) {
      this.#pending.delete(key);
      return;
    }
    this.#pending.set(key, { key, strike: undefined, dueAtMs: this.#opts.now() + delayMs });
    this.#changed.notify();
  }

  /** Deletes the pending form of a strike if this instance has written it for the same attempt. */
  #deletePending(strike: IStrike, delayMs: number): void {
    const key = `${PENDING_KEY_PREFIX}${strikeKey(strike)}`;
    const enqueued = this.#enqueuedPending.get(key);
    if (enqueued === undefined || enqueued.sentAtMs !== strike.sentAtMs) return;
    this.#enqueuedPending.delete(key);
    this.#delete(key, delayMs);
  }

  #writeLoop(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const due = this.#takeDue();
        if (due.length > 0) yield* this.#write(due);
        else yield* this.#awaitDue();
      }
    });
  }

  /** Writes pending strikes of the requests whose crash may go unnoticed. */
  #atRiskLoop(): Effect.Effect<void> {
    return repeatWhenNeeded({
      intervalMs: AT_RISK_INTERVAL_MS,
      awaitWork: this.#opts.monitor.awaitAttempts,
      work: Effect.sync(() => this.#enqueueAtRisk()),
    });
  }

  #enqueueAtRisk(): void {
    const now = this.#opts.now();
    const enqueued = this.#enqueuedPending;
    for (const [key, { atMs }] of enqueued) if (now - atMs > PENDING_EXPIRY_MS) enqueued.delete(key);
    for (const strike of this.#opts.monitor.reportAtRisk()) {
      const key = `${PENDING_KEY_PREFIX}${strikeKey(strike)}`;
      if (enqueued.has(key) || !this.#canStore(key)) continue;
      enqueued.set(key, strike);
      this.#pending.set(key, { key, strike, dueAtMs: now });
      this.#changed.notify();
    }
  }

  /** Deletes pending strikes that no longer count. */
  #deleteExpiredPending(): void {
    const oldestMs = this.#opts.now() - PENDING_EXPIRY_MS;
    for (const { key, value } of this.follower.snapshot()?.items ?? []) {
      if (!key.startsWith(PENDING_KEY_PREFIX)) continue;
      try {
        if (fromBinary(StrikeSchema, value).atMs < oldestMs) this.#delete(key);
      } catch (err) {
        this.#opts.logger.warn("strike-unreadable", { key, error: toError(err).message });
        this.#delete(key);
      }
    }
  }

  /** Returns the changes to write now. Strikes that another instance has withdrawn or narrowed meanwhile are dropped. */
  #takeDue(): IPendingWrite[] {
    const now = this.#opts.now();
    for (const { key, strike, dueAtMs, isNarrowing } of this.#pending.values()) {
      if (strike === undefined || key.startsWith(PENDING_KEY_PREFIX)) continue;
      const isObsolete = !this.#opts.monitor.hasStrike(key) ||
        (isNarrowing === true && dueAtMs <= now && !this.#isStoredWider(key));
      if (isObsolete) this.#pending.delete(key);
    }
    return [...this.#pending.values()].filter(({ dueAtMs }) => dueAtMs <= now).slice(0, MAX_BATCH);
  }

  /** Encodes a change as of now: parts may have been acquitted since it was enqueued. */
  #encode({ key, strike }: IPendingWrite): IKeyedWrite {
    return { key, value: strike === undefined ? undefined : encode(this.#opts.monitor.narrow(strike)) };
  }

  #awaitDue(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const dueInMs = [...this.#pending.values()].map(({ dueAtMs }) => dueAtMs - this.#opts.now());
      const delayMs = Math.max(1, Math.min(MAX_WAIT_MS, ...dueInMs));
      return Effect.raceFirst(this.#changed.wait(), Effect.sleep(delayMs));
    });
  }

  #write(writes: readonly IPendingWrite[]): Effect.Effect<void> {
    const { log, topic } = this.#opts;
    return log.writeKeys(topic, writes.map((write) => this.#encode(write))).pipe(
      Effect.andThen(Effect.sync(() => this.#recordWritten(writes))),
      Effect.catchTag(
        "StoreError",
        (err) => Effect.andThen(Effect.sync(() => this.#recordFailure(err)), Effect.sleep(RETRY_DELAY_MS)),
      ),
    );
  }

  #recordWritten(writes: readonly IPendingWrite[]): void {
    for (const write of writes) {
      if (this.#pending.get(write.key) === write) this.#pending.delete(write.key);
    }
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#opts.logger.info("strikes-write-regained", { pending: this.#pending.size });
  }

  /** Logs the first of consecutive failures. The changes are written again, which has no further effect. */
  #recordFailure({ fault, message }: StoreError): void {
    if (this.#isFailing) return;
    this.#isFailing = true;
    this.#opts.logger.warn("strikes-write-failed", { fault, error: message, pending: this.#pending.size });
  }

  #evictionLoop(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        // A random interval, so that usually one instance deletes an expired strike for all.
        yield* Effect.sleep(EVICTION_INTERVAL_MS * (0.5 + this.#opts.random()));
        this.#opts.monitor.evict();
        this.#deleteExpiredPending();
      }
    });
  }
}

/** Returns undefined for what another writer has written in place of a strike, which is logged when it is read. */
function decode(value: Uint8Array): Strike | undefined {
  try {
    return fromBinary(StrikeSchema, value);
  } catch {
    return undefined;
  }
}

function encode(strike: IStrike): Uint8Array {
  return toBinary(StrikeSchema, toStrikeMessage(strike));
}
