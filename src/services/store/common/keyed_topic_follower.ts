/** Follows a keyed topic of the store and reports each key's newest value. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "../../logging/common/logger.ts";
import type { IKeyedItem, IKeyedItems, IPartitionedLog, StoreError } from "./partitioned_log.ts";
import { StoreFault } from "./partitioned_log.ts";

/** Pause after a failed call, in ms: a store that is away is asked about four times a second. */
const RETRY_PAUSE_MS = 250;

export interface IKeyedUpdate {
  readonly key: string;
  /** Undefined when the key was dropped. */
  readonly value: Uint8Array | undefined;
  /** Whether the change may stem from a time in which this instance could not read the store. */
  readonly isAfterOutage: boolean;
}

export interface IKeyedTopicFollowerOptions {
  readonly log: IPartitionedLog;
  readonly topic: string;
  /** Longest wait of one read for a change, in ms. */
  readonly waitMs: number;
  /** Pause between two reads, in ms: bounds the calls to the store when changes are frequent. */
  readonly pauseMs: number;
  readonly logger: ILogger;
}

export class KeyedTopicFollower {
  readonly #opts: IKeyedTopicFollowerOptions;
  readonly #known = new Map<string, IKeyedItem>();
  readonly #onDidUpdate = new Emitter<IKeyedUpdate>();
  readonly #onDidRegain = new Emitter<void>();
  readonly onDidUpdate: Event<IKeyedUpdate> = this.#onDidUpdate.event;
  /** The store answers again after at least one failed call. */
  readonly onDidRegain: Event<void> = this.#onDidRegain.event;
  /** Offset from which to read on; undefined when the topic must be read as a whole. */
  #next: number | undefined;
  /** Offset up to which the known values are right. */
  #end = -1;
  #failedSinceMs: number | undefined;
  #lastReadMs = 0;
  #hasRead = false;

  constructor(opts: IKeyedTopicFollowerOptions) {
    this.#opts = opts;
  }

  /** Whether the topic has been read as a whole at least once. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  /** Whether the last call to the store failed. */
  get isFailing(): boolean {
    return this.#failedSinceMs !== undefined;
  }

  /** When the topic was last read up to its end, in ms of the clock. */
  get lastReadMs(): number {
    return this.#lastReadMs;
  }

  /** The newest values and how far the topic was read; undefined before it was read as a whole. */
  snapshot(): IKeyedItems | undefined {
    if (this.#next === undefined && !this.#hasRead) return undefined;
    return { items: [...this.#known.values()], end: this.#end };
  }

  /** Takes up what a peer has read, if it has read further. */
  adopt({ items, end }: IKeyedItems): void {
    if (end <= this.#end) return;
    this.#applyAll({ items, end }, true);
    // The next read of the store begins where the peer's ended.
    if (this.#next !== undefined) this.#next = end;
  }

  /** Follows the topic until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const follow = Effect.gen({ self: this }, function* () {
      while (true) {
        const pauseMs = yield* this.#step();
        yield* Effect.sleep(pauseMs);
      }
    });
    return Effect.asVoid(Effect.forkScoped(follow));
  }

  /** One call to the store; returns the pause that follows, in ms. */
  #step(): Effect.Effect<number> {
    const call = this.#next === undefined ? this.#readAll() : this.#readOn(this.#next);
    return call.pipe(
      Effect.as(this.#opts.pauseMs),
      Effect.catchTag(
        "StoreError",
        (err) => Effect.map(Clock.currentTimeMillis, (now) => this.#afterFailure(err, now)),
      ),
    );
  }

  #afterFailure(err: StoreError, now: number): number {
    if (err.fault === StoreFault.HistoryGone) {
      this.#opts.logger.warn("store-history-gone", { topic: this.#opts.topic, oldest: err.oldest });
      this.#next = undefined;
      return 0;
    }
    this.#noteFailure(now, err.message);
    return RETRY_PAUSE_MS;
  }

  #readAll(): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { items, end } = yield* this.#opts.log.newest(this.#opts.topic);
      const isAfterOutage = yield* this.#noteSuccess();
      this.#applyAll({ items, end }, isAfterOutage);
      this.#next = end;
      if (isAfterOutage) this.#onDidRegain.fire();
    });
  }

  #readOn(from: number): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      // After a failure the first read returns at once, so that the end of an outage is noticed.
      const waitMs = this.isFailing ? 0 : this.#opts.waitMs;
      const { changes, end } = yield* this.#opts.log.readKeyed(this.#opts.topic, { from, waitMs });
      const isAfterOutage = yield* this.#noteSuccess();
      for (const change of changes) this.#apply(change, isAfterOutage);
      this.#next = changes.length > 0 ? changes[changes.length - 1].offset + 1 : Math.max(from, end);
      this.#end = Math.max(this.#end, this.#next);
      if (isAfterOutage) this.#onDidRegain.fire();
    });
  }

  #applyAll({ items, end }: IKeyedItems, isAfterOutage: boolean): void {
    const present = new Set(items.map(({ key }) => key));
    for (const { key, offset } of [...this.#known.values()]) {
      if (!present.has(key) && offset < end) {
        this.#apply({ key, value: undefined, offset: end }, isAfterOutage);
      }
    }
    for (const item of items) this.#apply(item, isAfterOutage);
    this.#end = Math.max(this.#end, end);
    this.#hasRead = true;
  }

  #apply(
    { key, value, offset }: { key: string; value: Uint8Array | undefined; offset: number },
    isAfterOutage: boolean,
  ): void {
    const known = this.#known.get(key);
    if (known !== undefined && known.offset >= offset) return;
    if (value === undefined) this.#known.delete(key);
    else this.#known.set(key, { key, value, offset });
    this.#onDidUpdate.fire({ key, value, isAfterOutage });
  }

  #noteFailure(now: number, error: string): void {
    if (this.#failedSinceMs !== undefined) return;
    this.#failedSinceMs = now;
    this.#opts.logger.warn("store-lost", { topic: this.#opts.topic, error, lastReadMs: this.#lastReadMs });
  }

  /** Returns whether calls had failed before. */
  #noteSuccess(): Effect.Effect<boolean> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      this.#lastReadMs = now;
      if (this.#failedSinceMs === undefined) return false;
      this.#opts.logger.info("store-regained", {
        topic: this.#opts.topic,
        awayMs: now - this.#failedSinceMs,
      });
      this.#failedSinceMs = undefined;
      return true;
    });
  }
}
