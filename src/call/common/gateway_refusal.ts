/** Answers that the gateway itself gives. */

/** HTTP status codes that the gateway answers with. */
export enum GatewayStatus {
  BadRequest = 400,
  /** The program's budget does not hold the turn; it has not run. */
  BudgetSpent = 402,
  NotFound = 404,
  BodyTooLarge = 413,
  /** The outcome is unknown. */
  BadGateway = 502,
  /** The request has not run and never will. */
  Unavailable = 503,
  /** The time was up; the outcome is unknown. */
  Timeout = 504,
}

/** Why the gateway did not pass on an answer of a backend server. */
export enum RefusalReason {
  NoIdentity = "no-identity",
  NoRoute = "no-route",
  NoConfiguration = "no-configuration",
  NoBackend = "no-backend",
  BackendsFull = "backends-full",
  /** Another program would make those under way late. */
  Overloaded = "overloaded",
  BudgetSpent = "budget-spent",
  BudgetUnavailable = "budget-unavailable",
  TurnUnknown = "turn-unknown",
  HistoryUnavailable = "history-unavailable",
  DeadlineOver = "deadline-over",
  OutcomeUnknown = "outcome-unknown",
  BodyTooLarge = "body-too-large",
  Crashing = "crashing-request",
}

export interface IRefusal {
  readonly status: GatewayStatus;
  readonly reason: RefusalReason;
  /** When the caller should come back, in ms; undefined where that is of no use. */
  readonly retryAfterMs: number | undefined;
}

/** A refusal that promises that the request has not run. */
export function notRun(reason: RefusalReason, retryAfterMs: number): IRefusal {
  return { status: GatewayStatus.Unavailable, reason, retryAfterMs };
}

export function finalRefusal(status: GatewayStatus, reason: RefusalReason): IRefusal {
  return { status, reason, retryAfterMs: undefined };
}
