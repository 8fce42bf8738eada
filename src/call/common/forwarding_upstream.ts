/** Sends requests through other instances while this one reaches no backend server. */
import { Clock, Effect } from "effect";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { ServerLimits } from "../../services/backends/common/server_limits.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IForwardTransport } from "./forwarding.ts";
import type {
  ILimitStatement,
  IResponseBody,
  IUpstream,
  IUpstreamRequest,
  IUpstreamResponse,
} from "./opaque_request.ts";
import { isNotSent, UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { ServerLinkMonitor } from "./server_link_monitor.ts";

/** Number of instances that are asked to forward one request. */
const MAX_FORWARDERS = 4;
/** Time after which a prepared request is outdated: it states how much time is left. */
const MAX_PREPARED_MS = 200;
/** Time for which an instance that has refused is not asked again, unless no other is known. */
const REFUSAL_TTL_MS = 1500;

/** Access to the other instances. */
export interface IForwarderFinder {
  /** Addresses of instances that may forward. */
  find(): Effect.Effect<readonly string[]>;
}

export interface IForwardingUpstreamOptions {
  /** Sends from this instance. */
  readonly direct: IUpstream;
  readonly transport: IForwardTransport;
  readonly links: ServerLinkMonitor;
  readonly limits: ServerLimits;
  readonly finder: IForwarderFinder;
  /** Whether an instance has reported that it reaches no server either. */
  readonly isPeerCutOff: (address: string) => boolean;
  readonly logger: ILogger;
  readonly metrics: Metrics;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Sends from this instance as long as it reaches servers, and otherwise through another instance, which only passes
 * on the bytes: the choice of the server, budgets, history, retries and outcomes stay here. Designed for
 * instances that lose their links to all servers for seconds, up to most of a deployment or a whole availability
 * zone, while callers still reach them.
 */
export class ForwardingUpstream implements IUpstream {
  readonly #opts: IForwardingUpstreamOptions;
  readonly #refusedUntilMs = new Map<string, number>();
  /** Number of requests that each instance is forwarding. */
  readonly #forwarding = new Map<string, number>();
  readonly #onDidAnnounceLeaving = new Emitter<IBackendEntry>();
  readonly onDidAnnounceLeaving: Event<IBackendEntry> = this.#onDidAnnounceLeaving.event;
  readonly #onDidStateLimit = new Emitter<ILimitStatement>();
  readonly onDidStateLimit: Event<ILimitStatement> = this.#onDidStateLimit.event;

  readonly #onDidConfirmLinkLoss = new Emitter<void>();
  /** Fires when another instance has reached a server for the first time since the links of this one were lost. */
  readonly onDidConfirmLinkLoss: Event<void> = this.#onDidConfirmLinkLoss.event;
  #isLinkLossConfirmed = false;

  constructor(opts: IForwardingUpstreamOptions) {
    this.#opts = opts;
    opts.links.onDidChange(() => {
      this.#isLinkLossConfirmed = false;
    });
    opts.direct.onDidAnnounceLeaving((backend) => this.#onDidAnnounceLeaving.fire(backend));
    opts.direct.onDidStateLimit((statement) => this.#onDidStateLimit.fire(statement));
  }

  send(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    return Effect.suspend(() => {
      const { links } = this.#opts;
      if (links.isCutOff) return this.#forward(backend, req);
      return Effect.catchTag(
        this.sendDirect(backend, req),
        "UpstreamError",
        (err) =>
          isNotSent(err)
            ? Effect.flatMap(
              links.checkAfterConnectFailure(),
              // The connection has taken time, so that the request's time limit must be computed again.
              (isCutOff) => Effect.fail(isCutOff ? new UpstreamError(UpstreamFault.LinksLost, err) : err),
            )
            : Effect.fail(err),
      );
    });
  }

  /** Sends from this instance whatever is known of its links. */
  sendDirect(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    const { links, direct } = this.#opts;
    const sending = Effect.catchTag(
      links.observe(direct.send(backend, req)),
      "UpstreamError",
      (err) => this.#explainLoss(backend, err),
    );
    return Effect.map(sending, ({ head, body }) => ({ head, body: this.#explainLossIn(body, backend) }));
  }

  #explainLossIn(body: IResponseBody, backend: IBackendEntry): IResponseBody {
    return {
      framing: body.framing,
      get connectionError() {
        return body.connectionError;
      },
      get trailers() {
        return body.trailers ?? [];
      },
      read: (onChunk) =>
        Effect.catchTag(body.read(onChunk), "UpstreamError", (err) => this.#explainLoss(backend, err)),
      drain: () => body.drain(),
      discard: () => body.discard(),
    };
  }

  /** A lost connection says nothing about its server if the links to all servers were lost with it. */
  #explainLoss(backend: IBackendEntry, err: UpstreamError): Effect.Effect<never, UpstreamError> {
    if (err.fault !== UpstreamFault.Broken) return Effect.fail(err);
    return Effect.flatMap(
      this.#opts.links.checkAfterConnectionLoss(backend),
      (isCutOff) => Effect.fail(isCutOff ? new UpstreamError(UpstreamFault.PathLost, err) : err),
    );
  }

  /** Has another instance send the request. Fails at once if none that is known reaches servers. */
  #forward(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      const asked = new Set<string>();
      req.delivery?.awaitConnection();
      const startedAtMs = yield* Clock.currentTimeMillis;
      const others = yield* this.#opts.finder.find();
      while (asked.size < MAX_FORWARDERS) {
        const now = yield* Clock.currentTimeMillis;
        if (now - startedAtMs > MAX_PREPARED_MS) {
          return yield* Effect.fail(new UpstreamError(UpstreamFault.LinksLost));
        }
        const address = this.#selectForwarder(others.filter((other) => !asked.has(other)), now);
        if (address === undefined) break;
        asked.add(address);
        const response = yield* this.#forwardThrough(address, { backend, req, askedCount: asked.size });
        if (response !== undefined) return response;
      }
      this.#opts.metrics.incrementCounter("forwards", { outcome: "none" });
      const now = yield* Clock.currentTimeMillis;
      const isAnyWilling = others.some((address) => this.#isWilling(address, now));
      const fault = isAnyWilling ? UpstreamFault.LinksLost : UpstreamFault.Unreachable;
      return yield* Effect.fail(new UpstreamError(fault));
    });
  }

  /** Returns undefined if the instance refuses. */
  #forwardThrough(
    address: string,
    { backend, req, askedCount }: { backend: IBackendEntry; req: IUpstreamRequest; askedCount: number },
  ): Effect.Effect<IUpstreamResponse | undefined, UpstreamError> {
    const { transport, limits, logger, metrics } = this.#opts;
    const run = { backendId: backend.id, startedAtMs: backend.startedAtMs };
    const hasPermit = limits.perSecond(run) !== undefined;
    const count = (change: number) =>
      Effect.sync(() => this.#forwarding.set(address, (this.#forwarding.get(address) ?? 0) + change));
    const sending = Effect.andThen(count(1), transport.send(address, { backend, req, hasPermit })).pipe(
      Effect.ensuring(count(-1)),
      Effect.map((response) => {
        metrics.incrementCounter("forwards", { outcome: "sent" });
        logger.info("request-forwarded", {
          request: req.requestId,
          forwarder: address,
          backend: backend.id,
          asked: askedCount,
        });
        this.#readHead(backend, { response, requestId: req.requestId });
        this.#confirmLinkLoss();
        return response;
      }),
    );
    return Effect.catchTag(
      sending,
      "ForwardRefusedError",
      ({ reason }) =>
        Effect.map(Clock.currentTimeMillis, (now) => {
          req.delivery?.awaitConnection();
          this.#refusedUntilMs.set(address, now + REFUSAL_TTL_MS);
          metrics.incrementCounter("forwards", { outcome: reason });
          logger.info("forward-refused", { request: req.requestId, forwarder: address, reason });
          return undefined;
        }),
    );
  }

  #confirmLinkLoss(): void {
    if (this.#isLinkLossConfirmed || !this.#opts.links.isCutOff) return;
    this.#isLinkLossConfirmed = true;
    this.#onDidConfirmLinkLoss.fire();
  }

  #readHead(
    backend: IBackendEntry,
    { response: { head }, requestId }: { response: IUpstreamResponse; requestId: string },
  ): void {
    const { limitPerSecond } = head;
    if (head.isLeaving) this.#onDidAnnounceLeaving.fire(backend);
    const isOwn = head.requestId === requestId && !head.isMisdirected;
    if (limitPerSecond !== undefined || isOwn) this.#onDidStateLimit.fire({ backend, limitPerSecond });
  }

  /** Whether an instance has neither refused lately nor reported that it reaches no server. */
  #isWilling(address: string, now: number): boolean {
    return !this.#opts.isPeerCutOff(address) && (this.#refusedUntilMs.get(address) ?? 0) <= now;
  }

  /** Selects the less busy of two random instances, preferring those that have not refused lately. */
  #selectForwarder(others: readonly string[], now: number): string | undefined {
    const { random } = this.#opts;
    const willing = others.filter((address) => this.#isWilling(address, now));
    const candidates = willing.length > 0 ? willing : others;
    const pick = () => candidates.at(Math.floor(random() * candidates.length));
    const [first, second] = [pick(), pick()];
    if (first === undefined || second === undefined) return undefined;
    const busyOf = (address: string) => this.#forwarding.get(address) ?? 0;
    return busyOf(first) <= busyOf(second) ? first : second;
  }
}
