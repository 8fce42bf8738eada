/** Follows a keyed topic of the store and reports changes to the latest value of each key. */
import type { Scope } from "effect";
import { Clock, Effect, Latch } from "effect";
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "../../logging/common/logger.ts";
import { describeDefect, supervise } from "../../logging/common/supervision.ts";
import type {
  IKeyedChange,
  IKeyedItem,
  IKeyedItems,
  IPartitionedLog,
  StoreError,
} from "./partitioned_log.ts";
import { StoreFault } from "./partitioned_log.ts";

/** Delay after a failed call, in ms: about four attempts a second while the store is unavailable. */
const RETRY_DELAY_MS = 250;
/** Longest part of a key that is logged. */
const MAX_LOGGED_KEY_CHARS = 64;

export interface IKeyedUpdate {
  readonly key: string;
  /** Undefined when the key was deleted. */
  readonly value: Uint8Array | undefined;
  /**
   * Time in ms for which this instance had not been able to read the store before it read the change; 0 if the last
   * call succeeded, infinite if the change comes from a peer.
   */
  readonly outageMs: number;
}

export interface IKeyedTopicFollowerOptions {
  readonly log: IPartitionedLog;
  readonly topic: string;
  /** Maximum time that one read waits for a change, in ms. */
  readonly waitMs: number;
  /** Delay between two reads, in ms; limits the rate of calls to the store when changes are frequent. */
  readonly pauseMs: number;
  readonly logger: ILogger;
  /**
   * Whether a value can be applied. If given, changes that a later usable one of the same read replaces are not reported,
   * because applying a value is expensive.
   */
  readonly isUsable?: (change: IKeyedChange) => boolean;
  /** Removes secrets from the values that are kept and passed to peers; listeners receive the values as read. */
  readonly redact?: (value: Uint8Array) => Uint8Array;
}

export class KeyedTopicFollower {
  readonly #opts: IKeyedTopicFollowerOptions;
  readonly #items = new Map<string, IKeyedItem>();
  readonly #onDidUpdate = new Emitter<IKeyedUpdate>();
  readonly #onDidRegain = new Emitter<void>();
  readonly onDidUpdate: Event<IKeyedUpdate> = this.#onDidUpdate.event;
  /** Fires when a call succeeds after at least one has failed. */
  readonly onDidRegain: Event<void> = this.#onDidRegain.event;
  /** Offset from which the next read continues; undefined when a full snapshot must be read. */
  #nextOffset: number | undefined;
  /** Offset up to which the items are current. */
  #endOffset = -1;
  #failedSinceMs: number | undefined;
  /** Open while the topic is not being read. */
  readonly #unread = Latch.makeUnsafe(true);
  #lastReadMs = 0;
  #hasRead = false;

  constructor(opts: IKeyedTopicFollowerOptions) {
    this.#opts = opts;
  }

  /** Whether a full snapshot of the topic has been received at least once. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  /** Whether the last call to the store failed. */
  get isFailing(): boolean {
    return this.#failedSinceMs !== undefined;
  }

  /** Waits until the topic is not being read: before the first successful call and after one that failed. */
  get awaitLoss(): Effect.Effect<void> {
    return this.#unread.await;
  }

  /** Time of the last successful call, in ms of the clock; 0 before the first. */
  get lastReadMs(): number {
    return this.#lastReadMs;
  }

