/** Repeats what must outlive the log's retention: the owned programs, their keys, and the configuration. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import { create } from "@bufbuild/protobuf";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { RecordSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { sliceOf } from "../../base/common/ids.ts";
import { isSameRun } from "../../membership/common/view.ts";
import type { IJournal } from "../../platform/journal/common/journal.ts";
import type { DurableWriter } from "./durable_writer.ts";
import type { JournalState } from "./journal_state.ts";
import { makeKeySnapshot } from "./key_table.ts";
import { makeSnapshot } from "./program_store.ts";

/** Time for which a key is remembered. */
export const KEY_LIFETIME_MS = 7 * 24 * 3_600_000;
/** Time for which an ended program is remembered, for callers that ask for its last answer again. */
const ENDED_LIFETIME_MS = 3_600_000;

export interface ICheckpointsOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly writer: DurableWriter;
  readonly intervalMs: number;
  /** Repeats the configuration; called on the first member alone. */
  readonly checkpointConfiguration: Effect.Effect<void>;
}

export class Checkpoints {
  readonly #opts: ICheckpointsOptions;

  constructor(opts: ICheckpointsOptions) {
    this.#opts = opts;
  }

  /** Makes a checkpoint at each interval until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const repeat = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(this.#opts.intervalMs);
        yield* this.write();
      }
    });
    return Effect.asVoid(Effect.forkScoped(repeat));
  }

  /** Writes one checkpoint of all that this instance owns. */
  write(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { state, self, journal } = this.#opts;
      const view = state.views.current;
      if (view === undefined || journal.unavailableSince !== undefined) return;
      this.#forgetOld(yield* Clock.currentTimeMillis);
      if (isSameRun(view.members[0], self)) {
        const repeat = create(RecordSchema, { body: { case: "view", value: view.toCheckpoint() } });
        yield* journal.append(repeat).receipt;
        yield* this.#opts.checkpointConfiguration;
      }
      const owned = new Set(view.slicesOf(self));
      yield* this.#repeatPrograms(owned);
      yield* this.#repeatKeys(owned);
    });
  }

  #repeatPrograms(owned: ReadonlySet<number>): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (const program of [...this.#opts.state.programs.all]) {
        if (!owned.has(program.slice)) continue;
        // Made one by one, so that each is up to date where it stands in the journal.
        const value = makeSnapshot(program);
        const record = this.#opts.writer.stamp(program.slice, { case: "snapshot", value });
        yield* this.#opts.journal.append(record).receipt;
      }
    });
  }

  #repeatKeys(owned: ReadonlySet<number>): Effect.Effect<void> {
    const keys = [...this.#opts.state.keys.all].filter(({ programId }) => owned.has(sliceOf(programId)));
    const receipts = keys.map((entry) => {
      const body = { case: "key" as const, value: makeKeySnapshot(entry) };
      return this.#opts.journal.append(this.#opts.writer.stamp(sliceOf(entry.programId), body)).receipt;
    });
    return Effect.asVoid(Effect.all(receipts, { concurrency: "unbounded" }));
  }

  #forgetOld(now: number): void {
    const { programs, keys } = this.#opts.state;
    for (const program of [...programs.all]) {
      if (program.hasEnded && now - program.lastActivityMs > ENDED_LIFETIME_MS) programs.forget(program.id);
    }
    for (const entry of [...keys.all]) {
      if (now - entry.recordedAtMs > KEY_LIFETIME_MS) keys.forget(entry.key);
    }
  }
}
