/** Opens and ends the programs that this instance owns. */
import { create } from "@bufbuild/protobuf";
import { Clock, Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import type { Budget, ProgramSpec } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import {
  BudgetSchema,
  EndCause,
  ProgramSpecSchema,
  Reason,
} from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { ProgramEndedSchema, ProgramOpenedSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { sliceOf } from "../../base/common/ids.ts";
import type { SliceHandover } from "../../membership/common/slice_handover.ts";
import type { IConfigurationSource } from "../../services/configuration/common/configuration_source.ts";
import type { ProgramKind } from "../../services/settings/common/gen/configuration.ts";
import type { DurableWriter } from "./durable_writer.ts";
import { Durability } from "./durable_writer.ts";
import type { JournalState } from "./journal_state.ts";
import type { ProgramFinder } from "./program_finder.ts";
import { Program } from "./program_store.ts";
import { notOwner, programEnded, unknownProgram } from "./call_errors.ts";

/** Budget granted in the record that opens a program, so that the first call needs no separate grant. */
const INITIAL_GRANT = { tokens: 1024, calls: 2 };
const ADMISSION_RETRY_AFTER_MS = 10_000;

export interface IEndProgramRequest {
  readonly programId: string;
  /** Customer that sent the request, or undefined if it comes from an operator or the system. */
  readonly customer: string | undefined;
  readonly cause: EndCause;
}

export interface IProgramServiceOptions {
  readonly state: JournalState;
  readonly finder: ProgramFinder;
  readonly writer: DurableWriter;
  readonly handover: SliceHandover;
  readonly configuration: IConfigurationSource;
}

export class ProgramService {
  readonly #opts: IProgramServiceOptions;

  constructor(opts: IProgramServiceOptions) {
    this.#opts = opts;
  }

  /** Opens a program. Idempotent: if the program exists, it is returned unchanged. */
  open(requested: ProgramSpec): Effect.Effect<Program, CallError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#awaitOwnership(requested.programId);
      const existing = this.#opts.state.programs.get(requested.programId);
      if (existing !== undefined) return yield* checkCustomer(existing, requested.customer);
      const kind = yield* this.#checkAdmission(requested);
      const now = yield* Clock.currentTimeMillis;
      const budget = limitBudget(requested.budget, kind);
      const spec = create(ProgramSpecSchema, { ...requested, budget, openedAtMs: now });
      const grants = [new Program(spec).ledger.makeGrant(spec.programId, INITIAL_GRANT)];
      const value = create(ProgramOpenedSchema, { spec, grants });
      const record = this.#opts.writer.makeRecord(sliceOf(spec.programId), { case: "opened", value });
      const durability = yield* this.#opts.writer.write(record);
      const program = this.#opts.state.programs.get(spec.programId);
      if (program !== undefined) return yield* checkCustomer(program, requested.customer);
      return yield* Effect.fail(durability === Durability.Rejected ? notOwner() : unknownProgram());
    });
  }

  /** Ends a program and its sub-programs. Idempotent. */
  end({ programId, customer, cause }: IEndProgramRequest): Effect.Effect<Program, CallError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#awaitOwnership(programId);
      const program = yield* this.#opts.finder.find(programId, customer);
      if (program.hasEnded) return program;
      const atMs = yield* Clock.currentTimeMillis;
      const value = create(ProgramEndedSchema, { programId, cause, atMs });
      const record = this.#opts.writer.makeRecord(program.slice, { case: "ended", value });
      const durability = yield* this.#opts.writer.write(record);
      if (durability === Durability.Rejected && !program.hasEnded) return yield* Effect.fail(notOwner());
      return program;
    });
  }

  /** Returns a program with its history. */
  get(programId: string, customer: string): Effect.Effect<Program, CallError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#awaitOwnership(programId);
      return yield* this.#opts.finder.find(programId, customer);
    });
  }

  #awaitOwnership(programId: string): Effect.Effect<void, CallError> {
    return Effect.flatMap(
      this.#opts.handover.awaitReady(sliceOf(programId)),
      (isReady) => isReady ? Effect.void : Effect.fail(notOwner()),
    );
  }

  #checkAdmission(requested: ProgramSpec): Effect.Effect<ProgramKind, CallError> {
    const { configuration, finder } = this.#opts;
    const kind = configuration.current?.programKinds[requested.kind];
    if (kind === undefined) {
      const detail = `there is no program kind ${requested.kind}`;
      return Effect.fail(new CallError(Reason.BAD_REQUEST, { detail }));
    }
    if (!configuration.preset.admitNewPrograms && requested.parentId === "") {
      const detail = `the preset ${configuration.presetName} admits no new programs`;
      return Effect.fail(new CallError(Reason.DRAINING, { retryAfterMs: ADMISSION_RETRY_AFTER_MS, detail }));
    }
    if (requested.parentId === "") return Effect.succeed(kind);
    return Effect.flatMap(
      finder.find(requested.parentId, requested.customer),
      (parent) => parent.hasEnded ? Effect.fail(programEnded("the parent has ended")) : Effect.succeed(kind),
    );
  }
}

/** Caps the requested budget at the limits of the program's kind. Values of 0 request the limit itself. */
function limitBudget(requested: Budget | undefined, kind: ProgramKind): Budget {
  const capped = (value: number | undefined, limit: number) =>
    Math.min(value === undefined || value === 0 ? limit : value, limit);
  return create(BudgetSchema, {
    generatedTokens: capped(requested?.generatedTokens, kind.generatedTokens),
    calls: capped(requested?.calls, kind.maxTurns),
    wallMs: capped(requested?.wallMs, kind.wallMs),
  });
}

function checkCustomer(program: Program, customer: string): Effect.Effect<Program, CallError> {
  return program.spec.customer === customer ? Effect.succeed(program) : Effect.fail(unknownProgram());
}
