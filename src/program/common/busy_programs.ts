/** Programs with a call that a previous owner of their slice is still running. */
import type { Scope } from "effect";
import { Deferred, Effect } from "effect";
import type { BusyProgram } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { IViewChange, ViewTracker } from "../../membership/common/view.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";
import type { BudgetLedger } from "./budget_ledger.ts";
import type { ProgramStore } from "./program_store.ts";

interface IRunningCall {
  readonly owner: Member;
  readonly reservedTokens: number;
  readonly done: Deferred.Deferred<void>;
}

export interface IBusyProgramsOptions {
  readonly views: ViewTracker;
  readonly programs: ProgramStore;
  readonly leaseMs: number;
}

export class BusyPrograms {
  readonly #opts: IBusyProgramsOptions;
  readonly #calls = new Map<string, IRunningCall>();

  constructor(opts: IBusyProgramsOptions) {
    this.#opts = opts;
  }

  /** Expires the calls of owners that leave the view, until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const context = yield* Effect.context<never>();
      this.#opts.views.onDidChangeView((change) => {
        for (const expire of this.#expirationsOf(change)) {
          Effect.runForkWith(context)(Effect.forkIn(expire, scope));
        }
      });
    });
  }

  /** Registers the calls that a previous owner has reported as running, and reserves their budget. */
  register(owner: Member, busy: readonly BusyProgram[]): void {
    for (const { programId, reservedTokens } of busy) {
      this.#calls.set(programId, { owner, reservedTokens, done: Deferred.makeUnsafe<void>() });
      this.#updateLedgers(programId, (ledger) => ledger.reserve({ tokens: reservedTokens, calls: 1 }));
    }
  }

  /** Waits until the previous owner's call has ended, or that owner can no longer dispatch calls. */
  awaitCompletion(programId: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const call = this.#calls.get(programId);
      return call === undefined ? Effect.void : Deferred.await(call.done);
    });
  }

  /** Releases the budget and the waiters of a previous owner's call that has ended. */
  complete(programId: string): void {
    const call = this.#calls.get(programId);
    if (call === undefined) return;
    this.#calls.delete(programId);
    this.#updateLedgers(programId, (ledger) => ledger.release({ tokens: call.reservedTokens, calls: 1 }));
    Deferred.doneUnsafe(call.done, Effect.void);
  }

  /** Effects that expire the calls of owners outside the view, once those owners' leases have expired. */
  #expirationsOf({ current }: IViewChange): Effect.Effect<void>[] {
    const orphaned = [...this.#calls].filter(([, { owner }]) =>
      !current.members.some((member) => isSameIncarnation(member, owner))
    );
    return orphaned.map(([programId, call]) =>
      Effect.andThen(Effect.sleep(this.#opts.leaseMs), Effect.sync(() => this.#expire(programId, call)))
    );
  }

  #expire(programId: string, call: IRunningCall): void {
    if (this.#calls.get(programId) !== call) return;
    this.complete(programId);
    // What the call spent is unknown, so all that the previous owner was granted counts as spent.
    this.#updateLedgers(programId, (ledger) => ledger.burnUnsettled());
  }

  /** Updates the ledgers of a program and its ancestors. */
  #updateLedgers(programId: string, update: (ledger: BudgetLedger) => void): void {
    const program = this.#opts.programs.get(programId);
    if (program === undefined) return;
    for (const chargedProgram of this.#opts.programs.withAncestors(program)) update(chargedProgram.ledger);
  }
}
