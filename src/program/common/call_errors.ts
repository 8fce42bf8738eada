/** Call errors that several modules report. */
import { CallError } from "../../base/common/errors.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";

/** Retry delay sent to callers while the program's owner changes. */
const OWNER_RETRY_AFTER_MS = 100;
/** Retry delay sent to callers while the log service is unavailable. */
const STORE_RETRY_AFTER_MS = 5000;

/** Another instance owns the program, or the lease on it has expired. */
export function notOwner(detail = "another instance owns the program"): CallError {
  return new CallError(Reason.NOT_OWNER, { retryAfterMs: OWNER_RETRY_AFTER_MS, detail });
}

/** The program does not exist, or it belongs to another customer. */
export function unknownProgram(): CallError {
  return new CallError(Reason.UNKNOWN_PROGRAM, { detail: "there is no such program" });
}

export function programEnded(detail: string): CallError {
  return new CallError(Reason.PROGRAM_ENDED, { detail });
}

/** The log service is unavailable. `ran` states whether a backend server may have run the call. */
export function storeUnavailable(ran: Ran): CallError {
  return new CallError(Reason.STORE_UNAVAILABLE, {
    ran,
    retryAfterMs: STORE_RETRY_AFTER_MS,
    detail: "the log service cannot be reached",
  });
}
