/**
 * The journal: batches of records on one stream of the log service, applied in stream order on every
 * instance. A record counts as durable once it has come back through the stream, so that an append
 * whose answer was lost needs no special treatment.
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
/** Time for which a question waits for a fresh read of the end, in ms: several reads that wait for news. */
const CONFIRM_PATIENCE_MS = 1500;
const RETRY_MIN_MS = 20;
const RETRY_MAX_MS = 500;
const MAX_BATCH_RECORDS = 500;

/** Where and whether a record took effect. */
export interface IAppendReceipt {
  /** False when a rule of the record's kind rejected it, the same on every instance. */
  readonly accepted: boolean;
  readonly offset: number;
}

/** A record on its way to the journal. */
export interface IPendingRecord {
  readonly receipt: Effect.Effect<IAppendReceipt>;
  /** Takes the record back. Returns false when it may already have been sent. */
  withdraw(): boolean;
}

/** A batch as it stands in the stream. */
export interface IAppliedBatch {
  readonly offset: number;
  readonly batch: Batch;
}

/** Applies a batch to the state derived from the journal; returns for each record whether it took effect. */
export type ApplyBatch = (applied: IAppliedBatch) => readonly boolean[];

export interface IJournalWriter {
  readonly instanceId: string;
  readonly incarnation: string;
}

/** Ordered, durable records shared by all instances. */
export interface IJournal {
  append(record: Record): IPendingRecord;
  /**
   * Appends records that depend on the state at their place in the stream. They are made when their
   * batch is, and stand first in it, so that they reflect all that goes before them.
   */
  appendCurrent(make: () => readonly Record[]): Effect.Effect<void>;
  /**
   * Waits until a read of the stream's end that began at `at` or later has come back. Returns false when
   * the log service does not give one in time.
   */
  awaitConfirmed(at: number): Effect.Effect<boolean>;
  /** Time of the last confirmed read of the stream's end, in ms of the clock; 0 before the first. */
  readonly confirmedAt: number;
  /** Time since which the log service has been failing, in ms of the clock, or undefined. */
  readonly unavailableSince: number | undefined;
  /** Whether the stream has been read to its end once. */
  readonly caughtUp: Effect.Effect<void>;
  readonly onDidApply: Event<IAppliedBatch>;
  /** The log dropped entries that this instance had not read. */
  readonly onDidLoseHistory: Event<void>;
}

interface IQueuedRecord {
  readonly record: Record;
  readonly done: Deferred.Deferred<IAppendReceipt>;
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
  /** Shortest time between two appends of this instance, in ms. */
  readonly appendIntervalMs: () => number;
}