  /** The latest values and the offset up to which they are current; undefined before the first snapshot. */
  snapshot(): IKeyedItems | undefined {
    if (this.#nextOffset === undefined && !this.#hasRead) return undefined;
    return { items: [...this.#items.values()], end: this.#endOffset };
  }

  /** The latest value of a key; undefined if it has none, or is not known yet. */
  valueOf(key: string): Uint8Array | undefined {
    return this.#items.get(key)?.value;
  }

  /** Applies a peer's snapshot if it is current up to a later offset than this one. */
  updateIfNewer({ items, end }: IKeyedItems): void {
    if (end <= this.#endOffset) return;
    this.#applyAll({ items, end }, Infinity);
    // The next read of the store continues where the peer's snapshot ends.
    if (this.#nextOffset !== undefined) this.#nextOffset = end;
  }

  /** Follows the topic until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const follow = Effect.gen({ self: this }, function* () {
      while (true) {
        const delayMs = yield* this.#poll();
        yield* Effect.sleep(delayMs);
      }
    });
    const { topic, logger } = this.#opts;
    return Effect.asVoid(Effect.forkScoped(supervise(follow, { component: `follower of ${topic}`, logger })));
  }

  /** Makes one call to the store; returns the delay before the next one, in ms. */
  #poll(): Effect.Effect<number> {
    const call = this.#nextOffset === undefined ? this.#readSnapshot() : this.#readChanges(this.#nextOffset);
    return call.pipe(
      Effect.as(this.#opts.pauseMs),
      Effect.catchTag(
        "StoreError",
        (err) => Effect.map(Clock.currentTimeMillis, (now) => this.#afterFailure(err, now)),
      ),
    );
  }

  #afterFailure(err: StoreError, now: number): number {
    if (err.fault === StoreFault.HistoryTruncated) {
      this.#opts.logger.warn("store-history-gone", { topic: this.#opts.topic, oldest: err.oldest });
      this.#nextOffset = undefined;
      return 0;
    }
    this.#recordFailure(now, err.message);
    return RETRY_DELAY_MS;
  }

  #readSnapshot(): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { items, end } = yield* this.#opts.log.readLatestValues(this.#opts.topic);
      const outageMs = yield* this.#recordSuccess();
      // A peer's snapshot may have been applied meanwhile. What it deleted must not come back.
      if (end >= this.#endOffset) this.#applyAll({ items, end }, outageMs);
      this.#nextOffset = Math.max(end, this.#endOffset);
      if (outageMs > 0) this.#onDidRegain.fire();
    });
  }

  #readChanges(from: number): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      // After a failure the read does not wait for changes, so that the end of an outage is detected promptly.
      const waitMs = this.isFailing ? 0 : this.#opts.waitMs;
      const { changes, end } = yield* this.#opts.log.readKeyChanges(this.#opts.topic, { from, waitMs });
      const outageMs = yield* this.#recordSuccess();
      const { isUsable } = this.#opts;
      if (end < from) this.#forgetOffsets(end);
      else {
        // A peer's snapshot may have been applied meanwhile.
        const newer = changes.filter(({ offset }) => offset >= this.#endOffset);
        const reported = isUsable === undefined ? newer : withoutSuperseded(newer, isUsable);
        for (const change of reported) this.#apply(change, outageMs);
        const next = changes.length > 0 ? changes[changes.length - 1].offset + 1 : end;
        this.#endOffset = Math.max(this.#endOffset, next);
        this.#nextOffset = this.#endOffset;
      }
      if (outageMs > 0) this.#onDidRegain.fire();
    });
  }

  /** Has all values read anew: the store never ends before what it has reported, so that a peer's offset was wrong. */
  #forgetOffsets(end: number): void {
    const { topic, logger } = this.#opts;
    logger.warn("store-offset-unusable", { topic, offset: this.#endOffset, end });
    this.#nextOffset = undefined;
    this.#endOffset = -1;
    for (const [key, item] of this.#items) this.#items.set(key, { ...item, offset: -1 });
  }

  #applyAll({ items, end }: IKeyedItems, outageMs: number): void {
    const present = new Set(items.map(({ key }) => key));
    for (const { key, offset } of [...this.#items.values()]) {
      if (!present.has(key) && offset < end) {
        this.#apply({ key, value: undefined, offset: end }, outageMs);
      }
    }
    for (const item of items) this.#apply(item, outageMs);
    this.#endOffset = Math.max(this.#endOffset, end);
    this.#hasRead = true;
  }

  #apply(
    { key, value, offset }: { key: string; value: Uint8Array | undefined; offset: number },
    outageMs: number,
  ): void {
    const current = this.#items.get(key);
    if (current !== undefined && current.offset >= offset) return;
    if (value === undefined) this.#items.delete(key);
    else this.#items.set(key, { key, value: this.#redact(key, value), offset });
    // A change that a listener cannot handle must not hold up those after it.
    this.#guard(key, () => this.#onDidUpdate.fire({ key, value, outageMs }));
  }

  /** Returns an empty value if the secrets cannot be removed. */
  #redact(key: string, value: Uint8Array): Uint8Array {
    const { redact } = this.#opts;
    return redact === undefined ? value : this.#guard(key, () => redact(value)) ?? new Uint8Array();
  }

  #guard<T>(key: string, handle: () => T): T | undefined {
    try {
      return handle();
    } catch (err) {
      const { topic, logger } = this.#opts;
      logger.error("store-change-failed", {
        topic,
        key: key.slice(0, MAX_LOGGED_KEY_CHARS),
        error: describeDefect(err),
      });
      return undefined;
    }
  }

  #recordFailure(now: number, error: string): void {
    if (this.#failedSinceMs !== undefined) return;
    this.#failedSinceMs = now;
    Latch.openUnsafe(this.#unread);
    this.#opts.logger.warn("store-lost", { topic: this.#opts.topic, error, lastReadMs: this.#lastReadMs });
  }

  /** Records a successful call; returns the time since the last one in ms if calls have failed since, else 0. */
  #recordSuccess(): Effect.Effect<number> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const unreadMs = Math.max(1, now - this.#lastReadMs);
      this.#lastReadMs = now;
      Latch.closeUnsafe(this.#unread);
      if (this.#failedSinceMs === undefined) return 0;
      this.#opts.logger.info("store-regained", {
        topic: this.#opts.topic,
        awayMs: now - this.#failedSinceMs,
      });
      this.#failedSinceMs = undefined;
      return unreadMs;
    });
  }
}

/** Removes the changes that a later usable one of the same key replaces. */
function withoutSuperseded(
  changes: readonly IKeyedChange[],
  isUsable: (change: IKeyedChange) => boolean,
): IKeyedChange[] {
  if (changes.length < 2) return [...changes];
  const replaced = new Set<string>();
  const reported: IKeyedChange[] = [];
  for (const change of changes.toReversed()) {
    if (replaced.has(change.key)) continue;
    reported.push(change);
    if (isUsable(change)) replaced.add(change.key);
  }
  return reported.reverse();
}
