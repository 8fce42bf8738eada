/** Dispatches calls to plain services: repeatable operations with retries, all others at most once. */
import { create } from "@bufbuild/protobuf";
import { Clock, Effect, Result } from "effect";
import { CallError } from "../../base/common/errors.ts";
import type { Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Record } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import {
  IntentCancelledSchema,
  IntentRecordedSchema,
  KeyState,
} from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { ServiceCall } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { IDecisionLog } from "../../services/logging/common/decision_log.ts";
import { DecisionKind } from "../../services/logging/common/decision_log.ts";
import type { Operation } from "../../services/settings/common/gen/configuration.ts";
import type { DurableWriter } from "../../program/common/durable_writer.ts";
import type { IIdempotencyKeyEntry } from "../../program/common/idempotency_key_table.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import type { Program } from "../../program/common/program_store.ts";
import { notOwner } from "../../program/common/call_errors.ts";
import type { BackendRegistry, IServiceBackendState } from "../../routing/common/backend_registry.ts";
import { BackendError, BackendFailure } from "../../routing/common/model_engine.ts";
import type { IServiceRequest, IServiceResponse } from "../../routing/common/service_backend.ts";
import { servicePayloadFingerprint } from "./fingerprint.ts";
import type { Quarantine } from "./quarantine.ts";
import type { RetryBudget } from "./retry_budget.ts";

const MAX_ATTEMPTS = 4;
const RETRY_BACKOFF_MS = 20;
const RETRY_AFTER_MS = 1000;
/** Lowest HTTP status code that denotes a server error. */
const MIN_SERVER_ERROR_STATUS = 500;

export interface IServiceJob {
  readonly program: Program;
  readonly step: number;
  readonly fingerprint: bigint;
  readonly call: ServiceCall;
  readonly operation: Operation;
  readonly checkLease: Effect.Effect<void, CallError>;
}

/** How a service call ended. */
export type ServiceOutcome =
  | { readonly kind: ServiceOutcomeKind.Reply; readonly reply: IServiceResponse; readonly backendId: string }
  | { readonly kind: ServiceOutcomeKind.Recorded; readonly turn: Turn }
  | { readonly kind: ServiceOutcomeKind.Unknown; readonly detail: string };

export enum ServiceOutcomeKind {
  Reply = "reply",
  /** A call with the same key completed earlier; this is its recorded turn. */
  Recorded = "recorded",
  /** The call may have run, so it is not sent again. */
  Unknown = "unknown",
}

export interface IServiceDispatcherOptions {
  readonly registry: BackendRegistry;
  readonly state: JournalState;
  readonly writer: DurableWriter;
  readonly retries: RetryBudget;
  readonly quarantine: Quarantine;
  readonly decisions: IDecisionLog;
  readonly presetName: () => string;
}

export class ServiceDispatcher {
  readonly #opts: IServiceDispatcherOptions;

  constructor(opts: IServiceDispatcherOptions) {
    this.#opts = opts;
  }

  dispatch(job: IServiceJob): Effect.Effect<ServiceOutcome, CallError> {
    return job.operation.repeatable ? this.#runRepeatable(job) : this.#runOnce(job);
  }

  /** Returns the key of a non-repeatable call. Uses the caller's key if given, else program and step. */
  static idempotencyKeyOf({ program, step, call }: Pick<IServiceJob, "program" | "step" | "call">): string {
    const callKey = call.idempotencyKey === "" ? `${program.id}#${step}` : call.idempotencyKey;
    return `${program.spec.customer}/${call.service}/${call.operation}/${callKey}`;
  }

  #runRepeatable(job: IServiceJob): Effect.Effect<ServiceOutcome, CallError> {
    return Effect.gen({ self: this }, function* () {
      this.#opts.retries.recordFirstAttempt();
      const excluded = new Set<string>();
      for (let attempt = 1;; attempt++) {
        yield* job.checkLease;
        const outcome = yield* Effect.result(this.#attempt(job, { excluded, key: "" }));
        if (Result.isSuccess(outcome)) return outcome.success;
        const err = outcome.failure;
        if (err instanceof CallError) return yield* Effect.fail(err);
        if (attempt >= MAX_ATTEMPTS || !this.#opts.retries.tryWithdraw()) {
          return yield* Effect.fail(attemptsFailed(err));
        }
        this.#log(job, { kind: DecisionKind.Retry, choice: "", reason: err.message });
        yield* Effect.sleep(RETRY_BACKOFF_MS * attempt);
      }
    });
  }