export class Journal implements IJournal {
  readonly #opts: IJournalOptions;
  readonly #queue: IQueuedRecord[] = [];
  readonly #makers: { readonly make: () => readonly Record[]; readonly done: Deferred.Deferred<void> }[] = [];
  readonly #work = new Signal();
  readonly #readDone = new Signal();
  readonly #caughtUp = Deferred.makeUnsafe<void>();
  readonly #lastSequences = new Map<string, number>();
  readonly #onDidApply = new Emitter<IAppliedBatch>();
  readonly #onDidLoseHistory = new Emitter<void>();
  readonly onDidApply = this.#onDidApply.event;
  readonly onDidLoseHistory = this.#onDidLoseHistory.event;
  readonly caughtUp = Deferred.await(this.#caughtUp);
  confirmedAt = 0;
  unavailableSince: number | undefined;
  #inFlight: IBatchInFlight | undefined;
  #sequence = 0;
  #next = 0;
  #lastSentAt = 0;
  /** Appends sent, repeats included. */
  appendCount = 0;

  constructor(opts: IJournalOptions) {
    this.#opts = opts;
  }

  /** Starts reading and writing until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.forkScoped(this.#readForever());
      yield* Effect.forkScoped(this.#writeForever());
    });
  }

  /** Records that wait to be sent. */
  get backlog(): number {
    return this.#queue.length + (this.#inFlight?.queued.length ?? 0);
  }

  append(record: Record): IPendingRecord {
    const queued = toQueued(record);
    this.#queue.push(queued);
    this.#work.notify();
    return { receipt: Deferred.await(queued.done), withdraw: () => this.#withdraw(queued) };
  }

  appendCurrent(make: () => readonly Record[]): Effect.Effect<void> {
    return Effect.suspend(() => {
      const done = Deferred.makeUnsafe<void>();
      this.#makers.push({ make, done });
      this.#work.notify();
      return Deferred.await(done);
    });
  }

  awaitConfirmed(at: number): Effect.Effect<boolean> {
    const wait = Effect.gen({ self: this }, function* () {
      while (this.confirmedAt < at) yield* this.#readDone.wait();
    });
    return Effect.map(Effect.timeoutOption(wait, CONFIRM_PATIENCE_MS), Option.isSome);
  }

  #withdraw(queued: IQueuedRecord): boolean {
    const index = this.#queue.indexOf(queued);
    if (index < 0) return false;
    this.#queue.splice(index, 1);
    return true;
  }

  #readForever(): Effect.Effect<never> {
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
      const sentAt = yield* Clock.currentTimeMillis;
      const read = this.#opts.log.read(JOURNAL_STREAM, {
        from: this.#next,
        limit: READ_LIMIT,
        waitMs: READ_WAIT_MS,
      });
      const page = yield* Effect.catch(read, () => Effect.succeed(undefined));
      if (page === undefined) {
        this.unavailableSince ??= sentAt;
        return false;
      }
      if (page.oldest > this.#next && this.#next > 0) this.#onDidLoseHistory.fire();
      for (const entry of page.entries) this.applyEntry(entry);
      this.#next = page.next;
      this.unavailableSince = undefined;
      if (page.entries.length < READ_LIMIT) {
        this.confirmedAt = sentAt;
        Deferred.doneUnsafe(this.#caughtUp, Effect.void);
      }
      this.#readDone.notify();
      return true;
    });
  }

  /** Applies one entry of the stream; repeated batches are dropped. */
  applyEntry(entry: ILogEntry): void {
    const batch = fromBinary(BatchSchema, entry.data);
    const writer = `${batch.writer}/${batch.incarnation}`;
    if (batch.sequence <= (this.#lastSequences.get(writer) ?? 0)) return;
    this.#lastSequences.set(writer, batch.sequence);
    const own = this.#ownBatch(batch);
    // The records that were appended here are passed on as the same objects, so that they can be told apart.
    if (own !== undefined) batch.records = own.queued.map(({ record }) => record);
    const applied = { offset: entry.offset, batch };
    const accepted = this.#opts.apply(applied);
    if (own !== undefined) settle(own, { offset: entry.offset, accepted });
    this.#onDidApply.fire(applied);
  }

  #ownBatch(batch: Batch): IBatchInFlight | undefined {
    const { instanceId, incarnation } = this.#opts.writer;
    if (batch.writer !== instanceId || batch.incarnation !== incarnation) return undefined;
    return this.#inFlight?.sequence === batch.sequence ? this.#inFlight : undefined;
  }

  #writeForever(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      yield* this.caughtUp;
      while (true) {
        if (this.#queue.length === 0 && this.#makers.length === 0) yield* this.#work.wait();
        yield* this.#awaitShare();
        const maker = this.#makers.shift();
        const current = (maker?.make() ?? []).map(toQueued);
        const queued = [...current, ...this.#queue.splice(0, MAX_BATCH_RECORDS)];
        if (queued.length > 0) yield* this.#writeBatch(queued);
        if (maker !== undefined) Deferred.doneUnsafe(maker.done, Effect.void);
      }
    });
  }

  /** Keeps the instance within its share of the appends; the first record after a pause goes at once. */
  #awaitShare(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const waitMs = this.#lastSentAt + this.#opts.appendIntervalMs() - now;
      if (waitMs > 0) yield* Effect.sleep(waitMs);
      this.#lastSentAt = yield* Clock.currentTimeMillis;
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
      yield* Effect.raceFirst(this.#sendForever(data), Deferred.await(applied));
      this.#inFlight = undefined;
    });
  }

  /** Sends a batch again and again; readers drop repeats. Ends by interruption, once the batch was read back. */
  #sendForever(data: Uint8Array): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        this.appendCount += 1;
        const append = this.#opts.log.append(JOURNAL_STREAM, data);
        const offset = yield* Effect.catch(append, () => Effect.succeed(undefined));
        if (offset === undefined) this.unavailableSince ??= yield* Clock.currentTimeMillis;
        // A read that began after the append shows whether it took effect.
        yield* this.#readDone.wait();
        yield* this.#readDone.wait();
        if (offset !== undefined) yield* this.#awaitOffset(offset);
      }
    });
  }

  #awaitOffset(offset: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#next <= offset) yield* this.#readDone.wait();
    });
  }
}

function toQueued(record: Record): IQueuedRecord {
  return { record, done: Deferred.makeUnsafe<IAppendReceipt>() };
}

function settle(batch: IBatchInFlight, result: { offset: number; accepted: readonly boolean[] }): void {
  batch.queued.forEach(({ done }, index) => {
    Deferred.doneUnsafe(done, Effect.succeed({ accepted: result.accepted[index], offset: result.offset }));
  });
  Deferred.doneUnsafe(batch.applied, Effect.void);
}
