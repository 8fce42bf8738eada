/** In-memory fake of a service's backend server that counts executions by key, with injectable faults. */
import { Effect, Fiber } from "effect";
import type {
  IServiceBackend,
  IServiceRequest,
  IServiceResponse,
} from "../../src/routing/common/service_backend.ts";
import { BackendError, BackendFailure } from "../../src/routing/common/model_engine.ts";

/** Request content that crashes the server. */
export const CRASHING_BODY = "crash-the-server";

export interface IServiceFaults {
  crashed: boolean;
  /** Refuses requests before executing them. */
  refusing: boolean;
  /** Executes requests but never answers. */
  hanging: boolean;
  /** Number of requests that are executed before their connection breaks. */
  cutsAfterEffect: number;
  delayMs: number;
}

/** Number of executions by idempotency key, shared by the backend servers of a service. */
export type ExecutionCounts = Map<string, number>;

export class ServiceCore implements IServiceBackend {
  readonly faults: IServiceFaults = {
    crashed: false,
    refusing: false,
    hanging: false,
    cutsAfterEffect: 0,
    delayMs: 2,
  };
  readonly id: string;
  readonly executionCounts: ExecutionCounts;
  /** Number of requests received. */
  requestCount = 0;

  constructor(id: string, executionCounts: ExecutionCounts = new Map()) {
    this.id = id;
    this.executionCounts = executionCounts;
  }

  /** Runs to completion even if the sender is interrupted, as on a remote server. */
  run(req: IServiceRequest): Effect.Effect<IServiceResponse, BackendError> {
    return Effect.flatMap(Effect.forkDetach(this.#execute(req)), Fiber.join);
  }

  #execute(req: IServiceRequest): Effect.Effect<IServiceResponse, BackendError> {
    return Effect.gen({ self: this }, function* () {
      if (this.faults.crashed) return yield* failWith(BackendFailure.NotSent);
      this.requestCount += 1;
      if (new TextDecoder().decode(req.body).includes(CRASHING_BODY)) {
        this.faults.crashed = true;
        return yield* failWith(BackendFailure.Broken);
      }
      if (this.faults.refusing) return yield* failWith(BackendFailure.Refused);
      if (this.faults.delayMs > 0) yield* Effect.sleep(this.faults.delayMs);
      const key = req.idempotencyKey === "" ? `${req.service}/${req.operation}` : req.idempotencyKey;
      this.executionCounts.set(key, (this.executionCounts.get(key) ?? 0) + 1);
      if (this.faults.hanging) return yield* Effect.never;
      if (this.faults.cutsAfterEffect > 0) {
        this.faults.cutsAfterEffect -= 1;
        return yield* failWith(BackendFailure.Broken);
      }
      return { status: 200, body: serviceAnswer(req.operation, req.body) };
    });
  }

  probe(): Effect.Effect<void, BackendError> {
    return Effect.suspend(() => this.faults.crashed ? failWith(BackendFailure.NotSent) : Effect.void);
  }
}

/** Returns the answer of every fake backend server to a request. */
export function serviceAnswer(operation: string, body: Uint8Array): Uint8Array {
  const request = JSON.parse(new TextDecoder().decode(body)) as unknown;
  return new TextEncoder().encode(JSON.stringify({ operation, request }));
}

function failWith(failure: BackendFailure): Effect.Effect<never, BackendError> {
  return Effect.fail(new BackendError(failure, { detail: failure }));
}
