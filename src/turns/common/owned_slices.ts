/** The slices that this instance owns, and the operations on their programs and turns. */
import type { Scope } from "effect";
import { Clock, Effect, Exit, Scope as ScopeModule } from "effect";
import type {
  BeginTurnRequest,
  EndTurnRequest,
  KeptTurn,
  PromptHome,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { SliceStatus, TurnVerdict } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { hash32 } from "../../base/common/hash.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IPartition, IPartitionedLog } from "../../services/store/common/partitioned_log.ts";
import { PromptHomeCache } from "./prompt_home_cache.ts";
import type { AskRelease } from "./slice_journal.ts";
import { SliceJournal, SliceJournalState } from "./slice_journal.ts";
import type { ISpendingRecord } from "./spending_ledger.ts";
import { GrantDecision } from "./spending_ledger.ts";

/**
 * Time limit for waiting on a slice that is being recovered, which takes a few store calls. Shorter than the time limit of a call
 * to the owner, so that the caller learns that the owner is alive.
 */
export const OPEN_TIMEOUT_MS = 250;
/** Time limit for recording a grant in the log; the turn is refused when it is exceeded. */
const RECORD_TIMEOUT_MS = 1000;
/** Time limit for recording a grant while appends fail: allows one retry. */
const STALLED_TIMEOUT_MS = 200;
/** Time limit for a release; the slice is closed without one when it is exceeded. */
const RELEASE_TIMEOUT_MS = 600;

/** Dependencies and identity of {@link OwnedSlices}. */
export interface IOwnedSlicesOptions {
  readonly log: IPartitionedLog;
  readonly logger: ILogger;
  readonly metrics?: Metrics;
  readonly instance: string;
  /** Address at which peers reach this instance. */
  readonly address: string;
  readonly askRelease: AskRelease;
  /** Partition of each slice, by slice number. */
  readonly partitions: readonly IPartition[];
  /** Returns a random id for a new ownership. */
  readonly newWriter: () => bigint;
}

interface IOwnedSlice {
  readonly journal: SliceJournal;
  readonly scope: Scope.Closeable;
  /** Time at which the slice was acquired, in ms. */
  readonly acquiredAtMs: number;
}

/** Response of the owner of a slice. */
export interface ISliceResult {
  /** Why this instance does not serve the slice; unset if it does. */
  readonly sliceStatus?: SliceStatus | undefined;
}

/** Response to a request to begin a turn. */
export interface IBeginTurnResult extends ISliceResult {
  readonly verdict: TurnVerdict;
  /** Whether the program has delivered no tokens yet and has no other running turn. */
  readonly isFresh: boolean;
  /** Engine that processed the longest known prefix of the prompt in an earlier turn. */
  readonly home?: PromptHome | undefined;
}

/** Response to the report of a turn's end. */
export interface IEndTurnResult extends ISliceResult {
  readonly isOwner: boolean;
}

/** Response to a request to store a turn. */
export interface IStoreTurnResult extends ISliceResult {
  readonly isOwner: boolean;
  readonly isStored: boolean;
}

/** Result of a turn lookup. */
export interface ILoadTurnResult extends ISliceResult {
  /** Whether this instance owns the turn's slice. */
  readonly isOwner: boolean;
  /** Undefined when the turn is unknown. */
  readonly turn?: KeptTurn | undefined;
}

/** Opens and releases slices as they are assigned, and serves requests for the programs and turns in them. */
export class OwnedSlices {
  readonly #opts: IOwnedSlicesOptions;
  readonly #owned = new Map<number, IOwnedSlice>();
  readonly #homes = new PromptHomeCache();

  constructor(opts: IOwnedSlicesOptions) {
    this.#opts = opts;
  }

  /** Number of slices in the deployment. */
  get sliceCount(): number {
    return this.#opts.partitions.length;
  }

  /** Numbers of the slices that this instance owns. */
  get slices(): number[] {
    return [...this.#owned.keys()];
  }

  /** Total content size of the kept turns of all owned slices. */
  get keptBytes(): number {
    return [...this.#owned.values()].reduce((sum, { journal }) => sum + journal.slice.turns.bytes, 0);
  }

  /** Time since which this instance owns a slice, in ms; undefined if it does not. */
  ownedSinceMs(slice: number): number | undefined {
    return this.#owned.get(slice)?.acquiredAtMs;
  }

  /** Slice of a program or turn id. */
  sliceOf(id: string): number {
    return hash32(id) % this.sliceCount;
  }

  /** Opens newly assigned slices, releases slices that are no longer assigned, and reopens closed ones. */
  assign(assigned: ReadonlySet<number>): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const revoked = this.slices.filter((slice) => !assigned.has(slice));
      yield* Effect.forEach(revoked, (slice) => this.#release(slice), {
        concurrency: "unbounded",
        discard: true,
      });
      for (const slice of assigned) {
        if (this.#owned.get(slice)?.journal.state === SliceJournalState.Closed) yield* this.#release(slice);
        if (!this.#owned.has(slice)) yield* this.#open(slice);
      }
    });
  }

  /**
   * Hands a slice over to the next owner that requests it, and returns its spending records; undefined when
   * this instance does not have the requested ownership.
   */
  handOver({ slice, writer }: { slice: number; writer: bigint }): Effect.Effect<
    readonly ISpendingRecord[] | undefined
  > {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const owned = this.#owned.get(slice);
      if (owned?.journal.writer !== writer || owned.journal.state !== SliceJournalState.Open) {
        return undefined;
      }
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

  /** Decides whether a turn may run, and records the grant where the ledger requires it. */
  begin(req: BeginTurnRequest): Effect.Effect<IBeginTurnResult> {
    return Effect.gen({ self: this }, function* () {
      const journal = yield* this.#findOpenJournal(req.programId);
      if (journal === undefined) {
        const sliceStatus = this.#statusOf(req.programId);
        return { verdict: TurnVerdict.NOT_OWNER, isFresh: false, sliceStatus };
      }
      const isFresh = journal.slice.ledger.isFresh(req.programId, req.turnId);
      return {
        verdict: yield* this.#decide(journal, req),
        isFresh,
        home: this.#homes.findLongestPrefix(req.partIds),
      };
    });
  }

  #decide(journal: SliceJournal, req: BeginTurnRequest): Effect.Effect<TurnVerdict> {
    return Effect.gen({ self: this }, function* () {
      const { ledger } = journal.slice;
      const decision = ledger.begin(req, yield* Clock.currentTimeMillis);
      if (decision === GrantDecision.BudgetExhausted) return TurnVerdict.SPENT;
      if (decision === GrantDecision.AlreadyEnded) return TurnVerdict.NOT_RECORDED;
      if (decision === GrantDecision.Granted) {
        if (ledger.isDirty) journal.scheduleSpendingAppend();
        return TurnVerdict.GRANTED;
      }
      const timeoutMs = journal.isStalled ? STALLED_TIMEOUT_MS : RECORD_TIMEOUT_MS;
      const endTurn = () => ledger.end(req.programId, { turnId: req.turnId, tokens: 0 });
      const record = Effect.timeoutOption(journal.ensureProgramRecorded(req.programId), timeoutMs);
      const recorded = yield* Effect.onInterrupt(record, () => Effect.sync(endTurn));
      const isRecorded = recorded._tag === "Some" && recorded.value;
      // An earlier request to begin the turn may have ended it meanwhile, because it timed out.
      if (isRecorded && ledger.isRunning(req.programId, req.turnId)) return TurnVerdict.GRANTED;
      endTurn();
      return recorded._tag === "Some" && !isRecorded ? TurnVerdict.NOT_OWNER : TurnVerdict.NOT_RECORDED;
    });
  }

  /** Ends a turn and charges its tokens. */
  end({ programId, turnId, tokens, home }: EndTurnRequest): Effect.Effect<IEndTurnResult> {
    return Effect.map(this.#findOpenJournal(programId), (journal) => {
      if (journal === undefined) return { isOwner: false, sliceStatus: this.#statusOf(programId) };
      if (home !== undefined) this.#homes.record(home);
      journal.slice.ledger.end(programId, { turnId, tokens });
      if (journal.slice.ledger.isDirty) journal.scheduleSpendingAppend();
      return { isOwner: true };
    });
  }

  /** Appends a turn to its slice's log. */
  store(turn: KeptTurn): Effect.Effect<IStoreTurnResult> {
    return Effect.gen({ self: this }, function* () {
      const journal = yield* this.#findOpenJournal(turn.turnId);
      if (journal === undefined) {
        return { isOwner: false, isStored: false, sliceStatus: this.#statusOf(turn.turnId) };
      }
      return { isOwner: true, isStored: yield* journal.storeTurn(turn) };
    });
  }

  /** Looks up a kept turn: that of the organisation or, if it has none of this id, that of another one. */
  load(turnId: string, organisation?: string): Effect.Effect<ILoadTurnResult> {
    return Effect.map(
      this.#findOpenJournal(turnId),
      (journal): ILoadTurnResult =>
        journal === undefined
          ? { isOwner: false, sliceStatus: this.#statusOf(turnId) }
          : { isOwner: true, turn: journal.slice.turns.find(turnId, organisation) },
    );
  }

  /** Why this instance does not serve an id's slice. */
  #statusOf(id: string): SliceStatus {
    const isOpening = this.#owned.get(this.sliceOf(id))?.journal.state === SliceJournalState.Opening;
    return isOpening ? SliceStatus.OPENING : SliceStatus.NOT_OWNED;
  }

  /** Open journal of an id's slice; waits up to {@link OPEN_TIMEOUT_MS} while the slice is recovered. */
  #findOpenJournal(id: string): Effect.Effect<SliceJournal | undefined> {
    return Effect.gen({ self: this }, function* () {
      const journal = this.#owned.get(this.sliceOf(id))?.journal;
      if (journal?.state === SliceJournalState.Opening) {
        yield* Effect.timeoutOption(journal.awaitOpen(), OPEN_TIMEOUT_MS);
      }
      return journal?.state === SliceJournalState.Open && !journal.isReleasing ? journal : undefined;
    });
  }

  #open(slice: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { partitions, newWriter, ...rest } = this.#opts;
      const partition = partitions[slice];
      const journal = new SliceJournal({ ...rest, slice, partition, writer: newWriter() });
      const scope = yield* ScopeModule.make();
      yield* ScopeModule.provide(journal.start(), scope);
      this.#owned.set(slice, { journal, scope, acquiredAtMs: yield* Clock.currentTimeMillis });
    });
  }

  #release(slice: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const owned = this.#owned.get(slice);
      if (owned === undefined) return;
      const outcome = yield* Effect.timeoutOption(owned.journal.release(), RELEASE_TIMEOUT_MS);
      owned.journal.close();
      this.#owned.delete(slice);
      this.#opts.logger.info("slice-released", { slice, isOrderly: outcome._tag === "Some" });
      yield* ScopeModule.close(owned.scope, Exit.void);
    });
  }
}
