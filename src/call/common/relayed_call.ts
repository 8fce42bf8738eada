/** State of one request that the gateway is relaying. */
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import { scopedId } from "../../services/organisations/common/organisation_scope.ts";
import { digestPrefixOf } from "../../services/organisations/common/organisation_table.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import type { IAllotmentDecision } from "./allotment_client.ts";
import type { GatewayStatus, IRefusal, RefusalReason } from "./gateway_refusal.ts";
import type { BodyFraming, IOpaqueRequest, UpstreamFault } from "./opaque_request.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { IStreamOrigin } from "./stream_origin.ts";

/** Outcome of one attempt on a backend server. */
export enum AttemptOutcome {
  /** The complete response was relayed. */
  Done = "done",
  /** The server did not run the request. */
  NotRun = "not-run",
  /** The request was not sent, as nothing listens at the server's address. */
  Refused = "refused",
  /** The request was not sent, for a reason that has nothing to do with the server. */
  NotSent = "not-sent",
  /** The request was not sent, and no server can be reached. */
  Unreachable = "unreachable",
  /** The request was not sent, because its API key is no longer valid. */
  Denied = "denied",
  /** The server may have run the request, but no complete response arrived. */
  Failed = "failed",
}

export class RelayedCall {
  readonly req: IOpaqueRequest;
  readonly identity: RequestIdentity;
  readonly route: IRoute;
  readonly service: string;
  readonly startedAtMs: number;
  /** Earlier of the caller's deadline and the route's timeout, in ms since the epoch. */
  readonly deadlineAtMs: number;
  readonly configurationVersion: number;
  /** Organisation that the request's API key belongs to; undefined without organisations, and on a public route without a known key. */
  readonly organisation: IOrganisation | undefined;
  /**
   * Name of the organisation that what the request stores belongs to; empty for a caller without one, undefined without
   * organisations.
   */
  readonly ownerName: string | undefined;
  /** Why the request may no longer be sent; undefined if it may. */
  denial: IRefusal | undefined;
  /** Servers that refused the request or failed during it. */
  readonly excluded = new Set<string>();
  /** Number of attempts in which the server may have run the request. */
  runs = 0;
  /** Number of attempts in which the server did not run the request. */
  refusals = 0;
  /** Id of the last event that the caller has received, in this request or in the one that it resumes. */
  lastEventId: string | undefined;
  /** Number of events relayed to the caller. */
  events = 0;
  /** Output in the form that the prompts of later turns include, for routes that keep history. */
  readonly output: string[] = [];
  /** Whether the budget's owner has refused the turn, so that its end need not be reported. */
  isTurnRefused = false;
  /** How the last attempt failed; undefined if none has failed. */
  fault: UpstreamFault | undefined;
  choice: IBackendChoice | undefined;
  /** Last decision on the allotment; undefined if the organisation has none. */
  allotment: IAllotmentDecision | undefined;
  /** Whether a token of the allotment was acquired that no server has used. */
  holdsToken = false;
  /** Servers that had no permit for the request, because of the limits that they state. */
  limitedServers = 0;
  /** Time until the first permit of one of them, in ms; undefined if no server lacked a permit. */
  nextPermitMs: number | undefined;
  /** Time until which the request may wait for permits, in ms; undefined if it has not waited yet. */
  permitDeadlineMs: number | undefined;
  /** Time for which the request has waited for permits, in ms. */
  permitWaitMs = 0;
  /** Software that produced the stream's first event; undefined before that event. */
  origin: IStreamOrigin | undefined;
  refusal: IRefusal | undefined;
  status = 0;
  firstEventAtMs = 0;
  /** Framing of the last response's body; undefined before its head. */
  framing: BodyFraming | undefined;
  /** Code of the error that ended the connection of the last response's body. */
  connectionError: string | undefined;
  /** Number of bytes after the last complete event of a stream that has ended. */
  unfinishedBytes = 0;
  /** Additional log fields if a server may have crashed during the request. */
  crashEvidence: object = {};

  constructor(
    req: IOpaqueRequest,
    opts: {
      identity: RequestIdentity;
      route: IRoute;
      service: string;
      now: number;
      configurationVersion: number;
      organisation?: IOrganisation | undefined;
      hasOrganisations?: boolean;
    },
  ) {
    this.req = req;
    this.identity = opts.identity;
    this.route = opts.route;
    this.service = opts.service;
    this.startedAtMs = opts.now;
    this.configurationVersion = opts.configurationVersion;
    this.organisation = opts.organisation;
    this.ownerName = opts.organisation?.name ?? (opts.hasOrganisations ? "" : undefined);
    this.deadlineAtMs = opts.now + Math.min(req.timeoutMs ?? Infinity, opts.route.timeoutMs);
    this.lastEventId = req.lastEventId;
  }

  /** Returns the fields of the request's log line. */
  logFields(now: number): object {
    const { req, route, choice } = this;
    return {
      request: req.id,
      program: req.program?.programId,
      budget: req.program?.budgetTokens,
      maxTokens: req.prompt?.maxTokens,
      slackMs: req.program?.remainingMs,
      previousTurn: req.program?.previousTurnId,
      organisation: this.organisation?.name,
      keyDigest: this.#keyDigestPrefix,
      route: route.name,
      version: this.configurationVersion,
      status: this.status,
      reason: this.refusal?.reason as RefusalReason | undefined,
      backend: choice?.backend.id,
      softwareVersion: choice?.backend.softwareVersion,
      resumedAfter: req.lastEventId,
      resumes: req.resumes,
      running: choice?.running,
      cachedTokens: choice?.cachedTokens,
      costMs: choice === undefined ? undefined : Math.round(choice.costMs),
      allotmentOwner: this.allotment?.decidedBy,
      allotmentPerS: this.allotment?.perSecond,
      allotmentVersion: this.allotment?.version,
      runs: this.runs,
      refusals: this.refusals,
      limitedServers: this.limitedServers === 0 ? undefined : this.limitedServers,
      permitWaitMs: this.permitWaitMs === 0 ? undefined : Math.round(this.permitWaitMs),
      events: this.events,
      framing: this.framing,
      connectionError: this.connectionError,
      unfinishedBytes: this.unfinishedBytes === 0 ? undefined : this.unfinishedBytes,
      firstEventMs: this.firstEventAtMs === 0
        ? undefined
        : Math.round(this.firstEventAtMs - this.startedAtMs),
      tookMs: Math.round(now - this.startedAtMs),
      ...this.crashEvidence,
    };
  }

  /** Undefined unless organisations are configured: other credentials of callers are not logged. */
  get #keyDigestPrefix(): string | undefined {
    const digest = this.req.apiKeyDigest;
    return this.ownerName === undefined || digest === undefined ? undefined : digestPrefixOf(digest);
  }

  /** Combines an id that the caller states with the name of its organisation. */
  scoped(id: string): string {
    return scopedId(id, this.organisation?.name);
  }

  /** Records a refusal by the gateway as the outcome and returns its status. */
  refuse(refusal: IRefusal): GatewayStatus {
    this.refusal = refusal;
    this.status = refusal.status;
    return refusal.status;
  }
}
