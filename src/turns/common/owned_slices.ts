/** The slices that this instance owns, and what others may ask of them. */
import type { Scope } from "effect";
import { Clock, Effect, Exit, Scope as ScopeModule } from "effect";
import type {
  BeginTurnRequest,
  EndTurnRequest,
  KeptTurn,
  PromptHome,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { TurnVerdict } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { hash32 } from "../../base/common/hash.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { IPartition, IPartitionedLog } from "../../services/store/common/partitioned_log.ts";
import { PromptHomes } from "./prompt_homes.ts";
import type { AskRelease } from "./slice_journal.ts";
import { JournalState, SliceJournal } from "./slice_journal.ts";
import type { ISpendingRecord } from "./spending_ledger.ts";
import { Spending } from "./spending_ledger.ts";

/** Longest wait for a slice that is being recovered, in ms: a recovery takes a few calls to the store. */
const OPEN_TIMEOUT_MS = 400;
/** Longest wait for a record in the log, in ms: beyond it the turn is refused. */
const RECORD_TIMEOUT_MS = 1000;
/** The same while the store does not answer, in ms: one more try. */
const STALLED_TIMEOUT_MS = 200;
/** Longest wait for an orderly release, in ms: a slice that cannot be released is closed as it is. */
const RELEASE_TIMEOUT_MS = 600;

export interface IOwnedSlicesOptions {
  readonly log: IPartitionedLog;
  readonly logger: ILogger;
  readonly instance: string;
  /** Where peers reach this instance. */
  readonly address: string;
  readonly askRelease: AskRelease;
  /** Partition of each slice, by its number. */
  readonly partitions: readonly IPartition[];
  /** Draws the identity of a new ownership. */
  readonly newWriter: () => bigint;
}

interface IOwned {
  readonly journal: SliceJournal;
  readonly scope: Scope.Closeable;
}

/** Whether a turn may run, and whether it is the first of its program that does. */
export interface IBegunTurn {
  readonly verdict: TurnVerdict;
  readonly isFresh: boolean;
  /** Engine that holds the longest part of the prompt, as far as the program's earlier turns tell. */
  readonly home?: PromptHome | undefined;
}

/** Result of a look-up: whether this instance owns the slice, and what it found. */
export interface ILoadedTurn {
  readonly isOwner: boolean;
  readonly turn?: KeptTurn | undefined;
}

export class OwnedSlices {
  readonly #opts: IOwnedSlicesOptions;
  readonly #owned = new Map<number, IOwned>();
  readonly #homes = new PromptHomes();

  constructor(opts: IOwnedSlicesOptions) {
    this.#opts = opts;
  }

  get count(): number {
    return this.#opts.partitions.length;
  }

  get slices(): number[] {
    return [...this.#owned.keys()];
  }

  /** Kept content of all owned slices, in bytes. */
  get keptBytes(): number {
    return [...this.#owned.values()].reduce((sum, { journal }) => sum + journal.slice.turns.bytes, 0);
  }

  /** Slice of a program or turn. */
  sliceOf(id: string): number {
    return hash32(id) % this.count;
  }

  /** Opens the slices that were assigned anew, and releases those that are assigned no longer. */
  assign(assigned: ReadonlySet<number>): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const gone = this.slices.filter((slice) => !assigned.has(slice));
      yield* Effect.forEach(gone, (slice) => this.#release(slice), {
        concurrency: "unbounded",
        discard: true,
      });
      for (const slice of assigned) {
        if (this.#owned.get(slice)?.journal.state === JournalState.Closed) yield* this.#release(slice);
        if (!this.#owned.has(slice)) yield* this.#open(slice);
      }
    });
  }

  /**
   * Ends the ownership of a slice for its next owner, and tells what was granted; undefined when this
   * instance does not have that ownership.
   */
  releaseFor({ slice, writer }: { slice: number; writer: bigint }): Effect.Effect<
    readonly ISpendingRecord[] | undefined
  > {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const owned = this.#owned.get(slice);
      if (owned?.journal.writer !== writer || owned.journal.state !== JournalState.Open) return undefined;
      const granted = owned.journal.handOver(now);
      this.#owned.delete(slice);
      this.#opts.logger.info("slice-handed-over", {
        slice,
        writer: String(writer),
        programs: granted.length,
      });
      yield* ScopeModule.close(owned.scope, Exit.void);
      return granted;
    });
  }

  begin(req: BeginTurnRequest): Effect.Effect<IBegunTurn> {
    return Effect.gen({ self: this }, function* () {
      const journal = yield* this.#find(req.programId);
      if (journal === undefined) return { verdict: TurnVerdict.NOT_OWNER, isFresh: false };
      const isFresh = journal.slice.ledger.isFresh(req.programId, req.turnId);
      return { verdict: yield* this.#grant(journal, req), isFresh, home: this.#homes.find(req.partIds) };
    });
  }

  #grant(journal: SliceJournal, req: BeginTurnRequest): Effect.Effect<TurnVerdict> {
    return Effect.gen({ self: this }, function* () {
      const { ledger } = journal.slice;
      const spending = ledger.begin(req, yield* Clock.currentTimeMillis);
      if (spending === Spending.Spent) return TurnVerdict.SPENT;
      if (spending === Spending.Granted) {
        if (ledger.isDirty) journal.noteSpending();
        return TurnVerdict.GRANTED;
      }
      const patienceMs = journal.isStalled ? STALLED_TIMEOUT_MS : RECORD_TIMEOUT_MS;
      const isRecorded = yield* Effect.timeoutOption(journal.recordProgram(req.programId), patienceMs);
      if (isRecorded._tag === "Some" && isRecorded.value) return TurnVerdict.GRANTED;
      ledger.end(req.programId, { turnId: req.turnId, tokens: 0 });
      return isRecorded._tag === "Some" ? TurnVerdict.NOT_OWNER : TurnVerdict.NOT_RECORDED;
    });
  }

  /** Notes the end of a turn; false when this instance does not own the program. */
  end({ programId, turnId, tokens, home }: EndTurnRequest): Effect.Effect<boolean> {
    return Effect.map(this.#find(programId), (journal) => {
      if (journal !== undefined && home !== undefined) this.#homes.note(home);
      journal?.slice.ledger.end(programId, { turnId, tokens });
      return journal !== undefined;
    });
  }

  /** Keeps a turn; undefined when this instance does not own its slice. */
  store(turn: KeptTurn): Effect.Effect<boolean | undefined> {
    return Effect.gen({ self: this }, function* () {
      const journal = yield* this.#find(turn.turnId);
      return journal === undefined ? undefined : yield* journal.storeTurn(turn);
    });
  }

  load(turnId: string): Effect.Effect<ILoadedTurn> {
    return Effect.map(this.#find(turnId), (journal) => ({
      isOwner: journal !== undefined,
      turn: journal?.slice.turns.get(turnId),
    }));
  }

  /** The open journal of an id's slice; waits a little while the slice is recovered. */
  #find(id: string): Effect.Effect<SliceJournal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const journal = this.#owned.get(this.sliceOf(id))?.journal;
      if (journal?.state === JournalState.Opening) {
        yield* Effect.timeoutOption(journal.awaitOpen(), OPEN_TIMEOUT_MS);
      }
      return journal?.state === JournalState.Open && !journal.isReleasing ? journal : undefined;
    });
  }

  #open(slice: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { partitions, newWriter, ...rest } = this.#opts;
      const partition = partitions[slice];
      const journal = new SliceJournal({ ...rest, slice, partition, writer: newWriter() });
      const scope = yield* ScopeModule.make();
      yield* ScopeModule.provide(journal.start(), scope);
      this.#owned.set(slice, { journal, scope });
    });
  }

  #release(slice: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const owned = this.#owned.get(slice);
      if (owned === undefined) return;
      const released = yield* Effect.timeoutOption(owned.journal.release(), RELEASE_TIMEOUT_MS);
      owned.journal.close();
      this.#owned.delete(slice);
      this.#opts.logger.info("slice-released", { slice, isOrderly: released._tag === "Some" });
      yield* ScopeModule.close(owned.scope, Exit.void);
    });
  }
}
