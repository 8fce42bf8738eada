/**
 * Replicated journal: batches of records on one stream of the log service, applied in stream order on
 * every instance. A record counts as durable once it has been read back from the stream, so that an
 * append whose response was lost needs no special handling.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Clock, Deferred, Effect, Option } from "effect";
import type { Batch, Record } from "../../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { BatchSchema } from "../../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import { Signal } from "../../../base/common/signal.ts";
import type { ILogEntry, ILogService } from "../../log/common/log_service.ts";
import { JOURNAL_STREAM } from "../../log/common/log_service.ts";

const READ_LIMIT = 500;
const READ_WAIT_MS = 200;
/** Longest wait for a read of the stream's end, in ms: several long-polling reads. */
const READ_TO_END_TIMEOUT_MS = 1500;
const RETRY_MIN_MS = 20;
const RETRY_MAX_MS = 500;
const MAX_BATCH_RECORDS = 500;

/** Result of a record that has been read back from the stream. */
export interface IAppendReceipt {
  /** False when a rule for the record's kind rejected it. Every instance gets the same result. */
  readonly accepted: boolean;
  readonly offset: number;
}

/** A record that has been queued for the journal. */
export interface IPendingRecord {
  readonly receipt: Effect.Effect<IAppendReceipt>;
  /** Removes the record from the queue. Returns false when it may already have been sent. */
  cancel(): boolean;
}

/** A batch with its position in the stream. */
export interface IAppliedBatch {
  readonly offset: number;
  readonly batch: Batch;
}

/** Applies a batch to the state derived from the journal. Returns for each record whether it took effect. */
export type ApplyBatch = (applied: IAppliedBatch) => readonly boolean[];

export interface IJournalWriter {
  readonly instanceId: string;
  readonly incarnation: string;
}

/** Totally ordered, durable records shared by all instances. */
export interface IJournal {
  append(record: Record): IPendingRecord;
  /**
   * Appends records that depend on the state at their position in the stream. They are built together
   * with their batch and placed first in it, so that they reflect everything before them.
   */
  appendDeferred(build: () => readonly Record[]): Effect.Effect<void>;
  /**
   * Waits until a read that began at `sinceMs` or later has reached the stream's end. Returns false if
   * none does within the time limit.
   */
  awaitReadToEnd(sinceMs: number): Effect.Effect<boolean>;
  /** Start of the last read that reached the stream's end, in ms of the clock; 0 before the first. */
  readonly lastReadToEndAtMs: number;
  /** Time since which calls to the log service have failed, in ms of the clock; undefined while they succeed. */
  readonly unavailableSinceMs: number | undefined;
  /** Completes when the stream has been read to its end for the first time. */
  readonly caughtUp: Effect.Effect<void>;
  readonly onDidApply: Event<IAppliedBatch>;
  /** Fires when the log has deleted entries that this instance had not read. */
  readonly onDidMissEntries: Event<void>;
}

interface IQueuedRecord {
  readonly record: Record;
  readonly done: Deferred.Deferred<IAppendReceipt>;
}

interface IDeferredAppend {
  readonly build: () => readonly Record[];
  readonly done: Deferred.Deferred<void>;
}

interface IBatchInFlight {
  readonly sequence: number;
  readonly queued: readonly IQueuedRecord[];
  readonly applied: Deferred.Deferred<void>;
}

export interface IJournalOptions {
  readonly log: ILogService;
  readonly writer: IJournalWriter;
  readonly apply: ApplyBatch;
  /** Minimum interval between two appends of this instance, in ms. */
  readonly appendIntervalMs: () => number;
}

