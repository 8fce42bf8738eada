/** The log of one slice: an owner claims it, then writes with conditional appends only. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Clock, Deferred, Effect } from "effect";
import type { KeptTurn, SliceRecord } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  SliceClaimSchema,
  SliceRecordSchema,
  SliceReleaseSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { Signal } from "../../base/common/signal.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import { describeDefect } from "../../services/logging/common/supervision.ts";
import type { IPartition, IPartitionedLog } from "../../services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../services/store/common/partitioned_log.ts";
import { estimateEventBytes, MAX_APPEND_BYTES, splitIntoAppends } from "./append_batching.ts";
import type { SliceEvent } from "./slice_state.ts";
import { SliceState, toSpendingEvents, toTurnEvents } from "./slice_state.ts";
import type { ISpendingRecord, IUncleanEnd } from "./spending_ledger.ts";
import { UNRECORDED_PERCENT } from "./spending_ledger.ts";

/** Delay after a failed call: about seven calls a second during a store outage. */
const RETRY_DELAY_MS = 150;
/** Batching delay of spending records: limits a slice to about two such appends a second. */
const SPENDING_APPEND_DELAY_MS = 500;
/** Size of a page of records, which is halved when a page does not arrive in time: all slices are read at once after a loss of all instances. */
const MAX_PAGE_BYTES = 1024 * 1024;
/** Largest size of a record in the store. */
const MIN_PAGE_BYTES = 256 * 1024;
/** Interval between checkpoints: bounds the log's size and what a new owner has to read. */
const CHECKPOINT_INTERVAL_MS = 120_000;

/** Events to append along with the spending records. */
interface IAppend {
  readonly events: readonly SliceEvent[];
  /** Turn that the events encode. */
  readonly turn?: KeptTurn;
}

/** An append that a caller waits for. */
interface IPending extends IAppend {
  /** Completes with true once the events are in the log, with false when the ownership ended before. */
  readonly done: Deferred.Deferred<boolean>;
}

/** State of a slice's ownership. */
export enum SliceJournalState {
  /** Reading the slice's records and appending a claim. */
  Opening = "opening",
  Open = "open",
  /** Another instance has claimed the slice, or this one has released it. */
  Closed = "closed",
}

/** Ownership of a slice by another instance. */
export interface ISliceOwnership {
  readonly slice: number;
  readonly writer: bigint;
  /** Peer address of the owner. */
  readonly holder: string;
}

/**
 * Requests the handover of a slice from its former owner. Returns the spending records of that owner;
 * undefined when it does not respond or no longer has that ownership.
 */
export type AskRelease = (
  ownership: ISliceOwnership,
) => Effect.Effect<readonly ISpendingRecord[] | undefined>;

/** Progress of reading a partition. */
interface IReadCursor {
  /** Offset of the next record. */
  next: number;
  records: number;
  bytes: number;
}

/** Dependencies and identity of a {@link SliceJournal}. */
export interface ISliceJournalOptions {
  readonly slice: number;
  readonly partition: IPartition;
  readonly instance: string;
  /** Address at which peers reach this instance. */
  readonly address: string;
  readonly askRelease: AskRelease;
  /** Random id of this ownership. */
  readonly writer: bigint;
  readonly log: IPartitionedLog;
  readonly logger: ILogger;
  readonly metrics?: Metrics;
}

/**
 * Log of a slice under one ownership. Two instances that both consider themselves owner cannot both write:
 * each append is conditional on the partition's end offset, and a newer claim moves that offset.
 */
export class SliceJournal {
  readonly #opts: ISliceJournalOptions;
  readonly #wake = new Signal();
  readonly #opened = Deferred.makeUnsafe<boolean>();
  #pending: IPending[] = [];
  /** Appends that are being written. */
  #appending: readonly IPending[] = [];
  readonly #slice = new SliceState();
  #state = SliceJournalState.Opening;
  #end = 0;
  #appendNumber = 0;
  #hasWaiters = false;
  #isStalled = false;
  #checkpointAtMs = 0;
  #isReleasing = false;
  /** Whether the former owner may have handed the slice over, or a claim may be in the log. */
  #hasTakenOver = false;
  #hasFailedToOpen = false;
  /** Number of attempts to open the slice. */
  #attempts = 0;
  #pageBytes = MAX_PAGE_BYTES;
  /** Progress of the recovery, which further attempts to open the slice continue. */
  readonly #recovery: IReadCursor = { next: 0, records: 0, bytes: 0 };
  /** Spending records received from the former owner; newer than the log's. */
  #formerSpending: readonly ISpendingRecord[] = [];
  /** Former ownership whose handover was requested, and the spending records received, if any. */
  #handoverRequest:
    | { readonly writer: bigint; readonly granted: readonly ISpendingRecord[] | undefined }
    | undefined;