  /**
   * Runs a non-repeatable call. The call is sent only after the journal has accepted its intent as the
   * first one for its key. Once any byte may have been sent, the call is never sent again.
   */
  #runOnce(job: IServiceJob): Effect.Effect<ServiceOutcome, CallError> {
    return Effect.gen({ self: this }, function* () {
      const key = ServiceDispatcher.idempotencyKeyOf(job);
      const known = this.#opts.state.idempotencyKeys.get(key);
      if (known !== undefined) return yield* this.#resolveKnownKey(job, known);
      const cancel = this.#cancelRecord(job, key);
      const claimed = yield* this.#opts.writer.writeToJournal(yield* this.#intentRecord(job, key), cancel);
      if (!claimed) return yield* this.#resolveRejectedIntent(job, key);
      const sent = yield* Effect.result(Effect.andThen(job.checkLease, this.#sendOnce(job, key)));
      if (Result.isSuccess(sent)) return sent.success;
      // Nothing was sent, so the intent is cancelled to free the key for the caller's next attempt.
      this.#opts.writer.enqueue(cancel);
      return yield* Effect.fail(sent.failure);
    });
  }

  /** Tries backend servers until one may have received the request. Fails only if none has. */
  #sendOnce(job: IServiceJob, key: string): Effect.Effect<ServiceOutcome, CallError> {
    return Effect.gen({ self: this }, function* () {
      const excluded = new Set<string>();
      for (let attempt = 1;; attempt++) {
        const outcome = yield* Effect.result(this.#attempt(job, { excluded, key }));
        if (Result.isSuccess(outcome)) return outcome.success;
        const err = outcome.failure;
        if (err instanceof CallError) return yield* Effect.fail(err);
        if (!err.isNotRun) return { kind: ServiceOutcomeKind.Unknown, detail: err.message };
        if (attempt >= MAX_ATTEMPTS) return yield* Effect.fail(attemptsFailed(err));
        this.#log(job, { kind: DecisionKind.Retry, choice: "", reason: err.message });
      }
    });
  }

  #attempt(
    job: IServiceJob,
    opts: { excluded: Set<string>; key: string },
  ): Effect.Effect<ServiceOutcome, CallError | BackendError> {
    return Effect.gen({ self: this }, function* () {
      const { call } = job;
      const fingerprint = servicePayloadFingerprint(`${call.service}/${call.operation}`, call.body);
      yield* this.#opts.quarantine.check(fingerprint);
      const backend = yield* this.#choose(job, opts.excluded);
      backend.inFlight += 1;
      const req: IServiceRequest = {
        service: job.call.service,
        operation: job.call.operation,
        body: job.call.body,
        idempotencyKey: opts.key,
        isRepeatable: job.operation.repeatable,
      };
      const attempt = this.#send(backend, { req, timeoutMs: job.operation.timeoutMs });
      const sent = this.#opts.quarantine.runAttempt(fingerprint, { backendId: backend.id, attempt });
      const releaseSlot = Effect.sync(() => {
        backend.inFlight -= 1;
      });
      const reply = yield* Effect.ensuring(sent, releaseSlot).pipe(
        Effect.tapError((err) => this.#handleFailure(err, { backend, excluded: opts.excluded, fingerprint })),
      );
      return { kind: ServiceOutcomeKind.Reply, reply, backendId: backend.id };
    });
  }

  /** Excludes the backend server from further attempts. Records a crash if it is no longer reachable. */
  #handleFailure(
    err: BackendError,
    attempt: { backend: IServiceBackendState; excluded: Set<string>; fingerprint: bigint },
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      attempt.excluded.add(attempt.backend.id);
      yield* this.#opts.registry.recordServiceFailure(attempt.backend);
      if (err.failure !== BackendFailure.Broken) return;
      const probe = yield* Effect.result(attempt.backend.client.probe());
      const hasCrashed = Result.isFailure(probe) && probe.failure.failure === BackendFailure.NotSent;
      if (!hasCrashed) return;
      const bootId = String(yield* Clock.currentTimeMillis);
      yield* this.#opts.quarantine.recordCrash(attempt.fingerprint, {
        backendId: attempt.backend.id,
        bootId,
      });
    });
  }

  #send(
    backend: IServiceBackendState,
    { req, timeoutMs }: { req: IServiceRequest; timeoutMs: number },
  ): Effect.Effect<IServiceResponse, BackendError> {
    const reply = Effect.timeoutOrElse(backend.client.run(req), {
      duration: timeoutMs,
      orElse: () =>
        Effect.fail(new BackendError(BackendFailure.TimedOut, { detail: `no answer from ${backend.id}` })),
    });
    return Effect.flatMap(reply, (response) => {
      const isFailure = response.status >= MIN_SERVER_ERROR_STATUS;
      if (!isFailure) return Effect.succeed(response);
      // A server error does not show whether the operation took effect.
      const detail = `${backend.id} answered ${response.status}`;
      return Effect.fail(new BackendError(BackendFailure.Broken, { detail }));
    });
  }

  #choose(job: IServiceJob, excluded: ReadonlySet<string>): Effect.Effect<IServiceBackendState, CallError> {
    return Effect.gen({ self: this }, function* () {
      const { service } = job.call;
      const backend = yield* this.#opts.registry.chooseServiceBackend(service, excluded);
      if (backend === undefined) {
        const detail = `no backend server offers ${service} now`;
        this.#log(job, { kind: DecisionKind.Refusal, choice: "", reason: detail });
        return yield* Effect.fail(new CallError(Reason.NO_BACKEND, { retryAfterMs: RETRY_AFTER_MS, detail }));
      }
      const candidates = this.#opts.registry.services.filter((state) => state.service === service);
      const scores = candidates.map(({ id, inFlight, condition }) => ({ id, inFlight, condition }));
      const reason = "least in flight";
      this.#log(job, { kind: DecisionKind.Service, choice: backend.id, reason, candidates: scores });
      return backend;
    });
  }

  /** The journal rejected the intent: it has another one for the key, or this instance lost the program. */
  #resolveRejectedIntent(job: IServiceJob, key: string): Effect.Effect<ServiceOutcome, CallError> {
    const entry = this.#opts.state.idempotencyKeys.get(key);
    if (entry !== undefined) return this.#resolveKnownKey(job, entry);
    return Effect.fail(notOwner());
  }

  #resolveKnownKey(job: IServiceJob, entry: IIdempotencyKeyEntry): Effect.Effect<ServiceOutcome, CallError> {
    const isOwnStep = entry.programId === job.program.id && entry.step === job.step;
    if (!isOwnStep && entry.fingerprint !== job.fingerprint) {
      const detail = "the idempotency key belongs to a different request";
      return Effect.fail(new CallError(Reason.KEY_CONFLICT, { detail }));
    }
    if (entry.state === KeyState.DONE && entry.turn !== undefined) {
      return Effect.succeed({ kind: ServiceOutcomeKind.Recorded, turn: entry.turn });
    }
    const detail = "an earlier attempt was started and its outcome was not recorded";
    if (isOwnStep) return Effect.succeed({ kind: ServiceOutcomeKind.Unknown, detail });
    const opts = {
      ran: Ran.UNKNOWN,
      retryAfterMs: RETRY_AFTER_MS,
      detail: "the key's first request is under way",
    };
    return Effect.fail(new CallError(Reason.OUTCOME_UNKNOWN, opts));
  }

  #intentRecord({ program, step, fingerprint }: IServiceJob, key: string): Effect.Effect<Record> {
    return Effect.map(Clock.currentTimeMillis, (atMs) => {
      const value = create(IntentRecordedSchema, { programId: program.id, step, key, fingerprint, atMs });
      return this.#opts.writer.makeRecord(program.slice, { case: "intent", value });
    });
  }

  #cancelRecord({ program, step }: IServiceJob, key: string): Record {
    const value = create(IntentCancelledSchema, { programId: program.id, step, key });
    return this.#opts.writer.makeRecord(program.slice, { case: "intentCancelled", value });
  }

  #log(
    job: IServiceJob,
    decision: { kind: DecisionKind; choice: string; reason: string; candidates?: readonly object[] },
  ): void {
    const preset = this.#opts.presetName();
    this.#opts.decisions.write({
      programId: job.program.id,
      step: job.step,
      preset,
      candidates: [],
      ...decision,
    });
  }
}

function attemptsFailed(err: BackendError): CallError {
  const ran = err.isNotRun ? Ran.NOT_RUN : Ran.UNKNOWN;
  return new CallError(Reason.BACKEND_FAILED, {
    ran,
    retryAfterMs: RETRY_AFTER_MS,
    detail: err.message,
    cause: err,
  });
}
