/** Records turns, either as the owner or, if ownership changed during the call, through the new owner. */
import { create, equals } from "@bufbuild/protobuf";
import { Clock, Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import type { Grant, Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { Ran, Reason, TurnSchema } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Member, TurnCompleted } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { TurnCompletedSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { PeerClients } from "../../membership/common/peer_client.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";
import type { BusyPrograms } from "../../program/common/busy_programs.ts";
import type { DurableWriter } from "../../program/common/durable_writer.ts";
import { Durability } from "../../program/common/durable_writer.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import type { Program } from "../../program/common/program_store.ts";

/** Timeout of one request to the new owner. */
const ADOPT_REQUEST_TIMEOUT_MS = 2000;
const ADOPT_RETRY_INTERVAL_MS = 50;
/** Time limit for all attempts to record a turn through the new owner. */
const ADOPT_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1000;

export interface ITurnRecorder {
  /** Makes a turn durable. Returns true if so far only copies on other instances hold it. */
  record(program: Program, opts: { turn: Turn; grants: Grant[] }): Effect.Effect<boolean, CallError>;
  /** Whether this instance owns a program's slice. */
  owns(program: Program): boolean;
  /** If ownership of the program has moved, notifies the new owner that its call has ended here. */
  notifyCallEnded(program: Program): Effect.Effect<void>;
  /**
   * Records a turn on behalf of a previous owner of the slice or, for a release, only registers that
   * its call has ended. Returns whether the request took effect.
   */
  adopt(slice: number, opts: { turn: TurnCompleted | undefined; isRelease: boolean }): Effect.Effect<boolean>;
}

export interface ITurnRecorderOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly writer: DurableWriter;
  readonly busy: BusyPrograms;
  readonly peers: PeerClients;
}

export class TurnRecorder implements ITurnRecorder {
  readonly #opts: ITurnRecorderOptions;

  constructor(opts: ITurnRecorderOptions) {
    this.#opts = opts;
  }

  record(
    program: Program,
    { turn, grants }: { turn: Turn; grants: Grant[] },
  ): Effect.Effect<boolean, CallError> {
    return Effect.gen({ self: this }, function* () {
      const value = create(TurnCompletedSchema, { programId: program.id, turn, grants });
      const startedAt = yield* Clock.currentTimeMillis;
      while (true) {
        if (this.#ownsSlice(program.slice)) {
          const durability = yield* this.#write(program.slice, value);
          if (durability !== Durability.Rejected) return durability === Durability.Copies;
          if (this.#isRecorded(value)) return false;
          if (this.#ownsSlice(program.slice)) return yield* Effect.fail(recordFailed());
        }
        const accepted = yield* this.#sendToOwner(program.slice, { turn: value, isRelease: false });
        if (accepted === true) return false;
        if (accepted === false) return yield* Effect.fail(recordFailed());
        if ((yield* Clock.currentTimeMillis) - startedAt > ADOPT_TIMEOUT_MS) {
          return yield* Effect.fail(recordFailed());
        }
        yield* Effect.sleep(ADOPT_RETRY_INTERVAL_MS);
      }
    });
  }

  owns(program: Program): boolean {
    return this.#ownsSlice(program.slice);
  }

  notifyCallEnded(program: Program): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#ownsSlice(program.slice)) return Effect.void;
      const turn = create(TurnCompletedSchema, { programId: program.id });
      return Effect.asVoid(this.#sendToOwner(program.slice, { turn, isRelease: true }));
    });
  }

  adopt(
    slice: number,
    { turn, isRelease }: { turn: TurnCompleted | undefined; isRelease: boolean },
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      if (turn === undefined || !this.#ownsSlice(slice)) return false;
      const write = isRelease ? Effect.succeed(Durability.Journal) : this.#write(slice, turn);
      const durability = yield* Effect.catch(write, () => Effect.succeed(Durability.Rejected));
      this.#opts.busy.complete(turn.programId);
      return durability !== Durability.Rejected || this.#isRecorded(turn);
    });
  }

  /** Whether the journal already contains this exact turn, from an earlier attempt or a held copy. */
  #isRecorded({ programId, turn }: TurnCompleted): boolean {
    if (turn === undefined) return false;
    const recorded = this.#opts.state.programs.get(programId)?.turns[turn.step - 1];
    return recorded !== undefined && equals(TurnSchema, recorded, turn);
  }

  #ownsSlice(slice: number): boolean {
    return isSameIncarnation(this.#opts.state.views.current?.ownerOf(slice), this.#opts.self);
  }

  #write(slice: number, value: TurnCompleted): Effect.Effect<Durability, CallError> {
    return this.#opts.writer.write(this.#opts.writer.makeRecord(slice, { case: "turn", value }));
  }

  /** Returns undefined if the owner did not respond. */
  #sendToOwner(
    slice: number,
    req: { turn: TurnCompleted; isRelease: boolean },
  ): Effect.Effect<boolean | undefined> {
    const owner = this.#opts.state.views.current?.ownerOf(slice);
    if (owner === undefined || isSameIncarnation(owner, this.#opts.self)) return Effect.succeed(undefined);
    const call = this.#opts.peers.call(owner.peerAddress, {
      timeoutMs: ADOPT_REQUEST_TIMEOUT_MS,
      invoke: (client, signal) => client.adoptTurn({ slice, ...req }, { signal }),
    });
    return call.pipe(Effect.map(({ accepted }) => accepted), Effect.catch(() => Effect.succeed(undefined)));
  }
}

function recordFailed(): CallError {
  return new CallError(Reason.OWNER_UNAVAILABLE, {
    ran: Ran.RAN,
    retryAfterMs: RETRY_AFTER_MS,
    detail: "the program moved during the call and the record was not taken over",
  });
}
