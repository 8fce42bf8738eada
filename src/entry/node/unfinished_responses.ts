/** Reports responses whose connection ended before they were complete, and connections that the gateway rejects. */
import type { Socket } from "node:net";
import type { IRequestProgress } from "../../call/common/opaque_request.ts";
import { RequestPhase } from "../../call/common/opaque_request.ts";
import { RefusalReason } from "../../call/common/gateway_refusal.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";

/** Error codes of Node.js for a request that takes too long to arrive, and for a connection that ends within a request. */
const HEADER_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
const END_OF_INPUT_CODE = "HPE_INVALID_EOF_STATE";

/** Why a connection ended before its response was complete. */
export enum ConnectionEndCause {
  /** The caller closed or reset it. */
  CallerLeft = "caller-left",
  /** The time limit of the request was reached after the response had begun. */
  Deadline = "deadline",
  /** The response had begun and could not be completed. */
  Incomplete = "incomplete",
  InternalError = "internal-error",
  /** The caller's bytes are no valid request. */
  Malformed = "malformed",
  HeaderTimeout = "header-timeout",
  /** The connection gave way to those of other callers. */
  Released = "released",
  /** The process ended the connection when it stopped. */
  Stopped = "stopped",
}

export interface IUnfinishedResponsesOptions {
  readonly logger: ILogger;
  readonly metrics: Metrics | undefined;
  /** Version of the configuration in force. */
  readonly configurationVersion: () => number;
}

/** A request whose response is not complete yet. */
export interface IOpenRequest {
  readonly socket: Socket;
  readonly target: string;
  /** Version of the configuration in force when the request arrived. */
  readonly version: number;
  readonly arrivedAtMs: number;
  /** Whether the response has been written and only its transmission is outstanding. */
  readonly isAnswered: () => boolean;
  /** Undefined before the whole request has been received. */
  readonly progress: () => IRequestProgress | undefined;
}

export class UnfinishedResponses {
  readonly #opts: IUnfinishedResponsesOptions;
  readonly #open = new Set<IOpenRequest>();
  /** Why this process ended a connection. */
  readonly #causes = new WeakMap<Socket, ConnectionEndCause>();

  constructor(opts: IUnfinishedResponsesOptions) {
    this.#opts = opts;
  }

  /** Number of requests in progress. */
  get count(): number {
    return this.#open.size;
  }

  add(req: Omit<IOpenRequest, "version" | "arrivedAtMs">): IOpenRequest {
    const open = { ...req, version: this.#opts.configurationVersion(), arrivedAtMs: performance.now() };
    this.#open.add(open);
    return open;
  }

  /** Records that this process ends a connection; the first cause counts. */
  setCause(socket: Socket, cause: ConnectionEndCause): void {
    if (!this.#causes.has(socket)) this.#causes.set(socket, cause);
  }

  /** Removes a request whose response is complete. */
  complete(req: IOpenRequest): void {
    this.#open.delete(req);
  }

  /** Removes a request whose connection has ended before its response was complete. */
  report(req: IOpenRequest): void {
    if (!this.#open.delete(req)) return;
    const { logger, metrics, configurationVersion } = this.#opts;
    const { reason, ...progress } = req.progress() ?? { phase: RequestPhase.Receiving };
    const phase = req.isAnswered() ? RequestPhase.Answered : progress.phase;
    const cause = this.#causes.get(req.socket) ?? ConnectionEndCause.CallerLeft;
    const fields = {
      target: req.target,
      ...progress,
      phase,
      cause,
      reason,
      version: req.version,
      endVersion: configurationVersion(),
      tookMs: Math.round(performance.now() - req.arrivedAtMs),
    };
    if (cause === ConnectionEndCause.CallerLeft) logger.info("response-unfinished", fields);
    else logger.warn("response-unfinished", fields);
    metrics?.incrementCounter("unfinished_responses", { cause, phase });
  }

  /** Reports all requests in progress, when the process ends their connections. */
  reportAll(): void {
    for (const req of [...this.#open]) {
      this.setCause(req.socket, ConnectionEndCause.Stopped);
      this.report(req);
    }
  }

  /**
   * Records that a connection is rejected, and reports it unless a request on it is in progress. Returns false if it is
   * being ended already.
   */
  reject(socket: Socket, { cause, code }: { cause: ConnectionEndCause; code: string }): boolean {
    if (this.#causes.has(socket)) return false;
    this.#causes.set(socket, cause);
    const { logger, metrics, configurationVersion } = this.#opts;
    metrics?.incrementCounter("rejected_connections", { cause });
    if ([...this.#open].some((req) => req.socket === socket)) return true;
    logger.info("connection-rejected", {
      cause,
      code,
      bytes: socket.bytesRead,
      version: configurationVersion(),
    });
    return true;
  }
}

/** Returns why a connection is rejected; undefined if the error shows that its caller has ended it. */
export function causeOfError(code: string): ConnectionEndCause | undefined {
  if (code === HEADER_TIMEOUT_CODE) return ConnectionEndCause.HeaderTimeout;
  return code.startsWith("HPE_") && code !== END_OF_INPUT_CODE ? ConnectionEndCause.Malformed : undefined;
}

/** Returns why the relay ends a connection abruptly. */
export function causeOfAbort(progress: IRequestProgress | undefined): ConnectionEndCause {
  if (progress?.reason === undefined) return ConnectionEndCause.InternalError;
  return progress.reason === RefusalReason.DeadlineExceeded
    ? ConnectionEndCause.Deadline
    : ConnectionEndCause.Incomplete;
}
