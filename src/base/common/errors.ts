/** Typed errors that callers, peers and operators see. */
import VError from "verror";
import { Ran, Reason } from "./gen/ragwortcleat/v1/common_pb.ts";

export interface ICallErrorOptions {
  /** Whether a backend server may have executed the request. Default: not run. */
  ran?: Ran;
  /** Time after which the caller should come back, in ms. 0 means that coming back is of no use. */
  retryAfterMs?: number;
  detail?: string;
  /** Step that the program expects next, when the step was wrong. */
  expectedStep?: number;
  cause?: Error;
}

/** The final outcome of a request that was refused or that failed. */
export class CallError extends VError {
  readonly _tag = "CallError";
  readonly reason: Reason;
  readonly ran: Ran;
  readonly retryAfterMs: number;
  readonly detail: string;
  readonly expectedStep: number;

  constructor(reason: Reason, opts: ICallErrorOptions = {}) {
    super({ name: "CallError", cause: opts.cause }, "%s", opts.detail ?? Reason[reason]);
    this.reason = reason;
    this.ran = opts.ran ?? Ran.NOT_RUN;
    this.retryAfterMs = opts.retryAfterMs ?? 0;
    this.detail = opts.detail ?? "";
    this.expectedStep = opts.expectedStep ?? 0;
  }
}

/** Turns an enum member such as `UNKNOWN_PROGRAM` into `unknown-program`. */
export function toKebab(name: string): string {
  return name.toLowerCase().replaceAll("_", "-");
}

/** Name of a reason on the wire towards callers. */
export function reasonName(reason: Reason): string {
  return toKebab(Reason[reason]);
}

/** Name of an execution state on the wire towards callers. */
export function ranName(ran: Ran): string {
  return toKebab(Ran[ran]);
}

/** A service of the platform could not be reached, or did not answer in time. */
export class PlatformError extends VError {
  readonly _tag = "PlatformError";

  constructor(detail: string, cause?: Error) {
    super({ name: "PlatformError", cause }, "%s", detail);
  }
}

/** A peer could not be reached, or did not answer in time. */
export class PeerError extends VError {
  readonly _tag = "PeerError";
  /** Nothing listens at the peer's address, so its process is gone. */
  readonly isRefused: boolean;

  constructor(detail: string, cause?: Error) {
    super({ name: "PeerError", cause }, "%s", detail);
    this.isRefused = hasCode(cause, "ECONNREFUSED");
  }
}

/** Whether an error or one of its causes has a system error code. */
function hasCode(err: unknown, code: string): boolean {
  if (!(err instanceof Error)) return false;
  return (err as { code?: unknown }).code === code || hasCode(err.cause, code);
}

/** Narrows an unknown thrown value to an Error. */
export function toError(value: unknown): Error {
  return value instanceof Error ? value : new Error(String(value));
}
