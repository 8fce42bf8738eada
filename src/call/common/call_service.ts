/**
 * Runs the calls of the programs that this instance owns. Calls run in step order and within their budgets,
 * and each one is recorded before its caller receives the complete response.
 */
import { create } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import type { Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { Ran, Reason, TurnStatus } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { BusyProgram, CallRequest } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { BusyProgramSchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { sliceOf } from "../../base/common/ids.ts";
import type { SliceHandover } from "../../membership/common/slice_handover.ts";
import type { Membership } from "../../membership/common/membership.ts";
import type { IConfigurationSource } from "../../services/configuration/common/configuration_source.ts";
import type { BusyPrograms } from "../../program/common/busy_programs.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import type { ProgramFinder } from "../../program/common/program_finder.ts";
import type { Program } from "../../program/common/program_store.ts";
import { notOwner, programEnded } from "../../program/common/call_errors.ts";
import type { IBudgetEnforcer } from "./budget_enforcer.ts";
import { CallRun } from "./call_run.ts";
import type { ICallResult } from "./call_run.ts";
import { requestFingerprint } from "./fingerprint.ts";
import type { ICallRunner } from "./call_runner.ts";
import { answerTokens } from "./turn_content.ts";
import type { ITurnRecorder } from "./turn_recorder.ts";

export interface ICallServiceOptions {
  readonly state: JournalState;
  readonly finder: ProgramFinder;
  readonly membership: Membership;
  readonly handover: SliceHandover;
  readonly busy: BusyPrograms;
  readonly configuration: IConfigurationSource;
  readonly budgets: IBudgetEnforcer;
  readonly runner: ICallRunner;
  readonly recorder: ITurnRecorder;
  /** Scope of the running calls, so that they continue after their callers disconnect. */
  readonly scope: Scope.Scope;
}

export class CallService {
  readonly #opts: ICallServiceOptions;
  readonly #running = new Map<string, CallRun>();

  constructor(opts: ICallServiceOptions) {
    this.#opts = opts;
  }

  /** Number of calls in progress. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Returns the calls in progress in the given slices, to be reported to the slices' next owner. */
  busyProgramsIn(slices: readonly number[]): BusyProgram[] {
    const requestedSlices = new Set(slices);
    const runs = [...this.#running.values()].filter(({ programId }) =>
      requestedSlices.has(sliceOf(programId))
    );
    return runs.map(({ programId, step, reservedTokens }) =>
      create(BusyProgramSchema, { programId, step, reservedTokens })
    );
  }

  isRunning(programId: string): boolean {
    return this.#running.has(programId);
  }

  /** Starts a call, joins it if it is already running, or replays it if it is already recorded. */
  run(req: CallRequest): Effect.Effect<CallRun, CallError> {
    return Effect.gen({ self: this }, function* () {
      const joined = this.#joinRunning(req);
      if (joined !== undefined) return yield* joined;
      yield* this.#awaitOwnership(req.programId);
      yield* this.#opts.busy.awaitCompletion(req.programId);
      const program = yield* this.#opts.finder.find(req.programId, req.customer);
      const rejoined = this.#joinRunning(req);
      if (rejoined !== undefined) return yield* rejoined;
      const fingerprint = requestFingerprint(req);
      if (req.step < program.nextStep) return yield* replay(program, { req, fingerprint });
      yield* this.#checkStart(program, req);
      const run = new CallRun({ programId: program.id, step: req.step, fingerprint });
      this.#running.set(program.id, run);
      yield* Effect.forkIn(this.#execute(program, { run, req }), this.#opts.scope);
      return run;
    });
  }

  /**
   * Returns the program's running call if the request is a retry of it, and an error if the request conflicts
   * with it. Returns undefined if no call of the customer's program is running or the step is an earlier one.
   */
  #joinRunning(req: CallRequest): Effect.Effect<CallRun, CallError> | undefined {
    const run = this.#running.get(req.programId);
    const program = this.#opts.state.programs.get(req.programId);
    if (run === undefined || program?.spec.customer !== req.customer) return undefined;
    if (run.step === req.step && run.fingerprint === requestFingerprint(req)) return Effect.succeed(run);
    if (req.step < run.step) return undefined;
    const reason = run.step === req.step ? Reason.STEP_CONFLICT : Reason.WRONG_STEP;
    const detail = `step ${run.step} is running`;
    return Effect.fail(new CallError(reason, { detail, expectedStep: run.step }));
  }

  #awaitOwnership(programId: string): Effect.Effect<void, CallError> {
    return Effect.gen({ self: this }, function* () {
      const isReady = yield* this.#opts.handover.awaitReady(sliceOf(programId));
      if (!isReady) yield* Effect.fail(notOwner());
    });
  }

  #checkStart(program: Program, req: CallRequest): Effect.Effect<void, CallError> {
    return Effect.gen({ self: this }, function* () {
      if (req.step > program.nextStep) {
        const detail = `the next step is ${program.nextStep}`;
        return yield* Effect.fail(
          new CallError(Reason.WRONG_STEP, { detail, expectedStep: program.nextStep }),
        );
      }
      if (program.hasEnded) {
        return yield* Effect.fail(programEnded("the program has ended"));
      }
      const kind = this.#opts.configuration.current?.programKinds[program.spec.kind];
      if (kind !== undefined && req.step > kind.maxTurns) {
        return yield* Effect.fail(
          new CallError(Reason.TURN_LIMIT, { detail: `the kind allows ${kind.maxTurns} calls` }),
        );
      }
    });
  }

  #execute(program: Program, { run, req }: { run: CallRun; req: CallRequest }): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const outcome = yield* Effect.exit(this.#runWithinBudget(program, { run, req }));
      if (this.#opts.recorder.owns(program)) {
        this.#running.delete(program.id);
        run.finish(outcome);
        return;
      }
      run.finish(outcome);
      // The handover may have reported the call as running, so the new owner must be notified when it ends.
      yield* this.#opts.recorder.notifyCallEnded(program);
      this.#running.delete(program.id);
    });
  }

  #runWithinBudget(
    program: Program,
    { run, req }: { run: CallRun; req: CallRequest },
  ): Effect.Effect<ICallResult, CallError> {
    const { runner, budgets, recorder } = this.#opts;
    return Effect.gen({ self: this }, function* () {
      const charge = yield* runner.maxCharge(program, req);
      run.reservedTokens = charge.tokens;
      const work = Effect.gen({ self: this }, function* () {
        const checkLease = this.#checkLease(program);
        const turn = yield* budgets.withTimeLimit(
          program,
          runner.run({ program, run, req, charge, checkLease }),
        );
        const isReplicatedOnly = yield* recorder.record(program, {
          turn,
          grants: budgets.grantsForNextCall(program, charge),
        });
        yield* failIfOutcomeUnknown(turn);
        return { turn, isReplicatedOnly };
      });
      return yield* budgets.withReservation(program, { charge, work });
    });
  }

  /** Fails unless this instance still owns the program and its lease permits it to dispatch. */
  #checkLease(program: Program): Effect.Effect<void, CallError> {
    const epoch = this.#opts.state.views.current?.epochOf(program.slice);
    return Effect.gen({ self: this }, function* () {
      const isSameEpoch = this.#opts.state.views.current?.epochOf(program.slice) === epoch;
      const mayDispatch = yield* this.#opts.membership.mayDispatch();
      if (!isSameEpoch || !mayDispatch) yield* Effect.fail(notOwner("the lease on the program has lapsed"));
    });
  }
}

function failIfOutcomeUnknown(turn: Turn): Effect.Effect<void, CallError> {
  if (turn.status !== TurnStatus.OUTCOME_UNKNOWN) return Effect.void;
  return Effect.fail(
    new CallError(Reason.OUTCOME_UNKNOWN, {
      ran: Ran.UNKNOWN,
      detail: "the call may have run; it is not sent again",
    }),
  );
}

/** Replays the recorded response of an earlier step. Fails if that step had a different request. */
function replay(
  program: Program,
  { req, fingerprint }: { req: CallRequest; fingerprint: bigint },
): Effect.Effect<CallRun, CallError> {
  const turn = program.turns[req.step - 1];
  if (turn === undefined || turn.fingerprint !== fingerprint) {
    const detail = "the step was run with a different request";
    return Effect.fail(new CallError(Reason.STEP_CONFLICT, { detail, expectedStep: program.nextStep }));
  }
  return Effect.as(failIfOutcomeUnknown(turn), CallRun.replay(turn, answerTokens(turn)));
}
