/** In-memory fake of all backend servers of a platform, some of whose requests crash the server that runs them. */
import { Deferred, Effect } from "effect";
import type { Event } from "../../src/base/common/emitter.ts";
import { Emitter } from "../../src/base/common/emitter.ts";
import type {
  ILimitStatement,
  IResponseBody,
  IResponseHead,
  IUpstream,
  IUpstreamRequest,
  IUpstreamResponse,
} from "../../src/call/common/opaque_request.ts";
import { UpstreamError, UpstreamFault } from "../../src/call/common/opaque_request.ts";
import type { IBackendEntry } from "../../src/services/backends/common/backend_directory.ts";
import { makeResponseBody } from "./response_body.ts";

/** What the sender of a request observes when the server crashes. */
export enum CrashForm {
  /** The connection closes before the response head. */
  BeforeHead = "before the head",
  /** The connection closes after the response head. */
  AfterHead = "after the head",
  /** The connection closes after the first event or bytes of the body. */
  MidBody = "within the body",
  /** The connection stays open, and nothing arrives. */
  Silent = "silently",
  /** The connection stays open, and nothing follows the first event or bytes of the body. */
  SilentMidBody = "silently within the body",
}

/** How a crashed server comes back. */
export enum RestartForm {
  SameId = "under the same id",
  NewId = "under a new id",
}

/** How a server treats requests while the platform lists it as ready. */
export enum ServerBehavior {
  Sound = "sound",
  /** Every second answer is lost with its connection. */
  LosesAnswers = "every second answer lost",
  /** Every second answer is an error. */
  Errors = "every second answer an error",
  /** Accepts no connection, although its status checks would pass. */
  Unreachable = "unreachable",
  /** Accepts requests and never answers. */
  Silent = "silent",
  /** States with its limit that it has not run the request. */
  Declines = "declines every request",
}

const TIMEOUT_HEADER = "Ragwortcleat-Deadline-Ms";
const RUN_MS = 80;
const CRASH_AFTER_MS = 30;
const RESTART_AFTER_MS = 2500;
/** Time after which the platform removes the entry of a server that sends no heartbeats. */
const ENTRY_TTL_MS = 3600;
const CONNECT_TIMEOUT_MS = 500;

export interface IFleetServer {
  readonly service: string;
  readonly address: string;
  id: string;
  startedAtMs: number;
  softwareVersion: string;
  isUp: boolean;
  /** Whether the server sends no heartbeats. */
  isSilent: boolean;
  /** Whether the server says so in its responses. */
  isLeaving: boolean;
  /** Requests per second that the server states as its limit in each response; undefined if it states none. */
  limitPerSecond: number | undefined;
  behavior: ServerBehavior;
  /** Number of requests that were sent to the server while it was not sound. */
  faultyAttempts: number;
  /** Number of requests that the server began to run. */
  runCount: number;
  /** Availability zone. */
  zone: string;
  /** Time until the head of a response, in ms. */
  headMs: number;
  /** Ids of the requests whose connections are open. */
  readonly open: Set<string>;
  /** Ids of the requests whose connections their senders closed before the end of the response. */
  readonly cancelled: string[];
  ended: Deferred.Deferred<void>;
}

/** A request that a server began to run. */
export interface IServerRun {
  readonly requestId: string;
  readonly target: string;
  readonly serverId: string;
  readonly atMs: number;
  /** Time that the server was given for the request, in ms. */
  readonly timeoutMs: number;
  /** Alternating names and values, as received. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

export interface IBackendFleetOptions {
  readonly now: () => number;
  /** Whether the response to a request is lost although its server lives on. */
  readonly isAnswerLost: (req: IUpstreamRequest) => boolean;
  /** Whether a request crashes the server that runs it. */
  readonly isCrashing: (req: IUpstreamRequest) => boolean;
  /** Writes a server's entry to the platform's list, or removes it. */
  readonly publish: (id: string, server: IFleetServer | undefined) => void;
  readonly crashForm: CrashForm;
  readonly restartForm: RestartForm;
}

