/** Executes a call request on an engine or a service and converts the result into a turn. */
import { create } from "@bufbuild/protobuf";
import { Clock, Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import type { Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { CallKind, Reason, TurnSchema, TurnStatus } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { CallRequest, ModelCall, ServiceCall } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { IConfigurationSource } from "../../services/configuration/common/configuration_source.ts";
import type { Model, Operation } from "../../services/settings/common/gen/configuration.ts";
import type { ICharge } from "../../program/common/budget_ledger.ts";
import type { Program, ProgramStore } from "../../program/common/program_store.ts";
import type { CallRun } from "./call_run.ts";
import type { ModelDispatcher } from "./model_dispatcher.ts";
import type { ServiceOutcome } from "./service_dispatcher.ts";
import { ServiceDispatcher, ServiceOutcomeKind } from "./service_dispatcher.ts";
import {
  encodeMessages,
  encodeModelResponse,
  estimateTokens,
  historyOf,
  newMessages,
} from "./turn_content.ts";

const DEFAULT_MAX_TOKENS = 1024;
/** Lowest HTTP status code that denotes an error. */
const MIN_ERROR_STATUS = 400;

export interface ICallJob {
  readonly program: Program;
  readonly run: CallRun;
  readonly req: CallRequest;
  readonly charge: ICharge;
  readonly checkLease: Effect.Effect<void, CallError>;
}

export interface ICallRunner {
  /** Returns the largest amount that a call can charge to the budgets. */
  maxCharge(program: Program, req: CallRequest): Effect.Effect<ICharge, CallError>;
  /** Runs the call and returns the turn to record. */
  run(job: ICallJob): Effect.Effect<Turn, CallError>;
}

export interface ICallRunnerOptions {
  readonly configuration: IConfigurationSource;
  readonly programs: ProgramStore;
  readonly models: ModelDispatcher;
  readonly services: ServiceDispatcher;
}

export class CallRunner implements ICallRunner {
  readonly #opts: ICallRunnerOptions;

  constructor(opts: ICallRunnerOptions) {
    this.#opts = opts;
  }

  maxCharge(program: Program, { call }: CallRequest): Effect.Effect<ICharge, CallError> {
    if (call.case !== "model") return Effect.succeed({ tokens: 0, calls: 1 });
    return Effect.map(this.#model(call.value.model), (model) => {
      const requestedTokens = call.value.maxTokens === 0 ? DEFAULT_MAX_TOKENS : call.value.maxTokens;
      const remainingTokens = Math.min(
        ...this.#opts.programs.withAncestors(program).map(({ ledger }) => ledger.roomTokens),
      );
      return {
        tokens: Math.max(1, Math.min(requestedTokens, model.maxAnswerTokens, remainingTokens)),
        calls: 1,
      };
    });
  }

  run(job: ICallJob): Effect.Effect<Turn, CallError> {
    const { call } = job.req;
    if (call.case === "model") return this.#runModel(job, call.value);
    if (call.case === "service") return this.#runService(job, call.value);
    return Effect.fail(
      new CallError(Reason.BAD_REQUEST, { detail: "the call names no model and no service" }),
    );
  }

  #runModel(job: ICallJob, call: ModelCall): Effect.Effect<Turn, CallError> {
    return Effect.gen({ self: this }, function* () {
      const { program, run, charge } = job;
      const model = yield* this.#model(call.model);
      const added = yield* newMessages(program, call);
      const promptTokens = program.historyTokens + estimateTokens(added);
      if (promptTokens + charge.tokens > model.maxContextTokens) {
        const detail = `the history would exceed ${model.maxContextTokens} tokens`;
        return yield* Effect.fail(new CallError(Reason.TOO_LARGE, { detail }));
      }
      const kind = this.#opts.configuration.current?.programKinds[program.spec.kind];
      const weight = this.#opts.configuration.current?.customers[program.spec.customer]?.weight ?? 1;
      const { result, engineId } = yield* this.#opts.models.dispatch({
        run,
        messages: [...historyOf(program), ...added],
        maxTokens: charge.tokens,
        checkLease: job.checkLease,
        admission: {
          programId: program.id,
          model: call.model,
          customer: program.spec.customer,
          promptTokens,
          expectedAnswerTokens: charge.tokens,
          isFirstCall: program.historyTokens === 0,
          class: kind?.class ?? 0,
          deadlineMs: program.spec.deadlineMs,
          openedAtMs: program.spec.openedAtMs,
          weight,
          queuedAtMs: yield* Clock.currentTimeMillis,
        },
      });
      const { promptTokens: prompt, generatedTokens, cachedTokens } = result.usage;
      return create(TurnSchema, {
        step: run.step,
        kind: CallKind.MODEL,
        target: call.model,
        request: encodeMessages(added),
        answer: encodeModelResponse({
          content: run.text,
          promptTokens: prompt,
          generatedTokens,
          cachedTokens,
        }),
        status: TurnStatus.SUCCEEDED,
        generatedTokens: Math.min(generatedTokens, charge.tokens),
        historyTokens: prompt + generatedTokens,
        backendId: engineId,
        fingerprint: run.fingerprint,
        atMs: yield* Clock.currentTimeMillis,
      });
    });
  }

  #runService(job: ICallJob, call: ServiceCall): Effect.Effect<Turn, CallError> {
    return Effect.gen({ self: this }, function* () {
      const operation = yield* this.#operation(call);
      const { program, run, checkLease } = job;
      const serviceJob = {
        program,
        step: run.step,
        fingerprint: run.fingerprint,
        call,
        operation,
        checkLease,
      };
      const outcome = yield* this.#opts.services.dispatch(serviceJob);
      const turn = toServiceTurn(job, { call, outcome, operation });
      turn.atMs = yield* Clock.currentTimeMillis;
      return turn;
    });
  }

  #model(name: string): Effect.Effect<Model, CallError> {
    const model = this.#opts.configuration.current?.models[name];
    if (model !== undefined) return Effect.succeed(model);
    return Effect.fail(new CallError(Reason.UNKNOWN_MODEL, { detail: `there is no model ${name}` }));
  }

  #operation({ service, operation }: ServiceCall): Effect.Effect<Operation, CallError> {
    const found = this.#opts.configuration.current?.services[service]?.operations[operation];
    if (found !== undefined) return Effect.succeed(found);
    return Effect.fail(
      new CallError(Reason.UNKNOWN_SERVICE, { detail: `there is no operation ${service}/${operation}` }),
    );
  }
}

function toServiceTurn(
  { program, run }: ICallJob,
  { call, outcome, operation }: { call: ServiceCall; outcome: ServiceOutcome; operation: Operation },
): Turn {
  const key = operation.repeatable
    ? ""
    : ServiceDispatcher.idempotencyKeyOf({ program, step: run.step, call });
  const base = {
    step: run.step,
    kind: CallKind.SERVICE,
    target: `${call.service}/${call.operation}`,
    request: call.body,
    idempotencyKey: key,
    fingerprint: run.fingerprint,
  };
  switch (outcome.kind) {
    case ServiceOutcomeKind.Unknown:
      return create(TurnSchema, { ...base, status: TurnStatus.OUTCOME_UNKNOWN });
    case ServiceOutcomeKind.Recorded: {
      const { status, answer, httpStatus, backendId } = outcome.turn;
      return create(TurnSchema, { ...base, status, answer, httpStatus, backendId });
    }
    case ServiceOutcomeKind.Reply: {
      const { reply, backendId } = outcome;
      const status = reply.status >= MIN_ERROR_STATUS ? TurnStatus.FAILED : TurnStatus.SUCCEEDED;
      return create(TurnSchema, { ...base, status, answer: reply.body, httpStatus: reply.status, backendId });
    }
  }
}
