/** State of one request on its way through the gateway. */
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import type { IRequestContent } from "./crash_strikes.ts";
import type { GatewayStatus, IRefusal, RefusalReason } from "./gateway_refusal.ts";
import type { IOpaqueRequest } from "./opaque_call.ts";

/** How an attempt at a backend server ended. */
export enum AttemptOutcome {
  /** The answer was passed on whole. */
  Done = "done",
  /** The server has not run the request. */
  NotRun = "not-run",
  /** The server may have run the request, and no whole answer came. */
  Failed = "failed",
}

export class RelayedCall {
  readonly req: IOpaqueRequest;
  readonly route: IRoute;
  readonly service: string;
  readonly startedAtMs: number;
  /** When the caller or the route gives up, in ms of the clock. */
  readonly deadlineAtMs: number;
  readonly configurationVersion: number;
  /** Servers that have refused or failed the request. */
  readonly excluded = new Set<string>();
  /** Attempts of which the server may have run the request. */
  runs = 0;
  refusals = 0;
  /** Last event that was passed on, and how many were. */
  lastEventId: string | undefined;
  events = 0;
  /** Output as later turns' prompts contain it, for routes that keep history. */
  readonly output: string[] = [];
  choice: IBackendChoice | undefined;
  refusal: IRefusal | undefined;
  status = 0;
  firstEventAtMs = 0;

  constructor(
    req: IOpaqueRequest,
    opts: { route: IRoute; service: string; now: number; configurationVersion: number },
  ) {
    this.req = req;
    this.route = opts.route;
    this.service = opts.service;
    this.startedAtMs = opts.now;
    this.configurationVersion = opts.configurationVersion;
    this.deadlineAtMs = opts.now + Math.min(req.deadlineMs ?? Infinity, opts.route.timeoutMs);
    this.lastEventId = req.lastEventId;
  }

  /** The request's content and caller, by which crashes are counted. */
  get content(): IRequestContent {
    return contentOf(this.req);
  }

  /** Fields of the request's line in the log. */
  describe(now: number): object {
    const { req, route, choice } = this;
    return {
      request: req.id,
      program: req.program?.programId,
      budget: req.program?.budget,
      maxTokens: req.prompt?.maxTokens,
      slackMs: req.program?.finishMs,
      previousTurn: req.program?.previousTurnId,
      route: route.name,
      version: this.configurationVersion,
      status: this.status,
      reason: this.refusal?.reason as RefusalReason | undefined,
      backend: choice?.backend.id,
      running: choice?.running,
      cachedTokens: choice?.cachedTokens,
      costMs: choice === undefined ? undefined : Math.round(choice.costMs),
      runs: this.runs,
      refusals: this.refusals,
      events: this.events,
      firstEventMs: this.firstEventAtMs === 0
        ? undefined
        : Math.round(this.firstEventAtMs - this.startedAtMs),
      tookMs: Math.round(now - this.startedAtMs),
    };
  }

  /** Whether the answer's status is one that the gateway chose. */
  refuse(refusal: IRefusal): GatewayStatus {
    this.refusal = refusal;
    this.status = refusal.status;
    return refusal.status;
  }
}

/** What a caller's repetition of a request shares with it. */
export function contentOf({ method, target, body, program, affinityKey }: IOpaqueRequest): IRequestContent {
  return { method, target, body, caller: program?.lineId ?? affinityKey ?? "" };
}