export class Journal implements IJournal {
  readonly #opts: IJournalOptions;
  readonly #queue: IQueuedRecord[] = [];
  readonly #deferredAppends: IDeferredAppend[] = [];
  readonly #workAvailable = new Signal();
  readonly #readCompleted = new Signal();
  readonly #caughtUp = Deferred.makeUnsafe<void>();
  readonly #lastSequences = new Map<string, number>();
  readonly #onDidApply = new Emitter<IAppliedBatch>();
  readonly #onDidMissEntries = new Emitter<void>();
  readonly onDidApply = this.#onDidApply.event;
  readonly onDidMissEntries = this.#onDidMissEntries.event;
  readonly caughtUp = Deferred.await(this.#caughtUp);
  lastReadToEndAtMs = 0;
  unavailableSinceMs: number | undefined;
  #inFlight: IBatchInFlight | undefined;
  #sequence = 0;
  #nextOffset = 0;
  #lastSentAtMs = 0;
  /** Number of appends sent, retries included. */
  appendCount = 0;

  constructor(opts: IJournalOptions) {
    this.#opts = opts;
  }

  /** Starts reading and writing until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.forkScoped(this.#readLoop());
      yield* Effect.forkScoped(this.#writeLoop());
    });
  }

  /** Number of records that are queued or have not been read back yet. */
  get backlog(): number {
    return this.#queue.length + (this.#inFlight?.queued.length ?? 0);
  }

  append(record: Record): IPendingRecord {
    const queued = toQueued(record);
    this.#queue.push(queued);
    this.#workAvailable.notify();
    return { receipt: Deferred.await(queued.done), cancel: () => this.#cancel(queued) };
  }

  appendDeferred(build: () => readonly Record[]): Effect.Effect<void> {
    return Effect.suspend(() => {
      const done = Deferred.makeUnsafe<void>();
      this.#deferredAppends.push({ build, done });
      this.#workAvailable.notify();
      return Deferred.await(done);
    });
  }

  awaitReadToEnd(sinceMs: number): Effect.Effect<boolean> {
    const wait = Effect.gen({ self: this }, function* () {
      while (this.lastReadToEndAtMs < sinceMs) yield* this.#readCompleted.wait();
    });
    return Effect.map(Effect.timeoutOption(wait, READ_TO_END_TIMEOUT_MS), Option.isSome);
  }

  #cancel(queued: IQueuedRecord): boolean {
    const index = this.#queue.indexOf(queued);
    if (index < 0) return false;
    this.#queue.splice(index, 1);
    return true;
  }

  #readLoop(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      let retryMs = RETRY_MIN_MS;
      while (true) {
        const ok = yield* this.#readOnce();
        if (ok) {
          retryMs = RETRY_MIN_MS;
          continue;
        }
        yield* Effect.sleep(retryMs);
        retryMs = Math.min(retryMs * 2, RETRY_MAX_MS);
      }
    });
  }

  #readOnce(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const sentAtMs = yield* Clock.currentTimeMillis;
      const read = this.#opts.log.read(JOURNAL_STREAM, {
        from: this.#nextOffset,
        limit: READ_LIMIT,
        waitMs: READ_WAIT_MS,
      });
      const page = yield* Effect.catch(read, () => Effect.succeed(undefined));
      if (page === undefined) {
        this.unavailableSinceMs ??= sentAtMs;
        return false;
      }
      if (page.oldest > this.#nextOffset && this.#nextOffset > 0) this.#onDidMissEntries.fire();
      for (const entry of page.entries) this.applyEntry(entry);
      this.#nextOffset = page.next;
      this.unavailableSinceMs = undefined;
      if (page.entries.length < READ_LIMIT) {
        this.lastReadToEndAtMs = sentAtMs;
        Deferred.doneUnsafe(this.#caughtUp, Effect.void);
      }
      this.#readCompleted.notify();
      return true;
    });
  }

  /** Applies one entry of the stream. Batches already applied are ignored. */
  applyEntry(entry: ILogEntry): void {
    const batch = fromBinary(BatchSchema, entry.data);
    const writer = `${batch.writer}/${batch.incarnation}`;
    if (batch.sequence <= (this.#lastSequences.get(writer) ?? 0)) return;
    this.#lastSequences.set(writer, batch.sequence);
    const own = this.#ownBatch(batch);
    // Records appended by this instance keep their object identity, so that consumers can recognize them.
    if (own !== undefined) batch.records = own.queued.map(({ record }) => record);
    const applied = { offset: entry.offset, batch };
    const accepted = this.#opts.apply(applied);
    if (own !== undefined) resolveReceipts(own, { offset: entry.offset, accepted });
    this.#onDidApply.fire(applied);
  }

  #ownBatch(batch: Batch): IBatchInFlight | undefined {
    const { instanceId, incarnation } = this.#opts.writer;
    if (batch.writer !== instanceId || batch.incarnation !== incarnation) return undefined;
    return this.#inFlight?.sequence === batch.sequence ? this.#inFlight : undefined;
  }

  #writeLoop(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      yield* this.caughtUp;
      while (true) {
        if (this.#queue.length === 0 && this.#deferredAppends.length === 0) yield* this.#workAvailable.wait();
        yield* this.#awaitAppendInterval();
        const deferredAppend = this.#deferredAppends.shift();
        const built = (deferredAppend?.build() ?? []).map(toQueued);
        const queued = [...built, ...this.#queue.splice(0, MAX_BATCH_RECORDS)];
        if (queued.length > 0) yield* this.#writeBatch(queued);
        if (deferredAppend !== undefined) Deferred.doneUnsafe(deferredAppend.done, Effect.void);
      }
    });
  }

  /** Limits the rate of this instance's appends. The first record after an idle period is sent immediately. */
  #awaitAppendInterval(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const waitMs = this.#lastSentAtMs + this.#opts.appendIntervalMs() - now;
      if (waitMs > 0) yield* Effect.sleep(waitMs);
      this.#lastSentAtMs = yield* Clock.currentTimeMillis;
    });
  }

  #writeBatch(queued: readonly IQueuedRecord[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#sequence += 1;
      const sequence = this.#sequence;
      const applied = Deferred.makeUnsafe<void>();
      this.#inFlight = { sequence, queued, applied };
      const records = queued.map(({ record }) => record);
      const { instanceId, incarnation } = this.#opts.writer;
      const batch = create(BatchSchema, { writer: instanceId, incarnation, sequence, records });
      const data = toBinary(BatchSchema, batch);
      yield* Effect.raceFirst(this.#appendUntilInterrupted(data), Deferred.await(applied));
      this.#inFlight = undefined;
    });
  }

  /**
   * Appends a batch repeatedly; readers ignore duplicates. Interrupted once the batch has been read back.
   */
  #appendUntilInterrupted(data: Uint8Array): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        this.appendCount += 1;
        const append = this.#opts.log.append(JOURNAL_STREAM, data);
        const offset = yield* Effect.catch(append, () => Effect.succeed(undefined));
        if (offset === undefined) this.unavailableSinceMs ??= yield* Clock.currentTimeMillis;
        // The first read to complete may have begun before the append; the second shows whether it took effect.
        yield* this.#readCompleted.wait();
        yield* this.#readCompleted.wait();
        if (offset !== undefined) yield* this.#awaitOffset(offset);
      }
    });
  }

  #awaitOffset(offset: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#nextOffset <= offset) yield* this.#readCompleted.wait();
    });
  }
}

function toQueued(record: Record): IQueuedRecord {
  return { record, done: Deferred.makeUnsafe<IAppendReceipt>() };
}

function resolveReceipts(
  batch: IBatchInFlight,
  result: { offset: number; accepted: readonly boolean[] },
): void {
  batch.queued.forEach(({ done }, index) => {
    Deferred.doneUnsafe(done, Effect.succeed({ accepted: result.accepted[index], offset: result.offset }));
  });
  Deferred.doneUnsafe(batch.applied, Effect.void);
}
