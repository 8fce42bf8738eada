/** Looks up programs on their owner, which may lag behind the journal. */
import { Clock, Effect } from "effect";
import type { CallError } from "../../base/common/errors.ts";
import { Ran } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { JournalState } from "./journal_state.ts";
import type { Program } from "./program_store.ts";
import { storeUnavailable, unknownProgram } from "./call_errors.ts";

export class ProgramFinder {
  readonly #state: JournalState;
  readonly #journal: IJournal;

  constructor(state: JournalState, journal: IJournal) {
    this.#state = state;
    this.#journal = journal;
  }

  /**
   * Looks up a program. A program of another customer is reported as unknown, like one that does not exist.
   * A program that this instance does not have is reported as unknown only after a read of the journal's end
   * that began no earlier than the request.
   */
  find(programId: string, customer: string | undefined): Effect.Effect<Program, CallError> {
    return Effect.gen({ self: this }, function* () {
      const requestedAt = yield* Clock.currentTimeMillis;
      if (this.#state.programs.get(programId) === undefined) {
        const isConfirmed = yield* this.#journal.awaitReadToEnd(requestedAt);
        if (!isConfirmed) return yield* Effect.fail(storeUnavailable(Ran.NOT_RUN));
      }
      const program = this.#state.programs.get(programId);
      const isPermitted = customer === undefined || program?.spec.customer === customer;
      return program !== undefined && isPermitted ? program : yield* Effect.fail(unknownProgram());
    });
  }
}
