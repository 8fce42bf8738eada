/** Finds programs for their owner, which may read the journal late. */
import { Clock, Effect } from "effect";
import type { CallError } from "../../base/common/errors.ts";
import { Ran } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { JournalState } from "./journal_state.ts";
import type { Program } from "./program_store.ts";
import { storeUnavailable, unknownProgram } from "./refusals.ts";

export class ProgramFinder {
  readonly #state: JournalState;
  readonly #journal: IJournal;

  constructor(state: JournalState, journal: IJournal) {
    this.#state = state;
    this.#journal = journal;
  }

  /**
   * A customer's program; one of another customer is as unknown as one that does not exist. A program is
   * called unknown only after the journal has been read beyond the time of the question.
   */
  find(programId: string, customer: string | undefined): Effect.Effect<Program, CallError> {
    return Effect.gen({ self: this }, function* () {
      const askedAt = yield* Clock.currentTimeMillis;
      if (this.#state.programs.get(programId) === undefined) {
        const isConfirmed = yield* this.#journal.awaitConfirmed(askedAt);
        if (!isConfirmed) return yield* Effect.fail(storeUnavailable(Ran.NOT_RUN));
      }
      const program = this.#state.programs.get(programId);
      const isTheirs = customer === undefined || program?.spec.customer === customer;
      return program !== undefined && isTheirs ? program : yield* Effect.fail(unknownProgram());
    });
  }
}
