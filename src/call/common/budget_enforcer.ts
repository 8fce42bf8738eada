/** Enforces the budgets of a program and its ancestors on their calls. */
import { create } from "@bufbuild/protobuf";
import { Clock, Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import type { Grant } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { BudgetGrantedSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { ICharge } from "../../program/common/budget_ledger.ts";
import type { DurableWriter } from "../../program/common/durable_writer.ts";
import { Durability } from "../../program/common/durable_writer.ts";
import type { Program, ProgramStore } from "../../program/common/program_store.ts";
import { notOwner } from "../../program/common/call_errors.ts";

/** Number of calls for which budget is granted in advance with each recorded turn. */
const CALLS_AHEAD = 2;

export interface IBudgetEnforcer {
  /** Runs work while the charge is reserved in the budgets of the program and its ancestors. */
  withReservation<A>(
    program: Program,
    opts: { charge: ICharge; work: Effect.Effect<A, CallError> },
  ): Effect.Effect<A, CallError>;
  /** Runs work, and interrupts it when the time limit of the program or an ancestor expires. */
  withTimeLimit<A>(program: Program, work: Effect.Effect<A, CallError>): Effect.Effect<A, CallError>;
  /** Returns the grants for the next call, to be recorded together with the current one. */
  grantsForNextCall(program: Program, charge: ICharge): Grant[];
}

export class BudgetEnforcer implements IBudgetEnforcer {
  readonly #programs: ProgramStore;
  readonly #writer: DurableWriter;

  constructor(programs: ProgramStore, writer: DurableWriter) {
    this.#programs = programs;
    this.#writer = writer;
  }

  withReservation<A>(
    program: Program,
    { charge, work }: { charge: ICharge; work: Effect.Effect<A, CallError> },
  ): Effect.Effect<A, CallError> {
    const chargedPrograms = this.#programs.withAncestors(program);
    return Effect.suspend(() => {
      const exhausted = chargedPrograms.find(({ ledger }) => !ledger.hasRoom(charge));
      if (exhausted !== undefined) {
        return Effect.fail(budgetExhausted(`the budget of ${exhausted.id} is spent`));
      }
      const isGranted = chargedPrograms.every(({ ledger }) => ledger.isCoveredByGrant(charge));
      for (const { ledger } of chargedPrograms) ledger.reserve(charge);
      const granted = isGranted ? Effect.void : this.#grant(program, chargedPrograms);
      // Recording the turn settles the amounts, so the reservation must not end before that.
      return Effect.ensuring(
        Effect.andThen(granted, work),
        Effect.sync(() => release(chargedPrograms, charge)),
      );
    });
  }

  withTimeLimit<A>(program: Program, work: Effect.Effect<A, CallError>): Effect.Effect<A, CallError> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const limits = this.#programs.withAncestors(program).flatMap(({ spec }) => {
        const wallMs = spec.budget?.wallMs ?? 0;
        return wallMs === 0 ? [] : [spec.openedAtMs + wallMs - now];
      });
      const leftMs = Math.min(...limits);
      if (leftMs <= 0) return yield* Effect.fail(budgetExhausted("the program's time is up"));
      if (leftMs === Infinity) return yield* work;
      const orElse = () =>
        Effect.fail(budgetExhausted("the program's time ran out during the call", Ran.UNKNOWN));
      return yield* Effect.timeoutOrElse(work, { duration: leftMs, orElse });
    });
  }

  grantsForNextCall(program: Program, charge: ICharge): Grant[] {
    const ahead = { tokens: charge.tokens, calls: CALLS_AHEAD };
    return this.#programs.withAncestors(program).map(({ id, ledger }) => ledger.makeGrant(id, ahead));
  }

  /** Grants the reserved amounts in the journal, which must happen before they are spent. */
  #grant(program: Program, chargedPrograms: readonly Program[]): Effect.Effect<void, CallError> {
    const grants = chargedPrograms.map(({ id, ledger }) => ledger.toGrant(id));
    const value = create(BudgetGrantedSchema, { grants });
    const record = this.#writer.makeRecord(program.slice, { case: "granted", value });
    return Effect.flatMap(this.#writer.write(record), (durability) => {
      if (durability !== Durability.Rejected) return Effect.void;
      return Effect.fail(notOwner());
    });
  }
}

function release(chargedPrograms: readonly Program[], charge: ICharge): void {
  for (const { ledger } of chargedPrograms) ledger.release(charge);
}

function budgetExhausted(detail: string, ran = Ran.NOT_RUN): CallError {
  return new CallError(Reason.BUDGET_EXHAUSTED, { ran, detail });
}
