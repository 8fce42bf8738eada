/** Dispatches model calls to engines, with admission, retries, stream resumption and crash quarantine. */
import type { Scope } from "effect";
import { Clock, Effect, Result } from "effect";
import { CallError } from "../../base/common/errors.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Message } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { IDecisionLog } from "../../services/logging/common/decision_log.ts";
import { DecisionKind } from "../../services/logging/common/decision_log.ts";
import type { BackendRegistry } from "../../routing/common/backend_registry.ts";
import type { EngineAdmission, IAdmissionRequest } from "../../routing/common/engine_admission.ts";
import type { IEngineChoice } from "../../routing/common/engine_chooser.ts";
import type { EngineState } from "../../routing/common/engine_state.ts";
import { BackendCondition } from "../../routing/common/engine_state.ts";
import type { IGenerateRequest, IGenerateResult } from "../../routing/common/model_engine.ts";
import { BackendError, BackendFailure } from "../../routing/common/model_engine.ts";
import type { ICallPriorityPolicy } from "../../routing/common/call_priority.ts";
import type { CallRun } from "./call_run.ts";
import { promptFingerprint } from "./fingerprint.ts";
import type { Quarantine } from "./quarantine.ts";
import type { RetryBudget } from "./retry_budget.ts";

const MAX_ATTEMPTS = 4;
const MAX_RESUMES = 2;
const RETRY_BACKOFF_MS = 20;
const RETRY_AFTER_MS = 1000;
/** Smallest KV cache that is worth transferring, in tokens. */
const MIN_IMPORTED_TOKENS = 200;

export interface IModelJob {
  readonly run: CallRun;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  readonly admission: Omit<IAdmissionRequest, "excluded">;
  /** Runs immediately before each attempt. Fails if this instance must not dispatch. */
  readonly checkLease: Effect.Effect<void, CallError>;
}

export interface IModelOutcome {
  readonly result: IGenerateResult;
  readonly engineId: string;
}

export interface IModelDispatcherOptions {
  readonly registry: BackendRegistry;
  readonly admission: EngineAdmission;
  readonly priorityPolicy: ICallPriorityPolicy;
  readonly retries: RetryBudget;
  readonly quarantine: Quarantine;
  readonly decisions: IDecisionLog;
  readonly presetName: () => string;
  /** Identifies this process and makes its attempt ids unique across instances and restarts. */
  readonly incarnation: string;
  readonly scope: Scope.Scope;
}

export class ModelDispatcher {
  readonly #opts: IModelDispatcherOptions;
  #lastAttempt = 0;

  constructor(opts: IModelDispatcherOptions) {
    this.#opts = opts;
  }

  dispatch(job: IModelJob): Effect.Effect<IModelOutcome, CallError> {
    return Effect.gen({ self: this }, function* () {
      this.#opts.retries.recordFirstAttempt();
      const excluded = new Set<string>();
      const fingerprint = promptFingerprint(job.admission.model, job.messages);
      for (let attempt = 1;; attempt++) {
        yield* this.#checkQuarantine(job, fingerprint);
        const outcome = yield* Effect.result(this.#attempt(job, { excluded, fingerprint }));
        if (Result.isSuccess(outcome)) return outcome.success;
        if (outcome.failure instanceof CallError) return yield* Effect.fail(outcome.failure);
        yield* this.#checkRetry(outcome.failure, attempt);
        this.#logRetry(job, outcome.failure);
        job.run.restart();
        yield* Effect.sleep(RETRY_BACKOFF_MS * attempt);
      }
    });
  }

  #checkQuarantine(job: IModelJob, fingerprint: bigint): Effect.Effect<void, CallError> {
    return Effect.tapError(
      this.#opts.quarantine.check(fingerprint),
      (err) =>
        Effect.sync(() => this.#log(job, { kind: DecisionKind.Quarantine, choice: "", reason: err.message })),
    );
  }

  /** Fails if the call may not be retried. */
  #checkRetry(err: BackendError, attempt: number): Effect.Effect<void, CallError> {
    const isFinal = err.failure === BackendFailure.Rejected || attempt >= MAX_ATTEMPTS;
    if (!isFinal && this.#opts.retries.tryWithdraw()) return Effect.void;
    const ran = err.isNotRun || err.failure === BackendFailure.Rejected ? Ran.NOT_RUN : Ran.UNKNOWN;
    const retryAfterMs = err.failure === BackendFailure.Rejected ? 0 : RETRY_AFTER_MS;
    return Effect.fail(
      new CallError(Reason.BACKEND_FAILED, { ran, retryAfterMs, detail: err.message, cause: err }),
    );
  }

  #attempt(
    job: IModelJob,
    opts: { excluded: Set<string>; fingerprint: bigint },
  ): Effect.Effect<IModelOutcome, CallError | BackendError> {
    return Effect.gen({ self: this }, function* () {
      const choice = yield* this.#admit(job, opts.excluded);
      const { engine } = choice;
      const startedAt = yield* Clock.currentTimeMillis;
      let durationMs: number | undefined;
      const bootId = engine.loadReport?.bootId ?? "";
      const body = Effect.gen({ self: this }, function* () {
        yield* this.#importCache(job, engine);
        const attempt = Effect.andThen(job.checkLease, this.#generate(job, engine));
        const result = yield* this.#opts.quarantine.runAttempt(opts.fingerprint, {
          backendId: engine.id,
          attempt,
        });
        durationMs = (yield* Clock.currentTimeMillis) - startedAt;
        const { promptTokens, generatedTokens } = result.usage;
        engine.cache.recordCall(job.admission.programId, promptTokens + generatedTokens);
        return { result, engineId: engine.id };
      });
      const guarded = Effect.tapError(
        body,
        (err) =>
          err instanceof BackendError ? this.#handleFailure(err, { engine, bootId, ...opts }) : Effect.void,
      );
      return yield* Effect.ensuring(
        guarded,
        Effect.sync(() => this.#opts.admission.release(engine, durationMs)),
      );
    });
  }

