/**
 * Repeats the state that must outlive the log's retention: the view, the configuration, the owned programs
 * and their idempotency keys.
 */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import { create } from "@bufbuild/protobuf";
import type { Member, Record } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { RecordSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { sliceOf } from "../../base/common/ids.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { DurableWriter } from "./durable_writer.ts";
import type { JournalState } from "./journal_state.ts";
import { makeKeySnapshot } from "./idempotency_key_table.ts";
import { makeSnapshot } from "./program_store.ts";

/** How long an idempotency key is kept. */
export const KEY_RETENTION_MS = 7 * 24 * 3_600_000;
/** How long an ended program is kept, for callers that request its last response again. */
const ENDED_PROGRAM_RETENTION_MS = 3_600_000;

const PROGRAMS_PER_BATCH = 20;
const KEYS_PER_BATCH = 200;

export interface ICheckpointWriterOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly writer: DurableWriter;
  readonly intervalMs: number;
  /** Repeats the configuration in the log. Runs only on the first member of the view. */
  readonly checkpointConfiguration: Effect.Effect<void>;
}

export class CheckpointWriter {
  readonly #opts: ICheckpointWriterOptions;

  constructor(opts: ICheckpointWriterOptions) {
    this.#opts = opts;
  }

  /** Writes a checkpoint at each interval until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const loop = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(this.#opts.intervalMs);
        yield* this.write();
      }
    });
    return Effect.asVoid(Effect.forkScoped(loop));
  }

  /**
   * Writes a checkpoint of all that this instance owns. Does nothing while there is no view or the log
   * service is unavailable.
   */
  write(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { state, self, journal } = this.#opts;
      const view = state.views.current;
      if (view === undefined || journal.unavailableSinceMs !== undefined) return;
      this.#evictExpired(yield* Clock.currentTimeMillis);
      if (isSameIncarnation(view.members[0], self)) {
        const record = create(RecordSchema, { body: { case: "view", value: view.toCheckpoint() } });
        yield* journal.append(record).receipt;
        yield* this.#opts.checkpointConfiguration;
      }
      const owned = new Set(view.slicesOf(self));
      yield* this.#writePrograms(owned);
      yield* this.#writeKeys(owned);
    });
  }

  /** Writes snapshots of the owned programs, split so that each part fits into a batch. */
  #writePrograms(owned: ReadonlySet<number>): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const ids = [...this.#opts.state.programs.all].filter(({ slice }) => owned.has(slice)).map(({ id }) =>
        id
      );
      while (ids.length > 0) {
        const batch = ids.splice(0, PROGRAMS_PER_BATCH);
        yield* this.#opts.journal.appendDeferred(() => batch.flatMap((id) => this.#programRecords(id)));
      }
    });
  }

  #programRecords(programId: string): Record[] {
    const program = this.#opts.state.programs.get(programId);
    if (program === undefined) return [];
    return [this.#opts.writer.makeRecord(program.slice, { case: "snapshot", value: makeSnapshot(program) })];
  }

  #writeKeys(owned: ReadonlySet<number>): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const keys = [...this.#opts.state.idempotencyKeys.all]
        .filter(({ programId }) => owned.has(sliceOf(programId)))
        .map(({ key }) => key);
      while (keys.length > 0) {
        const batch = keys.splice(0, KEYS_PER_BATCH);
        yield* this.#opts.journal.appendDeferred(() => batch.flatMap((key) => this.#keyRecords(key)));
      }
    });
  }

  #keyRecords(key: string): Record[] {
    const entry = this.#opts.state.idempotencyKeys.get(key);
    if (entry === undefined) return [];
    return [
      this.#opts.writer.makeRecord(sliceOf(entry.programId), { case: "key", value: makeKeySnapshot(entry) }),
    ];
  }

  #evictExpired(now: number): void {
    const { programs, idempotencyKeys: keys } = this.#opts.state;
    for (const program of [...programs.all]) {
      if (program.hasEnded && now - program.lastActivityMs > ENDED_PROGRAM_RETENTION_MS) {
        programs.delete(program.id);
      }
    }
    for (const entry of [...keys.all]) {
      if (now - entry.recordedAtMs > KEY_RETENTION_MS) keys.delete(entry.key);
    }
  }
}
