/** Programs whose running call is still finished by an earlier owner of their slice. */
import type { Scope } from "effect";
import { Deferred, Effect } from "effect";
import type { BusyProgram } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { IViewChange, ViewTable } from "../../membership/common/view.ts";
import { isSameRun } from "../../membership/common/view.ts";
import type { BudgetLedger } from "./budget_ledger.ts";
import type { ProgramStore } from "./program_store.ts";

interface IBusyEntry {
  readonly from: Member;
  readonly reservedTokens: number;
  readonly done: Deferred.Deferred<void>;
}

export interface IBusyProgramsOptions {
  readonly views: ViewTable;
  readonly programs: ProgramStore;
  readonly leaseMs: number;
}

export class BusyPrograms {
  readonly #opts: IBusyProgramsOptions;
  readonly #entries = new Map<string, IBusyEntry>();

  constructor(opts: IBusyProgramsOptions) {
    this.#opts = opts;
  }

  /** Follows the views until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const context = yield* Effect.context<never>();
      this.#opts.views.onDidChangeView((change) => {
        for (const giveUp of this.#lapses(change)) Effect.runForkWith(context)(Effect.forkIn(giveUp, scope));
      });
    });
  }

  /** Notes the calls that an earlier owner has said it is finishing; their budget stays reserved. */
  expect(from: Member, busy: readonly BusyProgram[]): void {
    for (const { programId, reservedTokens } of busy) {
      this.#entries.set(programId, { from, reservedTokens, done: Deferred.makeUnsafe<void>() });
      this.#forPayers(programId, (ledger) => ledger.reserve({ tokens: reservedTokens, calls: 1 }));
    }
  }

  /** Waits until the earlier owner has finished, or can no longer dispatch. */
  awaitFree(programId: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const entry = this.#entries.get(programId);
      return entry === undefined ? Effect.void : Deferred.await(entry.done);
    });
  }

  /** The earlier owner's call of a program has ended. */
  finish(programId: string): void {
    const entry = this.#entries.get(programId);
    if (entry === undefined) return;
    this.#entries.delete(programId);
    this.#forPayers(programId, (ledger) => ledger.release({ tokens: entry.reservedTokens, calls: 1 }));
    Deferred.doneUnsafe(entry.done, Effect.void);
  }

  /** Gives up on owners that are gone, once their lease has lapsed. */
  #lapses({ current }: IViewChange): Effect.Effect<void>[] {
    const gone = [...this.#entries].filter(([, { from }]) =>
      !current.members.some((member) => isSameRun(member, from))
    );
    return gone.map(([programId, entry]) =>
      Effect.andThen(Effect.sleep(this.#opts.leaseMs), Effect.sync(() => this.#abandon(programId, entry)))
    );
  }

  #abandon(programId: string, entry: IBusyEntry): void {
    if (this.#entries.get(programId) !== entry) return;
    this.finish(programId);
    // What the earlier owner may have spent counts as spent.
    this.#forPayers(programId, (ledger) => ledger.burnUnsettled());
  }

  #forPayers(programId: string, use: (ledger: BudgetLedger) => void): void {
    const program = this.#opts.programs.get(programId);
    if (program === undefined) return;
    for (const payer of this.#opts.programs.chainOf(program)) use(payer.ledger);
  }
}
