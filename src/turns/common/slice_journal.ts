/** The log of one slice: taken over by a claim, then written by conditional appends only. */
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
import type { IPartition, IPartitionedLog } from "../../services/store/common/partitioned_log.ts";
import type { StoreError } from "../../services/store/common/partitioned_log.ts";
import { StoreFault } from "../../services/store/common/partitioned_log.ts";
import { chunked, MAX_APPEND_BYTES, sizeOf } from "./append_size.ts";
import type { SliceEvent } from "./slice_state.ts";
import { SliceState, spendingEvents, turnEvents } from "./slice_state.ts";
import type { ISpendingRecord } from "./spending_ledger.ts";

/** Pause after a failed call, in ms: a store that is away is asked about seven times a second. */
const RETRY_PAUSE_MS = 150;
/** How long spending records wait for others, in ms: bounds a slice's appends to about two a second. */
const LAZY_APPEND_MS = 500;
/** Time between two checkpoints, in ms: bounds what a new owner reads, and the log's size. */
const CHECKPOINT_INTERVAL_MS = 120_000;

/** What an append holds beside spending, and who waits for it. */
interface IAppend {
  readonly events: readonly SliceEvent[];
  /** Turn that the events tell of. */
  readonly turn?: KeptTurn;
}

interface IPending extends IAppend {
  readonly done: Deferred.Deferred<boolean>;
}

/** How an ownership of a slice stands. */
export enum JournalState {
  Opening = "opening",
  Open = "open",
  /** Another instance has claimed the slice, or it was released. */
  Closed = "closed",
}

/** An ownership of a slice at another instance. */
export interface IHeldSlice {
  readonly slice: number;
  readonly writer: bigint;
  /** Where peers reach the owner. */
  readonly holder: string;
}

/**
 * Asks the former owner of a slice to end its ownership. Returns what it has granted; undefined when it does
 * not answer or does not have that ownership any more.
 */
export type AskRelease = (held: IHeldSlice) => Effect.Effect<readonly ISpendingRecord[] | undefined>;

export interface ISliceJournalOptions {
  readonly slice: number;
  readonly partition: IPartition;
  readonly instance: string;
  /** Where peers reach this instance. */
  readonly address: string;
  readonly askRelease: AskRelease;
  /** Random identity of this ownership. */
  readonly writer: bigint;
  readonly log: IPartitionedLog;
  readonly logger: ILogger;
}

/**
 * Two instances that both believe that they own a slice cannot both write: each append names the
 * offset at which the partition must end, and the newer claim moves it.
 */
export class SliceJournal {
  readonly #opts: ISliceJournalOptions;
  readonly #wake = new Signal();
  readonly #opened = Deferred.makeUnsafe<boolean>();
  #pending: IPending[] = [];
  #slice = new SliceState();
  #state = JournalState.Opening;
  #end = 0;
  #appendNumber = 0;
  #hasUrgent = false;
  #isStalled = false;
  #checkpointAtMs = 0;
  #isReleasing = false;
  #hasFailedToOpen = false;
  /** What a former owner has granted beyond the log's records. */
  #takenUp: readonly ISpendingRecord[] = [];
  /** Former owner that was asked to release the slice, and what it answered. */
  #asked: { readonly writer: bigint; readonly granted: readonly ISpendingRecord[] | undefined } | undefined;

  constructor(opts: ISliceJournalOptions) {
    this.#opts = opts;
  }

  get state(): JournalState {
    return this.#state;
  }

  get writer(): bigint {
    return this.#opts.writer;
  }

  /** Whether a release is on its way; what is granted now would be missing in it. */
  get isReleasing(): boolean {
    return this.#isReleasing;
  }

  /** Whether the last append failed, so that further ones will have to wait for the store. */
  get isStalled(): boolean {
    return this.#isStalled;
  }

  /** The slice's programs and turns; valid while the journal is open. */
  get slice(): SliceState {
    return this.#slice;
  }

