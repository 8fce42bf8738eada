/** Client interface of backend servers of plain (non-model) services. */
import type { Effect } from "effect";
import type { BackendError } from "./model_engine.ts";

export interface IServiceRequest {
  readonly service: string;
  readonly operation: string;
  readonly body: Uint8Array;
  /** Forwarded to the backend server; empty for repeatable operations. */
  readonly idempotencyKey: string;
  readonly isRepeatable: boolean;
}

export interface IServiceResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

export interface IServiceBackend {
  /** Executes an operation. A response with an error status is a success value, not a failure. */
  run(req: IServiceRequest): Effect.Effect<IServiceResponse, BackendError>;
  /** Succeeds if the backend server responds, with any status. */
  probe(): Effect.Effect<void, BackendError>;
}

/** Creates the client for the plain service's backend server at `address`. */
export type ServiceBackendFactory = (address: string) => IServiceBackend;