export class BackendFleet implements IUpstream {
  readonly #onDidAnnounceLeaving = new Emitter<IBackendEntry>();
  readonly onDidAnnounceLeaving: Event<IBackendEntry> = this.#onDidAnnounceLeaving.event;
  readonly #onDidStateLimit = new Emitter<ILimitStatement>();
  readonly onDidStateLimit: Event<ILimitStatement> = this.#onDidStateLimit.event;
  readonly servers: IFleetServer[] = [];
  readonly runs: IServerRun[] = [];
  /** Times of the crashes, in ms. */
  readonly crashes: number[] = [];
  /** Software versions of the servers that are added next, by turns. */
  softwareVersions: readonly string[] = ["v1"];
  /** How servers crash from now on. */
  crashForm: CrashForm;
  /** Work of a server until the head of a response, instead of the server's own time. */
  work: ((server: IFleetServer) => Effect.Effect<void>) | undefined;
  /** Time from the head of a response to its end, in ms. */
  bodyMs = RUN_MS / 2;
  /** Status with which servers respond to requests that do not crash them. */
  status = 200;
  readonly #opts: IBackendFleetOptions;
  #serviceCount = 0;

  constructor(opts: IBackendFleetOptions) {
    this.#opts = opts;
    this.crashForm = opts.crashForm;
  }

  addServers(service: string, count: number): void {
    this.#serviceCount += 1;
    for (let index = 0; index < count; index++) {
      const server: IFleetServer = {
        service,
        address: `10.0.${this.#serviceCount}.${index}:1`,
        id: `${service}${index}`,
        startedAtMs: this.#opts.now(),
        softwareVersion: this.softwareVersions[index % this.softwareVersions.length],
        isUp: true,
        isSilent: false,
        isLeaving: false,
        limitPerSecond: undefined,
        behavior: ServerBehavior.Sound,
        faultyAttempts: 0,
        runCount: 0,
        zone: "z",
        headMs: RUN_MS / 2,
        open: new Set(),
        cancelled: [],
        ended: Deferred.makeUnsafe<void>(),
      };
      this.servers.push(server);
      this.#opts.publish(server.id, server);
    }
  }

