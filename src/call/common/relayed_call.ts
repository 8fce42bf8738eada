/** State of one request that the gateway is relaying. */
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import { scopedId } from "../../services/organisations/common/organisation_scope.ts";
import { digestPrefixOf } from "../../services/organisations/common/organisation_table.ts";
import type { IEngineInfo, IRoute } from "../../services/routes/common/route_table.ts";
import { OwnerWaits } from "../../turns/common/owner_waits.ts";
import { AttemptState } from "./attempt_state.ts";
import type { IAllotmentDecision } from "./allotment_client.ts";
import type { IDelivery } from "./delivery.ts";
import { Deliveries } from "./delivery.ts";
import type { EventOrder } from "./event_order.ts";
import type { GatewayStatus, IRefusal, RefusalReason } from "./gateway_refusal.ts";
import type { BodyFraming, IOpaqueRequest, UpstreamFault } from "./opaque_request.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { IStreamOrigin } from "./stream_origin.ts";
import { contentKeyOf } from "./stream_origin.ts";

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
  /** The request was not sent, because it could not end before this instance stops. */
  Stopping = "stopping",
  /** The server may have run the request, but no complete response arrived. */
  Failed = "failed",
}

/** The second send of a call's request, while the first one was unanswered. */
export interface IHedgedSend {
  /** Time since the first send, in ms. */
  readonly afterMs: number;
  readonly backendId: string;
  isWinner: boolean;
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
  /** Engine of the service when the request arrived, since a later configuration may not have the service any more. */
  engine: IEngineInfo | undefined;
  /** Servers that refused the request or failed during it. */
  readonly excluded = new Set<string>();
  /** Number of attempts in which the server may have run the request. */
  runs = 0;
  /** Number of attempts in which the server did not run the request. */
  refusals = 0;
  /** Sends without outcome, which the copies of the call share. */
  deliveries = new Deliveries();
  /** The last send; undefined before it. */
  delivery: IDelivery | undefined;
  /** What the turn waited for at the owners of slices. */
  readonly ownerWaits = new OwnerWaits();
  /** Whether the budget's owner has refused the turn, so that its end need not be reported. */
  isTurnRefused = false;
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
  /** Software that produced an earlier try of the stream, whose servers are preferred; undefined if none is known. */
  earlierOrigin: IStreamOrigin | undefined;
  refusal: IRefusal | undefined;
  /** Additional log fields if a server may have crashed during the request. */
  crashEvidence: object = {};
  /** Undefined if the request was not hedged. */
  hedge: IHedgedSend | undefined;
  #attempt: AttemptState;

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
      /** Derived from the caller's and the route's timeout by default. */
      deadlineAtMs?: number;
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
    this.deadlineAtMs = opts.deadlineAtMs ??
      opts.now + Math.min(req.timeoutMs ?? Infinity, opts.route.timeoutMs);
    this.#attempt = new AttemptState(req.lastEventId);
  }

  /**
   * Creates a copy of a call without retries, for one of two attempts that run at the same time. `runs` is the number of
   * other attempts in which a server may have run the request.
   */
  fork(choice: IBackendChoice, { now, runs }: { now: number; runs: number }): RelayedCall {
    const { req, identity, route, service, configurationVersion, deadlineAtMs, organisation } = this;
    const hasOrganisations = this.ownerName !== undefined;
    const opts = { identity, route, service, now, configurationVersion, deadlineAtMs };
    const copy = new RelayedCall(req, { ...opts, organisation, hasOrganisations });
    copy.choice = choice;
    copy.deliveries = this.deliveries;
    copy.earlierOrigin = this.origin ?? this.earlierOrigin;
    copy.runs = runs;
    return copy;
  }

  /** Takes over the state of an attempt, also what changes in it from now on. */
  adopt(attempt: RelayedCall): void {
    this.#attempt = attempt.#attempt;
  }

  get output(): string[] {
    return this.#attempt.output;
  }

  get choice(): IBackendChoice | undefined {
    return this.#attempt.choice;
  }

  set choice(value: IBackendChoice | undefined) {
    this.#attempt.choice = value;
  }

  get denial(): IRefusal | undefined {
    return this.#attempt.denial;
  }

  set denial(value: IRefusal | undefined) {
    this.#attempt.denial = value;
  }

  get fault(): UpstreamFault | undefined {
    return this.#attempt.fault;
  }

  set fault(value: UpstreamFault | undefined) {
    this.#attempt.fault = value;
  }

  get order(): EventOrder {
    return this.#attempt.order;
  }

  /** Id of the last event that the caller has received, in this request or in the one that it resumes. */
  get lastEventId(): string | undefined {
    return this.#attempt.order.lastId;
  }

  get streamStatus(): number | undefined {
    return this.#attempt.streamStatus;
  }

  set streamStatus(value: number | undefined) {
    this.#attempt.streamStatus = value;
  }

  get events(): number {
    return this.#attempt.events;
  }

  set events(value: number) {
    this.#attempt.events = value;
  }

  get origin(): IStreamOrigin | undefined {
    return this.#attempt.origin;
  }

  set origin(value: IStreamOrigin | undefined) {
    this.#attempt.origin = value;
  }

  get status(): number {
    return this.#attempt.status;
  }

  set status(value: number) {
    this.#attempt.status = value;
  }

  get firstEventAtMs(): number {
    return this.#attempt.firstEventAtMs;
  }

  set firstEventAtMs(value: number) {
    this.#attempt.firstEventAtMs = value;
  }

  get lastEventAtMs(): number | undefined {
    return this.#attempt.lastEventAtMs;
  }

  set lastEventAtMs(value: number | undefined) {
    this.#attempt.lastEventAtMs = value;
  }

  get framing(): BodyFraming | undefined {
    return this.#attempt.framing;
  }

  set framing(value: BodyFraming | undefined) {
    this.#attempt.framing = value;
  }

  get connectionError(): string | undefined {
    return this.#attempt.connectionError;
  }

  set connectionError(value: string | undefined) {
    this.#attempt.connectionError = value;
  }

  get unfinishedBytes(): number {
    return this.#attempt.unfinishedBytes;
  }

  set unfinishedBytes(value: number) {
    this.#attempt.unfinishedBytes = value;
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
      hedgedAfterMs: this.hedge === undefined ? undefined : Math.round(this.hedge.afterMs),
      hedgeBackend: this.hedge?.backendId,
      hedgeWon: this.hedge?.isWinner,
      limitedServers: this.limitedServers === 0 ? undefined : this.limitedServers,
      permitWaitMs: this.permitWaitMs === 0 ? undefined : Math.round(this.permitWaitMs),
      ownerWaits: this.ownerWaits.toLogField(),
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

  /** Identifies the stream that the call begins. */
  get streamKey(): { attemptId: string; contentKey: bigint } {
    const { req: { id, program }, identity, organisation } = this;
    const contentKey = contentKeyOf(identity, { program, organisation: organisation?.name });
    return { attemptId: this.scoped(id), contentKey };
  }

  /** Records a refusal by the gateway as the outcome and returns its status. */
  refuse(refusal: IRefusal): GatewayStatus {
    this.refusal = refusal;
    this.status = refusal.status;
    return refusal.status;
  }
}
