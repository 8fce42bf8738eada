/** Plain services, as the system uses them. */
import type { Effect } from "effect";
import type { BackendError } from "./model_engine.ts";

export interface IServiceRequest {
  readonly service: string;
  readonly operation: string;
  readonly body: Uint8Array;
  /** Passed on to the backend server; empty for repeatable operations. */
  readonly idempotencyKey: string;
  readonly isRepeatable: boolean;
}

export interface IServiceReply {
  readonly status: number;
  readonly body: Uint8Array;
}

export interface IServiceBackend {
  /** Runs an operation. A reply with an error status is a reply, not a failure. */
  run(req: IServiceRequest): Effect.Effect<IServiceReply, BackendError>;
  /** Succeeds if the backend server answers at all. */
  probe(): Effect.Effect<void, BackendError>;
}

/** Makes the client of a backend server of a plain service. */
export type MakeServiceBackend = (address: string) => IServiceBackend;