  /** Recovers the slice, claims it, and appends until it is closed or the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.asVoid(Effect.forkScoped(Effect.andThen(this.#open(), this.#appendLoop())));
  }

  /** Waits until the slice is open; false when it was closed instead. */
  awaitOpen(): Effect.Effect<boolean> {
    return Deferred.await(this.#opened);
  }

  /** Appends a turn; true once it is in the log, false when the ownership ended before. */
  storeTurn(turn: KeptTurn): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      if (this.#slice.turns.get(turn.turnId) !== undefined) return Effect.succeed(true);
      return this.#enqueue({ events: turnEvents(turn), turn });
    });
  }

  /** Has the ledger's new records appended with the next append. */
  noteSpending(): void {
    this.#wake.notify();
  }

  /** Waits until a program's record is in the log; false when the ownership ended before. */
  recordProgram(programId: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#slice.ledger.isRecorded(programId)) {
        if (!(yield* this.#enqueue({ events: [] }))) return false;
      }
      return true;
    });
  }

  /** Appends what is left and a release, so that the next owner knows that nothing went unrecorded. */
  release(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#state === JournalState.Closed) return Effect.void;
      // A claim may be in the log already; without a release behind it the next owner must assume the worst.
      if (this.#state === JournalState.Opening) return Effect.andThen(this.awaitOpen(), this.release());
      this.#isReleasing = true;
      const release: SliceEvent = { case: "release", value: create(SliceReleaseSchema) };
      return Effect.asVoid(this.#enqueue({ events: [release] }));
    });
  }

  /** Ends the ownership at once, and tells what was granted under it. */
  handOver(now: number): ISpendingRecord[] {
    const granted = this.#slice.ledger.settle(now);
    this.close();
    return granted;
  }

  /** Ends the ownership as it is. */
  close(): void {
    if (this.#state === JournalState.Closed) return;
    this.#state = JournalState.Closed;
    Deferred.doneUnsafe(this.#opened, Effect.succeed(false));
    for (const { done } of this.#pending.splice(0)) Deferred.doneUnsafe(done, Effect.succeed(false));
    this.#wake.notify();
  }

  #enqueue(append: IAppend): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      if (this.#state === JournalState.Closed) return Effect.succeed(false);
      const pending = { ...append, done: Deferred.makeUnsafe<boolean>() };
      this.#pending.push(pending);
      this.#hasUrgent = true;
      this.#wake.notify();
      return Deferred.await(pending.done);
    });
  }

  #open(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#state === JournalState.Opening) {
        const isClaimed = yield* this.#tryOpen().pipe(
          Effect.catchTag(
            "StoreError",
            (err) => Effect.as(this.#logOpenFailure(err), false),
          ),
        );
        if (!isClaimed) yield* Effect.sleep(RETRY_PAUSE_MS);
      }
    });
  }

  /** Reads the slice's records and appends a claim behind them; false when another append came between. */
  #tryOpen(): Effect.Effect<boolean, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const state = new SliceState();
      const end = yield* this.#readFrom(0, (record) => state.apply(record));
      const now = yield* Clock.currentTimeMillis;
      if (state.writer !== this.#opts.writer) {
        this.#takenUp = state.isReleased ? [] : yield* this.#settleFormer(state, now);
        const { uncleanAtMs } = state.ledger;
        const outcome = yield* this.#append([this.#claim(now, uncleanAtMs)], end);
        if (!outcome.isAppended) return false;
        this.#end = outcome.end;
      } else {
        this.#end = end;
      }
      if (this.#state !== JournalState.Opening) return true;
      // Also where an earlier try has placed the claim and its answer was lost.
      for (const record of this.#takenUp) state.ledger.restore(record);
      this.#slice = state;
      this.#checkpointAtMs = now;
      this.#state = JournalState.Open;
      const { slice, writer } = this.#opts;
      this.#opts.logger.info("slice-opened", {
        slice,
        writer: String(writer),
        end: this.#end,
        isClean: state.isReleased || this.#asked?.granted !== undefined,
        programs: state.ledger.size,
        turns: state.turns.size,
      });
      Deferred.doneUnsafe(this.#opened, Effect.succeed(true));
      return true;
    });
  }

  #claim(atMs: number, uncleanAtMs: number): SliceEvent {
    const { instance, address } = this.#opts;
    return { case: "claim", value: create(SliceClaimSchema, { instance, address, atMs, uncleanAtMs }) };
  }

  /**
   * Has a former owner that lives tell what it has granted; it grants nothing more. Otherwise all that it may
   * have granted counts as spent, and new programs wait for their records for as long as turns are kept.
   * Load pattern: all slices are dealt anew at once, or the store refuses some instances and serves the others.
   */
  #settleFormer(
    { writer, holder, ledger }: SliceState,
    now: number,
  ): Effect.Effect<readonly ISpendingRecord[]> {
    return Effect.gen({ self: this }, function* () {
      const { slice, address, askRelease } = this.#opts;
      const isAskable = writer !== undefined && holder !== "" && holder !== address;
      if (isAskable && this.#asked?.writer !== writer) {
        this.#asked = { writer, granted: yield* askRelease({ slice, writer, holder }) };
      }
      const granted = isAskable ? this.#asked?.granted : undefined;
      if (granted === undefined) ledger.markUnclean(now);
      return granted ?? [];
    });
  }

  /** Reads all records from an offset on; returns the offset after the last. */
  #readFrom(from: number, apply: (record: SliceRecord) => void): Effect.Effect<number, StoreError> {
    return Effect.gen({ self: this }, function* () {
      let next = from;
      while (true) {
        const page = yield* Effect.result(
          this.#opts.log.read(this.#opts.partition, { from: next, waitMs: 0 }),
        );
        if (page._tag === "Failure") {
          if (page.failure.fault !== StoreFault.HistoryGone) return yield* Effect.fail(page.failure);
          next = page.failure.oldest;
          continue;
        }
        for (const { data } of page.success.records) apply(fromBinary(SliceRecordSchema, data));
        next += page.success.records.length;
        if (next >= page.success.end) return next;
      }
    });
  }

  #appendLoop(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#state === JournalState.Open) {
        if (!this.#hasUrgent) {
          yield* this.#wake.wait();
          if (!this.#hasUrgent) yield* Effect.raceFirst(this.#awaitUrgent(), Effect.sleep(LAZY_APPEND_MS));
        }
        if (this.#state === JournalState.Open) yield* this.#appendPending();
      }
    });
  }

  #awaitUrgent(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#hasUrgent && this.#state === JournalState.Open) yield* this.#wake.wait();
    });
  }

  #appendPending(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const batch = this.#takeBatch();
      const isRelease = batch.some(({ events }) => events.some((event) => event.case === "release"));
      const { ledger } = this.#slice;
      const records = isRelease ? ledger.settle(now) : ledger.takeDirty(now);
      const events = [...spendingEvents(records), ...batch.flatMap((pending) => pending.events)];
      const isAppended = events.length === 0 || (yield* this.#appendSurely(events));
      if (isAppended) {
        ledger.noteRecorded(records);
        for (const { turn } of batch) if (turn !== undefined) this.#slice.turns.put(turn);
      }
      for (const { done } of batch) Deferred.doneUnsafe(done, Effect.succeed(isAppended));
      if (isRelease || !isAppended) this.close();
      else yield* this.#maintain(now);
    });
  }

  /** Takes what fits into one append. */
  #takeBatch(): IPending[] {
    let bytes = 0;
    let count = 0;
    for (const { events } of this.#pending) {
      bytes += events.reduce((sum, event) => sum + sizeOf(event), 0);
      if (count > 0 && bytes > MAX_APPEND_BYTES) break;
      count += 1;
    }
    const batch = this.#pending.slice(0, count);
    this.#pending = this.#pending.slice(count);
    this.#hasUrgent = this.#pending.length > 0;
    return batch;
  }

  /** Appends until the log has the records; false when another instance has claimed the slice. */
  #appendSurely(events: readonly SliceEvent[]): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      this.#appendNumber += 1;
      while (this.#state === JournalState.Open) {
        const outcome = yield* Effect.result(this.#append(events, this.#end));
        if (outcome._tag === "Success" && outcome.success.isAppended) {
          this.#end = outcome.success.end;
          this.#noteAppended();
          return true;
        }
        if (outcome._tag === "Failure") {
          if (!this.#isStalled) yield* this.#logFailure("slice-append-failed", outcome.failure);
          this.#isStalled = true;
          yield* Effect.sleep(RETRY_PAUSE_MS);
          if (outcome.failure.fault === StoreFault.Refused) continue;
        }
        const verdict = yield* this.#inspect();
        if (verdict !== undefined) return verdict;
      }
      return false;
    });
  }

  #noteAppended(): void {
    if (this.#isStalled) this.#opts.logger.info("slice-append-regained", { slice: this.#opts.slice });
    this.#isStalled = false;
  }

  /**
   * Reads what stands behind the last known record: the append itself, whose answer was lost, or
   * another instance's claim. Undefined when nothing does, or the store does not answer.
   */
  #inspect(): Effect.Effect<boolean | undefined> {
    const records: SliceRecord[] = [];
    return this.#readFrom(this.#end, (record) => records.push(record)).pipe(
      Effect.map((end) => {
        const own = records.filter(({ writer, appendNumber }) =>
          writer === this.#opts.writer && appendNumber === this.#appendNumber
        );
        if (records.length === 0) return undefined;
        if (own.length === records.length) {
          this.#end = end;
          this.#noteAppended();
          return true;
        }
        const { slice, writer } = this.#opts;
        this.#opts.logger.warn("slice-claimed-by-other", { slice, writer: String(writer) });
        return false;
      }),
      // The append that is being looked for failed before, which was logged; it goes on failing with this read.
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

  /** Writes the state anew now and then, and deletes what came before. */
  #maintain(now: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (now - this.#checkpointAtMs < CHECKPOINT_INTERVAL_MS) return;
      const from = this.#end;
      const { ledger, turns } = this.#slice;
      turns.forget(now);
      const records: readonly ISpendingRecord[] = ledger.snapshot(now);
      const chunks = chunked([
        this.#claim(now, ledger.uncleanAtMs),
        ...spendingEvents(records),
        ...[...turns.values()].flatMap(turnEvents),
      ]);
      for (const events of chunks) {
        if (!(yield* this.#appendSurely(events))) return this.close();
      }
      ledger.noteRecorded(records);
      this.#checkpointAtMs = now;
      const trim = this.#opts.log.trim(this.#opts.partition, from);
      yield* Effect.catchTag(trim, "StoreError", (err) => this.#logFailure("slice-trim-failed", err));
    });
  }

  /** Tells the first failure only: the opening is tried again until it succeeds, which is told. */
  #logOpenFailure(err: StoreError): Effect.Effect<void> {
    if (this.#hasFailedToOpen) return Effect.void;
    this.#hasFailedToOpen = true;
    return this.#logFailure("slice-open-failed", err);
  }

  #logFailure(event: string, { fault, message }: StoreError): Effect.Effect<void> {
    return Effect.sync(() =>
      this.#opts.logger.warn(event, { slice: this.#opts.slice, fault, error: message })
    );
  }
}