  /** Imports the program's KV cache from a leaving engine. If that fails, the call proceeds without it. */
  #importCache(job: IModelJob, engine: EngineState): Effect.Effect<void> {
    const { programId } = job.admission;
    if (engine.cache.expectedTokens(programId) > 0) return Effect.void;
    const source = this.#opts.registry.engines.find(({ condition, cache }) =>
      condition === BackendCondition.Leaving && cache.expectedTokens(programId) >= MIN_IMPORTED_TOKENS
    );
    if (source === undefined) return Effect.void;
    const tokens = source.cache.expectedTokens(programId);
    return engine.client.importKv(programId, source.address).pipe(
      Effect.flatMap(() => {
        engine.cache.recordCall(programId, tokens);
        source.cache.remove(programId);
        this.#log(job, {
          kind: DecisionKind.Kv,
          choice: engine.id,
          reason: `import from leaving ${source.id}`,
        });
        return source.client.releaseKv([programId]);
      }),
      Effect.ignore,
    );
  }

  #admit(job: IModelJob, excluded: ReadonlySet<string>): Effect.Effect<IEngineChoice, CallError> {
    return this.#opts.admission.acquire({ ...job.admission, excluded }).pipe(
      Effect.tap(({ engine, reason, candidates }) =>
        Effect.sync(() =>
          this.#log(job, { kind: DecisionKind.Engine, choice: engine.id, reason, candidates })
        )
      ),
      Effect.tapError((err) =>
        Effect.sync(() => this.#log(job, { kind: DecisionKind.Refusal, choice: "", reason: err.message }))
      ),
    );
  }

  /** Runs one attempt on an engine. An interrupted stream is resumed after its last token. */
  #generate(job: IModelJob, engine: EngineState): Effect.Effect<IGenerateResult, BackendError> {
    return Effect.gen({ self: this }, function* () {
      this.#lastAttempt += 1;
      const now = yield* Clock.currentTimeMillis;
      const req: IGenerateRequest = {
        attemptId: `${this.#opts.incarnation}-${this.#lastAttempt}`,
        programId: job.admission.programId,
        model: job.admission.model,
        messages: job.messages,
        maxTokens: job.maxTokens,
        priority: this.#opts.priorityPolicy.priority(job.admission, now),
      };
      let lastEventId: number | undefined;
      for (let resume = 0;; resume++) {
        const attempt = engine.client.generate({ ...req, lastEventId }, ({ eventId, text }) => {
          // After a resume, an engine may repeat events.
          if (lastEventId !== undefined && eventId <= lastEventId) return;
          lastEventId = eventId;
          job.run.addToken(text);
        });
        const outcome = yield* Effect.result(attempt);
        if (Result.isSuccess(outcome)) return outcome.success;
        const { failure } = outcome.failure;
        const isInterrupted = failure === BackendFailure.Broken || failure === BackendFailure.TimedOut;
        if (isInterrupted && lastEventId !== undefined && resume < MAX_RESUMES) continue;
        if (isInterrupted) {
          yield* Effect.forkIn(Effect.ignore(engine.client.cancel(req.attemptId)), this.#opts.scope);
        }
        return yield* Effect.fail(outcome.failure);
      }
    });
  }

  /** Excludes the engine from further attempts. Records a crash if it has restarted or is unreachable. */
  #handleFailure(
    err: BackendError,
    attempt: { engine: EngineState; bootId: string; excluded: Set<string>; fingerprint: bigint },
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (err.failure === BackendFailure.Rejected) return;
      attempt.excluded.add(attempt.engine.id);
      if (err.failure === BackendFailure.Refused) return;
      const report = yield* Effect.result(attempt.engine.client.getLoadReport());
      const hasCrashed = Result.isFailure(report)
        ? report.failure.failure === BackendFailure.NotSent
        : report.success.bootId !== attempt.bootId;
      if (!hasCrashed) return;
      this.#opts.registry.markSuspect(attempt.engine);
      if (err.isNotRun) return;
      yield* this.#opts.quarantine.recordCrash(attempt.fingerprint, {
        backendId: attempt.engine.id,
        bootId: attempt.bootId,
      });
    });
  }

  #logRetry(job: IModelJob, err: BackendError): void {
    this.#log(job, { kind: DecisionKind.Retry, choice: "", reason: err.message });
  }

  #log(
    job: IModelJob,
    decision: { kind: DecisionKind; choice: string; reason: string; candidates?: readonly object[] },
  ): void {
    const { programId } = job.admission;
    const preset = this.#opts.presetName();
    this.#opts.decisions.write({ programId, step: job.run.step, preset, candidates: [], ...decision });
  }
}
