/** Conversion of call errors to problem details for callers: application/problem+json (RFC 9457). */
import type { CallError } from "../../base/common/errors.ts";
import { executionStateName, reasonName } from "../../base/common/errors.ts";
import { Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";

const MS_PER_SECOND = 1000;

/** Body of an error response. */
export interface IProblemDetails {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Whether a backend server may have executed the request: `not-run`, `ran` or `unknown`. */
  readonly ran: string;
  readonly retry_after_ms?: number;
  readonly expected_step?: number;
}

const STATUSES: ReadonlyMap<Reason, number> = new Map([
  [Reason.BAD_REQUEST, 400],
  [Reason.UNAUTHORIZED, 401],
  [Reason.TOO_LARGE, 413],
  [Reason.NOT_FOUND, 404],
  [Reason.UNKNOWN_PROGRAM, 404],
  [Reason.PROGRAM_ENDED, 410],
  [Reason.WRONG_STEP, 409],
  [Reason.STEP_CONFLICT, 409],
  [Reason.HISTORY_CONFLICT, 409],
  [Reason.KEY_CONFLICT, 409],
  [Reason.BUDGET_EXHAUSTED, 402],
  [Reason.TURN_LIMIT, 402],
  [Reason.UNKNOWN_MODEL, 404],
  [Reason.UNKNOWN_SERVICE, 404],
  [Reason.OVERLOADED, 429],
  [Reason.NO_BACKEND, 503],
  [Reason.STORE_UNAVAILABLE, 503],
  [Reason.NOT_OWNER, 503],
  [Reason.OWNER_UNAVAILABLE, 503],
  [Reason.DRAINING, 503],
  [Reason.OUTCOME_UNKNOWN, 502],
  [Reason.QUARANTINED, 422],
  [Reason.STREAM_BROKEN, 502],
  [Reason.BACKEND_FAILED, 502],
  [Reason.CANCELLED, 499],
]);

const INTERNAL_ERROR = 500;

export function toProblemDetails(err: CallError): IProblemDetails {
  return {
    type: `urn:ragwortcleat:${reasonName(err.reason)}`,
    title: reasonName(err.reason),
    status: STATUSES.get(err.reason) ?? INTERNAL_ERROR,
    detail: err.detail,
    ran: executionStateName(err.ran),
    ...err.retryAfterMs > 0 ? { retry_after_ms: err.retryAfterMs } : {},
    ...err.expectedStep > 0 ? { expected_step: err.expectedStep } : {},
  };
}

/** Headers of an error response. `Retry-After` is in seconds, rounded up. */
export function problemHeaders(err: CallError): Record<string, string> {
  const retry: Record<string, string> = err.retryAfterMs > 0
    ? { "retry-after": String(Math.ceil(err.retryAfterMs / MS_PER_SECOND)) }
    : {};
  return { "content-type": "application/problem+json", ...retry };
}
