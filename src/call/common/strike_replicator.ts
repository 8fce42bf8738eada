/** Keeps the strikes of all instances in a keyed topic of the store, so that they survive the instances. */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Effect } from "effect";
import { toError } from "../../base/common/errors.ts";
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

interface IPendingWrite extends IKeyedWrite {
  readonly dueAtMs: number;
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
    if (value === undefined) return isPending ? undefined : monitor.mergeWithdrawal(key);
    try {
      const strike = fromBinary(StrikeSchema, value);
      if (!isUsableStrike(strike, now())) {
        return logger.warn("strike-unusable", { key, bytes: value.length });
      }
      if (isPending) return void monitor.merge({ strike, isWithdrawn: false, isPending });
      if (monitor.isObsolete(strike)) this.#delete(key);
      else monitor.merge({ strike, isWithdrawn: false, isPending: false });
    } catch (err) {
      logger.warn("strike-unreadable", { key, error: toError(err).message });
    }
  }

  #enqueue({ strike, isWithdrawn }: IStrikeChange): void {
    const key = strikeKey(strike);
    if (!this.#canStore(key)) return;
    if (isWithdrawn) return this.#delete(key);
    const delayMs = strike.level === 1 ? FIRST_STRIKE_DELAY_MS : STRIKE_DELAY_MS;
    this.#pending.set(key, { key, value: encode(strike), dueAtMs: this.#opts.now() + delayMs });
    this.#changed.notify();
  }

  /** Whether the store can hold a strike. One that it cannot hold, because of its server's long id, spreads by report only. */
  #canStore(key: string): boolean {
    const isStorable = isValidKey(key);
    if (!isStorable) this.#opts.logger.warn("strike-unstorable", { key });
    return isStorable;
  }

  #delete(key: string): void {
    // The store would refuse the whole call; only bytes that are not UTF-8 are read as such a key.
    if (!isValidKey(key)) return;
    // A strike that has not been written needs no deletion.
    if (this.#pending.get(key)?.value !== undefined) {
      this.#pending.delete(key);
      return;
    }
    this.#pending.set(key, { key, value: undefined, dueAtMs: this.#opts.now() + FIRST_STRIKE_DELAY_MS });
    this.#changed.notify();
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
    const written = new Map<string, number>();
    return repeatWhenNeeded({
      intervalMs: AT_RISK_INTERVAL_MS,
      awaitWork: this.#opts.monitor.awaitAttempts,
      work: Effect.sync(() => this.#enqueueAtRisk(written)),
    });
  }

  /** `written` contains the time at which each pending strike was enqueued, by its key. */
  #enqueueAtRisk(written: Map<string, number>): void {
    const now = this.#opts.now();
    for (const [key, atMs] of written) if (now - atMs > PENDING_EXPIRY_MS) written.delete(key);
    for (const strike of this.#opts.monitor.reportAtRisk()) {
      const key = `${PENDING_KEY_PREFIX}${strikeKey(strike)}`;
      if (written.has(key) || !this.#canStore(key)) continue;
      written.set(key, now);
      this.#pending.set(key, { key, value: encode(strike), dueAtMs: now });
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

  /** Returns the changes to write now. Strikes that another instance has withdrawn meanwhile are dropped. */
  #takeDue(): IPendingWrite[] {
    const now = this.#opts.now();
    for (const { key, value } of this.#pending.values()) {
      const isObsolete = !key.startsWith(PENDING_KEY_PREFIX) && !this.#opts.monitor.hasStrike(key);
      if (value !== undefined && isObsolete) this.#pending.delete(key);
    }
    return [...this.#pending.values()].filter(({ dueAtMs }) => dueAtMs <= now).slice(0, MAX_BATCH);
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
    return log.writeKeys(topic, writes).pipe(
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

function encode(strike: IStrike): Uint8Array {
  return toBinary(StrikeSchema, toStrikeMessage(strike));
}