  send(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    const server = this.servers.find(({ address }) => address === `${backend.host}:${backend.port}`)!;
    return this.#run(server, { backend, req }).pipe(
      Effect.onError(() => Effect.sync(() => server.open.delete(req.requestId))),
      Effect.onInterrupt(() => Effect.sync(() => server.cancelled.push(req.requestId))),
    );
  }

  #run(
    server: IFleetServer,
    { backend, req }: { backend: IBackendEntry; req: IUpstreamRequest },
  ): Effect.Effect<IUpstreamResponse, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      const { behavior } = server;
      if (behavior !== ServerBehavior.Sound) server.faultyAttempts += 1;
      if (!server.isUp || behavior === ServerBehavior.Unreachable) return yield* this.#failToConnect();
      if (server.id !== backend.id) return { head: headOf(req, { status: 421 }), body: bodyOf([]) };
      if (behavior === ServerBehavior.Declines) {
        this.#onDidStateLimit.fire({ backend, limitPerSecond: server.limitPerSecond });
        return { head: { ...headOf(req, { status: 503 }), isNotRun: true }, body: bodyOf([]) };
      }
      this.runs.push({
        requestId: req.requestId,
        target: req.target,
        serverId: server.id,
        atMs: this.#opts.now(),
        headers: req.headers,
        body: req.body,
        timeoutMs: Number(req.headers[req.headers.indexOf(TIMEOUT_HEADER) + 1]),
      });
      server.runCount += 1;
      server.open.add(req.requestId);
      const isFaulty = server.runCount % 2 === 1;
      if (behavior === ServerBehavior.Silent) return yield* Effect.never;
      const { ended } = server;
      const isCrashing = this.#opts.isCrashing(req);
      if (isCrashing) yield* Effect.forkDetach(this.#crashSoon(server));
      yield* Effect.raceFirst(
        isCrashing
          ? Effect.sleep(this.#crashingHeadMs())
          : this.work?.(server) ?? Effect.sleep(server.headMs),
        this.#awaitEnd(ended),
      );
      if (this.#opts.isAnswerLost(req)) return yield* Effect.fail(new UpstreamError(UpstreamFault.Broken));
      if (isFaulty && behavior === ServerBehavior.LosesAnswers) {
        return yield* Effect.fail(new UpstreamError(UpstreamFault.Broken));
      }
      const status = isFaulty && behavior === ServerBehavior.Errors ? 500 : this.status;
      const hasFirstChunk = !isCrashing || this.#hasFirstChunk();
      const body = this.#makeBody(server, { req, isCrashing, hasFirstChunk });
      const { isLeaving, limitPerSecond } = server;
      this.#onDidStateLimit.fire({ backend, limitPerSecond });
      if (isLeaving) this.#onDidAnnounceLeaving.fire(backend);
      return { head: headOf(req, { status, isLeaving }), body };
    });
  }

  /** Whether a connection to a server can be established. */
  isListening({ host, port }: IBackendEntry): boolean {
    const server = this.servers.find(({ address }) => address === `${host}:${port}`);
    return server?.isUp === true && server.behavior !== ServerBehavior.Unreachable;
  }

  /** Removes the entry of a server from the platform's list. */
  unlist({ id }: IFleetServer): void {
    this.#opts.publish(id, undefined);
  }

  /** Renews the entries of all running servers. */
  sendHeartbeats(): void {
    for (const server of this.servers) {
      if (server.isUp && !server.isSilent) this.#opts.publish(server.id, server);
    }
  }

  /** Terminates a server without a request that causes it. */
  crash(server: IFleetServer): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (!server.isUp) return;
      const { id } = server;
      server.isUp = false;
      Deferred.doneUnsafe(server.ended, Effect.void);
      yield* Effect.sleep(RESTART_AFTER_MS);
      const isNewId = this.#opts.restartForm === RestartForm.NewId;
      if (isNewId) server.id = `${id}'`;
      server.startedAtMs = this.#opts.now();
      server.isLeaving = false;
      server.ended = Deferred.makeUnsafe<void>();
      server.isUp = true;
      this.#opts.publish(server.id, server);
      if (!isNewId) return;
      yield* Effect.sleep(ENTRY_TTL_MS - RESTART_AFTER_MS);
      this.#opts.publish(id, undefined);
    });
  }

  #crashSoon(server: IFleetServer): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(CRASH_AFTER_MS);
      if (server.isUp) this.crashes.push(this.#opts.now());
      yield* this.crash(server);
    });
  }

  get #isSilent(): boolean {
    return this.crashForm === CrashForm.Silent || this.crashForm === CrashForm.SilentMidBody;
  }

  #hasFirstChunk(): boolean {
    return this.crashForm === CrashForm.MidBody || this.crashForm === CrashForm.SilentMidBody;
  }

  #crashingHeadMs(): number {
    const isHeadSent = this.#hasFirstChunk() || this.crashForm === CrashForm.AfterHead;
    return isHeadSent ? CRASH_AFTER_MS / 2 : RUN_MS / 2;
  }

  #failToConnect(): Effect.Effect<never, UpstreamError> {
    if (!this.#isSilent) return Effect.fail(new UpstreamError(UpstreamFault.Refused));
    const failure = Effect.fail(new UpstreamError(UpstreamFault.NotSent));
    return Effect.andThen(Effect.sleep(CONNECT_TIMEOUT_MS), failure);
  }

  /** Fails, or stays pending after a silent crash, once the server has ended. */
  #awaitEnd(ended: Deferred.Deferred<void>): Effect.Effect<never, UpstreamError> {
    const outcome: Effect.Effect<never, UpstreamError> = this.#isSilent
      ? Effect.never
      : Effect.fail(new UpstreamError(UpstreamFault.Broken));
    return Effect.andThen(Deferred.await(ended), outcome);
  }

  #makeBody(
    { ended, softwareVersion, open, cancelled }: IFleetServer,
    { req: { requestId }, isCrashing, hasFirstChunk }: {
      req: IUpstreamRequest;
      isCrashing: boolean;
      hasFirstChunk: boolean;
    },
  ): IResponseBody {
    const read = (onChunk: (chunk: Uint8Array) => void) =>
      Effect.gen({ self: this }, function* () {
        if (hasFirstChunk) onChunk(Buffer.from(`id: 1\ndata: ${softwareVersion}\n\n`));
        yield* Effect.raceFirst(isCrashing ? Effect.never : Effect.sleep(this.bodyMs), this.#awaitEnd(ended));
        onChunk(Buffer.from(`id: 2\ndata: ${softwareVersion}\n\n`));
      }).pipe(
        Effect.onInterrupt(() => Effect.sync(() => cancelled.push(requestId))),
        Effect.ensuring(Effect.sync(() => open.delete(requestId))),
      );
    return makeResponseBody(read);
  }
}

function headOf(
  req: IUpstreamRequest,
  { status, isLeaving = false }: { status: number; isLeaving?: boolean },
): IResponseHead {
  return {
    status,
    headers: [],
    requestId: req.requestId,
    isNotRun: status === 421,
    isSigned: true,
    isLeaving,
  };
}

function bodyOf(chunks: readonly Uint8Array[]): IResponseBody {
  const read = (onChunk: (chunk: Uint8Array) => void) => Effect.sync(() => chunks.forEach(onChunk));
  return makeResponseBody(read);
}
