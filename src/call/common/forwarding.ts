/** Sends of one instance to backend servers through another instance. */
import type { Effect } from "effect";
import VError from "verror";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IUpstreamRequest, IUpstreamResponse, UpstreamError } from "./opaque_request.ts";

/** Why an instance does not forward a request. It has sent nothing. */
export enum ForwardRefusal {
  /** It reaches no server either. */
  CutOff = "cut-off",
  Stopping = "stopping",
  /** It does not accept the connection. */
  Unreachable = "unreachable",
  /** Its software does not forward requests, or does not accept this one. */
  Unsupported = "unsupported",
}

/** The request has not been sent, and another instance may forward it. */
export class ForwardRefusedError extends VError {
  readonly _tag = "ForwardRefusedError";
  readonly reason: ForwardRefusal;

  constructor(reason: ForwardRefusal, cause?: Error) {
    super({ name: "ForwardRefusedError", cause }, "request was not forwarded (%s)", reason);
    this.reason = reason;
  }
}

export interface IForwardedSend {
  readonly backend: IBackendEntry;
  readonly req: IUpstreamRequest;
  /** Whether the sender has a permit for the limit that the server states. */
  readonly hasPermit: boolean;
}

export type ForwardResult = Effect.Effect<IUpstreamResponse, UpstreamError | ForwardRefusedError>;

/** Connections to the instances that forward requests. */
export interface IForwardTransport {
  /** Has the instance with a peer address send a request. It never forwards the request in turn. */
  send(address: string, send: IForwardedSend): ForwardResult;
}
