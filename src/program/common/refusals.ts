/** Refusals that several parts of the system give alike. */
import { CallError } from "../../base/common/errors.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";

/** Advice to callers refused because the program's owner is changing. */
const OWNER_RETRY_AFTER_MS = 100;
/** Advice to callers refused for want of the log service. */
const STORE_RETRY_AFTER_MS = 5000;

/** Another instance owns the program, or the lease on it has lapsed. */
export function notOwner(detail = "another instance owns the program"): CallError {
  return new CallError(Reason.NOT_OWNER, { retryAfterMs: OWNER_RETRY_AFTER_MS, detail });
}

/** There is no such program, or it is another customer's. */
export function unknownProgram(): CallError {
  return new CallError(Reason.UNKNOWN_PROGRAM, { detail: "there is no such program" });
}

export function programEnded(detail: string): CallError {
  return new CallError(Reason.PROGRAM_ENDED, { detail });
}

/** Refusal for want of the log service. */
export function storeUnavailable(ran: Ran): CallError {
  return new CallError(Reason.STORE_UNAVAILABLE, {
    ran,
    retryAfterMs: STORE_RETRY_AFTER_MS,
    detail: "the log service cannot be reached",
  });
}