  constructor(opts: ISliceJournalOptions) {
    this.#opts = opts;
  }

  get state(): SliceJournalState {
    return this.#state;
  }

  get writer(): bigint {
    return this.#opts.writer;
  }

  /** Whether a release has been enqueued; turns granted from now on would not be covered by it. */
  get isReleasing(): boolean {
    return this.#isReleasing;
  }

  /** Whether the last append failed, so that further appends wait until the store is available again. */
  get isStalled(): boolean {
    return this.#isStalled;
  }

  /** State of the slice; complete while the journal is open. */
  get slice(): SliceState {
    return this.#slice;
  }

  /** Recovers and claims the slice, then appends until the journal is closed or the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const work = Effect.andThen(this.#open(), this.#appendLoop());
    // A closed journal is opened again from the log; one whose fiber has ended would hold its slice for ever.
    return Effect.asVoid(Effect.forkScoped(
      Effect.catchDefect(work, (defect) => Effect.sync(() => this.#closeAfterDefect(defect))),
    ));
  }

  #closeAfterDefect(defect: unknown): void {
    const { slice, writer, logger } = this.#opts;
    logger.error("slice-failed", { slice, writer: String(writer), error: describeDefect(defect) });
    this.close();
  }

  /** Waits until the journal is open; false when it was closed before. */
  awaitOpen(): Effect.Effect<boolean> {
    return Deferred.await(this.#opened);
  }

  /** Appends a turn; true once it is in the log, false when the ownership ended before. Idempotent. */
  storeTurn(turn: KeptTurn): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      if (this.#slice.turns.has(turn)) return Effect.succeed(true);
      const { turnId, organisation } = turn;
      const known = [...this.#appending, ...this.#pending].find(({ turn: other }) =>
        other?.turnId === turnId && other.organisation === organisation
      );
      return known === undefined
        ? this.#enqueue({ events: toTurnEvents(turn), turn })
        : Deferred.await(known.done);
    });
  }

  /** Schedules an append of the ledger's new records. */
  scheduleSpendingAppend(): void {
    this.#wake.notify();
  }

  /** Waits until a record covers what the program was granted; false when the ownership ended before. */
  ensureProgramRecorded(programId: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#slice.ledger.isRecorded(programId)) {
        if (!(yield* this.#enqueue({ events: [] }))) return false;
      }
      return true;
    });
  }

  /** Appends outstanding records and a release, which shows the next owner that every grant is recorded. */
  release(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#state === SliceJournalState.Closed) return Effect.void;
      // Nothing has changed while the records are read, so that the next owner need not wait.
      if (this.#state === SliceJournalState.Opening && !this.#hasTakenOver) {
        return Effect.sync(() => this.close());
      }
      // The claim may already be in the log. Without a release after it, the next owner would have to assume
      // that turns were granted without a record.
      if (this.#state === SliceJournalState.Opening) return Effect.andThen(this.awaitOpen(), this.release());
      this.#isReleasing = true;
      const release: SliceEvent = { case: "release", value: create(SliceReleaseSchema) };
      return Effect.asVoid(this.#enqueue({ events: [release] }));
    });
  }

  /** Hands the slice over: ends the ownership without an append and returns the spending records. */
  handOver(now: number): ISpendingRecord[] {
    const granted = this.#slice.ledger.settle(now);
    this.close();
    return granted;
  }

  /** Ends the ownership without writing to the log; pending appends complete with false. */
  close(): void {
    if (this.#state === SliceJournalState.Closed) return;
    this.#state = SliceJournalState.Closed;
    Deferred.doneUnsafe(this.#opened, Effect.succeed(false));
    completeAll(this.#pending.splice(0), false);
    this.#wake.notify();
  }

  #enqueue(append: IAppend): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      if (this.#state === SliceJournalState.Closed) return Effect.succeed(false);
      const pending = { ...append, done: Deferred.makeUnsafe<boolean>() };
      this.#pending.push(pending);
      this.#hasWaiters = true;
      this.#wake.notify();
      return Deferred.await(pending.done);
    });
  }

  #open(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      while (this.#state === SliceJournalState.Opening) {
        this.#attempts += 1;
        const isClaimed = yield* this.#tryOpen(startedAtMs).pipe(
          Effect.catchTag(
            "StoreError",
            (err) => Effect.as(this.#logFirstOpenFailure(err), false),
          ),
        );
        if (!isClaimed) yield* Effect.sleep(RETRY_DELAY_MS);
      }
    });
  }

  /** Reads the records that earlier attempts have not read and appends a claim after them; false if it was not appended. */
  #tryOpen(startedAtMs: number): Effect.Effect<boolean, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const state = this.#slice;
      const cursor = this.#recovery;
      while (this.#state === SliceJournalState.Opening) {
        yield* this.#readInto(cursor, (record) => {
          if (record === undefined) state.applyUnreadable();
          else state.apply(record);
        });
        const now = yield* Clock.currentTimeMillis;
        // The claim is already in the log if an earlier attempt has appended it and its response was lost.
        if (state.writer === this.#opts.writer) {
          this.#end = cursor.next;
          this.#completeOpening(startedAtMs, now);
          return true;
        }
        if (this.#state !== SliceJournalState.Opening) return false;
        this.#hasTakenOver = true;
        const isUnclean = !(yield* this.#settleFormerOwnership(state));
        const { ledger, unrecordedPercent } = state;
        const unclean = isUnclean ? ledger.uncleanAfter(now, unrecordedPercent) : ledger;
        const outcome = yield* this.#append([this.#claim(now, unclean)], cursor.next);
        if (outcome.isAppended) {
          if (isUnclean) ledger.markUnclean(now, unrecordedPercent);
          this.#end = outcome.end;
          this.#completeOpening(startedAtMs, now);
          return true;
        }
        if (outcome.end <= cursor.next) return false;
      }
      return false;
    });
  }

  #completeOpening(startedAtMs: number, now: number): void {
    if (this.#state !== SliceJournalState.Opening) return;
    const state = this.#slice;
    for (const record of this.#formerSpending) state.ledger.adopt(record);
    this.#checkpointAtMs = now;
    this.#state = SliceJournalState.Open;
    const { slice, writer } = this.#opts;
    const { records, bytes } = this.#recovery;
    const tookMs = Math.round(now - startedAtMs);
    this.#opts.metrics?.recordDuration("slice_open", tookMs);
    this.#opts.logger.info("slice-opened", {
      slice,
      writer: String(writer),
      end: this.#end,
      isClean: state.isReleased || this.#handoverRequest?.granted !== undefined,
      programs: state.ledger.size,
      turns: state.turns.size,
      tookMs,
      attempts: this.#attempts,
      records,
      bytes,
    });
    const { unreadableCount } = state;
    if (unreadableCount > 0) {
      this.#opts.logger.warn("slice-records-unreadable", { slice, count: unreadableCount });
    }
    Deferred.doneUnsafe(this.#opened, Effect.succeed(true));
  }

  #claim(atMs: number, { uncleanAtMs, uncleanPercent }: IUncleanEnd): SliceEvent {
    const { instance, address } = this.#opts;
    const unclean = uncleanAtMs === 0 ? {} : { uncleanAtMs, uncleanPercent };
    const fields = { instance, address, atMs, unrecordedPercent: UNRECORDED_PERCENT, ...unclean };
    return { case: "claim", value: create(SliceClaimSchema, fields) };
  }

  /**
   * Requests the handover from a former owner that did not release the slice. That owner returns its spending
   * records and grants nothing more. If it does not respond, everything it may have granted counts as spent,
   * and new programs wait for their records during the retention period. The request keeps that rare when all
   * slices are reassigned simultaneously, or when the store refuses some instances and serves others. Returns whether
   * all that the former owner has granted is known.
   */
  #settleFormerOwnership(
    { writer, holder, isReleased }: SliceState,
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      this.#formerSpending = [];
      if (isReleased) return true;
      const { slice, address, askRelease } = this.#opts;
      const isOtherInstance = writer !== undefined && holder !== "" && holder !== address;
      if (!isOtherInstance) return false;
      if (this.#handoverRequest?.writer !== writer) {
        this.#handoverRequest = { writer, granted: yield* askRelease({ slice, writer, holder }) };
      }
      const { granted } = this.#handoverRequest;
      this.#formerSpending = granted ?? [];
      return granted !== undefined;
    });
  }

  /** Reads all records that follow a cursor, undefined for each that cannot be read, and advances it page by page. */
  #readInto(
    cursor: IReadCursor,
    apply: (record: SliceRecord | undefined) => void,
  ): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const page = yield* Effect.result(
          this.#opts.log.read(this.#opts.partition, {
            from: cursor.next,
            waitMs: 0,
            maxBytes: this.#pageBytes,
          }),
        );
        if (page._tag === "Failure") {
          const { fault, oldest } = page.failure;
          if (fault === StoreFault.NoResponse) {
            this.#pageBytes = Math.max(MIN_PAGE_BYTES, this.#pageBytes / 2);
          }
          if (fault !== StoreFault.HistoryTruncated || oldest <= cursor.next) {
            return yield* Effect.fail(page.failure);
          }
          cursor.next = oldest;
          continue;
        }
        const { records, end } = page.success;
        for (const { data } of records) {
          cursor.bytes += data.length;
          apply(decodeRecord(data));
        }
        cursor.next += records.length;
        cursor.records += records.length;
        if (cursor.next >= end) return;
        if (records.length === 0 && this.#pageBytes < MAX_PAGE_BYTES) {
          // With its length field, the largest record is larger than the smallest page.
          this.#pageBytes = MAX_PAGE_BYTES;
          continue;
        }
        if (records.length === 0) {
          return yield* Effect.fail(new StoreError(StoreFault.NoResponse, "a page without records"));
        }
      }
    });
  }

  #appendLoop(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#state === SliceJournalState.Open) {
        if (!this.#hasWaiters) {
          yield* this.#wake.wait();
          if (!this.#hasWaiters) {
            yield* Effect.raceFirst(this.#awaitWaiters(), Effect.sleep(SPENDING_APPEND_DELAY_MS));
          }
        }
        if (this.#state === SliceJournalState.Open) yield* this.#appendPending();
      }
    });
  }

  /** Waits until a caller waits for an append, or the journal is closed. */
  #awaitWaiters(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#hasWaiters && this.#state === SliceJournalState.Open) yield* this.#wake.wait();
    });
  }

  #appendPending(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const batch = this.#takeBatch();
      this.#appending = batch;
      const abandon = Effect.sync(() => completeAll(batch, false));
      return this.#appendBatch(batch).pipe(
        Effect.catchDefect((defect) => {
          this.close();
          return Effect.andThen(abandon, Effect.die(defect));
        }),
        // The ownership has ended; whoever waits can ask the next owner.
        Effect.onInterrupt(() => abandon),
      );
    });
  }

  #appendBatch(batch: readonly IPending[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const isRelease = batch.some(({ events }) => events.some((event) => event.case === "release"));
      const { ledger } = this.#slice;
      const records = isRelease ? ledger.settle(now) : ledger.takeDirty(now);
      const events = [...toSpendingEvents(records), ...batch.flatMap((pending) => pending.events)];
      const isAppended = events.length === 0 || (yield* this.#appendWithRetry(events));
      if (isAppended) {
        ledger.markRecorded(records);
        for (const { turn } of batch) if (turn !== undefined) this.#slice.turns.put(turn);
      }
      this.#appending = [];
      completeAll(batch, isAppended);
      if (isRelease || !isAppended) this.close();
      else yield* this.#checkpointIfDue(now);
    });
  }

  /** Takes the pending appends that fit into one; at least one if there is any. */
  #takeBatch(): IPending[] {
    let bytes = 0;
    let count = 0;
    for (const { events } of this.#pending) {
      bytes += events.reduce((sum, event) => sum + estimateEventBytes(event), 0);
      if (count > 0 && bytes > MAX_APPEND_BYTES) break;
      count += 1;
    }
    const batch = this.#pending.slice(0, count);
    this.#pending = this.#pending.slice(count);
    this.#hasWaiters = this.#pending.length > 0;
    return batch;
  }

  /** Retries until the events are in the log; false when another instance has claimed the slice. */
  #appendWithRetry(events: readonly SliceEvent[]): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      this.#appendNumber += 1;
      while (this.#state === SliceJournalState.Open) {
        const outcome = yield* Effect.result(this.#append(events, this.#end));
        if (outcome._tag === "Success" && outcome.success.isAppended) {
          this.#end = outcome.success.end;
          this.#clearStalled();
          return true;
        }
        if (outcome._tag === "Failure") {
          if (!this.#isStalled) yield* this.#logFailure("slice-append-failed", outcome.failure);
          this.#isStalled = true;
          yield* Effect.sleep(RETRY_DELAY_MS);
          if (outcome.failure.fault === StoreFault.Refused) continue;
        }
        const isAppended = yield* this.#readOutcome();
        if (isAppended !== undefined) return isAppended;
      }
      return false;
    });
  }

  #clearStalled(): void {
    if (this.#isStalled) this.#opts.logger.info("slice-append-regained", { slice: this.#opts.slice });
    this.#isStalled = false;
  }

  /**
   * Reads the records after the last known offset to determine the outcome of an append: true if they are the
   * append itself, whose response was lost; false if another instance has claimed the slice; undefined if
   * there are none or the store does not respond.
   */
  #readOutcome(): Effect.Effect<boolean | undefined> {
    const records: (SliceRecord | undefined)[] = [];
    const cursor: IReadCursor = { next: this.#end, records: 0, bytes: 0 };
    return this.#readInto(cursor, (record) => records.push(record)).pipe(
      Effect.map(() => {
        const own = records.filter((record) =>
          record?.writer === this.#opts.writer && record.appendNumber === this.#appendNumber
        );
        if (records.length === 0) return undefined;
        if (own.length === records.length) {
          this.#end = cursor.next;
          this.#clearStalled();
          return true;
        }
        const { slice, writer } = this.#opts;
        this.#opts.logger.warn("slice-claimed-by-other", { slice, writer: String(writer) });
        return false;
      }),
      // Not logged: the failure of the append was logged before, and the append is retried after this read.
      Effect.catchTag("StoreError", () => Effect.succeed(undefined)),
    );
  }

  #append(events: readonly SliceEvent[], at: number) {
    const { writer, partition, log } = this.#opts;
    const records = events.map((event) =>
      toBinary(
        SliceRecordSchema,
        create(SliceRecordSchema, { writer, appendNumber: this.#appendNumber, event }),
      )
    );
    return log.append(partition, records, at);
  }

  /** At each checkpoint interval, appends the whole state and deletes the records before it. */
  #checkpointIfDue(now: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (now - this.#checkpointAtMs < CHECKPOINT_INTERVAL_MS) return;
      const from = this.#end;
      const { ledger, turns } = this.#slice;
      turns.evictExpired(now);
      const records: readonly ISpendingRecord[] = ledger.snapshot(now);
      const chunks = splitIntoAppends([
        this.#claim(now, ledger),
        ...toSpendingEvents(records),
        ...[...turns.values()].flatMap(toTurnEvents),
      ]);
      for (const events of chunks) {
        if (!(yield* this.#appendWithRetry(events))) return this.close();
      }
      ledger.markRecorded(records);
      this.#checkpointAtMs = now;
      const trim = this.#opts.log.trim(this.#opts.partition, from);
      yield* Effect.catchTag(trim, "StoreError", (err) => this.#logFailure("slice-trim-failed", err));
    });
  }

  /** Logs the first failure only: opening is retried until it succeeds, which is logged as well. */
  #logFirstOpenFailure(err: StoreError): Effect.Effect<void> {
    if (this.#hasFailedToOpen) return Effect.void;
    this.#hasFailedToOpen = true;
    return this.#logFailure("slice-open-failed", err, { records: this.#recovery.records });
  }

  #logFailure(event: string, { fault, message }: StoreError, fields: object = {}): Effect.Effect<void> {
    return Effect.sync(() =>
      this.#opts.logger.warn(event, { slice: this.#opts.slice, fault, error: message, ...fields })
    );
  }
}

function completeAll(appends: readonly IPending[], isAppended: boolean): void {
  for (const { done } of appends) Deferred.doneUnsafe(done, Effect.succeed(isAppended));
}

/** Returns undefined for bytes that are no record, which another writer must have appended. */
function decodeRecord(data: Uint8Array): SliceRecord | undefined {
  try {
    return fromBinary(SliceRecordSchema, data);
  } catch {
    return undefined;
  }
}
