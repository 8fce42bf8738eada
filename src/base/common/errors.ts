/** Typed errors reported to callers, peers and operators. */
import VError from "verror";
import { Ran, Reason } from "./gen/ragwortcleat/v1/common_pb.ts";

export interface ICallErrorOptions {
  /** Whether a backend server may have executed the request. Default: not run. */
  ran?: Ran;
  /** Time after which the caller may retry, in ms; 0 if a retry cannot succeed. */
  retryAfterMs?: number;
  detail?: string;
  /** Next step that the program expects; set when the request had the wrong step. */
  expectedStep?: number;
  cause?: Error;
}

/** Final outcome of a request that was refused or that failed. */
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

/** Converts an enum member's name such as `UNKNOWN_PROGRAM` to `unknown-program`. */
export function toKebabCase(name: string): string {
  return name.toLowerCase().replaceAll("_", "-");
}

/** Name of a reason in responses to callers. */
export function reasonName(reason: Reason): string {
  return toKebabCase(Reason[reason]);
}

/** Name of an execution state in responses to callers. */
export function executionStateName(ran: Ran): string {
  return toKebabCase(Ran[ran]);
}

/** A platform service could not be reached, or did not respond in time. */
export class PlatformError extends VError {
  readonly _tag = "PlatformError";

  constructor(detail: string, cause?: Error) {
    super({ name: "PlatformError", cause }, "%s", detail);
  }
}

/** A peer could not be reached, or did not respond in time. */
export class PeerError extends VError {
  readonly _tag = "PeerError";
  /** The connection was refused: no process listens at the peer's address, so the peer has stopped. */
  readonly isConnectionRefused: boolean;

  constructor(detail: string, cause?: Error) {
    super({ name: "PeerError", cause }, "%s", detail);
    this.isConnectionRefused = hasCode(cause, "ECONNREFUSED");
  }
}

/** Whether an error or one of its causes has the given system error code. */
function hasCode(err: unknown, code: string): boolean {
  if (!(err instanceof Error)) return false;
  return (err as { code?: unknown }).code === code || hasCode(err.cause, code);
}

/** Converts an unknown thrown value to an Error. */
export function toError(value: unknown): Error {
  return value instanceof Error ? value : new Error(String(value));
}
