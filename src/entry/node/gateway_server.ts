/** HTTP server of the gateway for callers' requests, and the server for its readiness probe and metrics. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer, STATUS_CODES } from "node:http";
import { Server as NetServer } from "node:net";
import type { Context } from "effect";
import { Effect, Fiber } from "effect";
import { endToEndHeaders } from "../../base/common/http_headers.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { GatewayRelay } from "../../call/common/gateway_relay.ts";
import { GatewayStatus, RefusalReason } from "../../call/common/gateway_refusal.ts";
import type { IRequestProgress, IResponseSink } from "../../call/common/opaque_request.ts";
import type { IClientResources } from "../../services/connections/node/client_resources.ts";
import type { Exchange } from "../../services/connections/node/connection_guard.ts";
import { ConnectionGuard } from "../../services/connections/node/connection_guard.ts";
import { ListenerKind } from "../../services/connections/node/release_log.ts";
import { refuseBody } from "../../services/connections/node/refuse_body.ts";
import { BodyError, receiveBody } from "../../services/connections/node/receive_body.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { describeDefect } from "../../services/logging/common/supervision.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { ICallerLimits } from "../../services/routes/common/route_table.ts";
import { abortResponse } from "./abort_response.ts";
import { closeIdleConnections } from "./idle_connections.ts";
import {
  causeOfAbort,
  causeOfError,
  ConnectionEndCause,
  UnfinishedResponses,
} from "./unfinished_responses.ts";

/** Fixed when the server is created, before the configured limits are known. */
const MAX_HEADER_BYTES = 32 * 1024;
const CONNECTION_CHECK_INTERVAL_MS = 30_000;
/** Retry delay of a request that gave way to others. */
const RELEASED_RETRY_AFTER_S = 1;
/** Characters of a target that Node.js accepts from callers but does not send. */
const UNSENDABLE_TARGET = /[^\u0021-\u00ff]/;
/** Longest part of a target that is logged with an error. */
const MAX_LOGGED_TARGET_CHARS = 200;

export interface IGatewayServerOptions {
  readonly relay: GatewayRelay;
  readonly logger: ILogger;
  readonly context: Context.Context<never>;
  readonly metrics?: Metrics;
  /** Shared with the other servers of the process. */
  readonly resources: IClientResources;
  readonly maxConnections: number;
  /** Version of the configuration in force. */
  readonly configurationVersion?: () => number;
  /** Interval at which connections are checked for headers that take too long; 30 s by default. */
  readonly connectionCheckIntervalMs?: number;
}

export class GatewayServer {
  readonly #opts: IGatewayServerOptions;
  readonly #server: Server;
  /** Response to the request received last on each connection. */
  readonly #latest = new WeakMap<Socket, ServerResponse>();
  #maxBodyBytes = Infinity;
  readonly #unfinished: UnfinishedResponses;
  /** Requests whose bodies have not been received completely. */
  readonly #receiving = new Map<IncomingMessage, ResponseSink>();
  readonly #guard: ConnectionGuard;
  #isStopping = false;
  /** Whether requests are refused that have not been relayed. */
  #isRefusing = false;

  constructor(opts: IGatewayServerOptions) {
    this.#opts = opts;
    const { logger, metrics, configurationVersion = () => -1 } = opts;
    this.#unfinished = new UnfinishedResponses({ logger, metrics, configurationVersion });
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      noDelay: true,
      requireHostHeader: false,
      connectionsCheckingInterval: opts.connectionCheckIntervalMs ?? CONNECTION_CHECK_INTERVAL_MS,
    });
    this.#server.on("request", (req, res) => this.#latest.set(req.socket, res));
    this.#guard = new ConnectionGuard({
      ...opts.resources,
      server: this.#server,
      listener: ListenerKind.Callers,
      maxConnections: opts.maxConnections,
      serve: (exchange) => this.#serve(exchange),
    });
    this.#server.on("clientError", (err, socket) => this.#rejectConnection(err, socket as Socket));
    closeIdleConnections(this.#server);
  }

  /** Number of requests that have been received and not been answered. */
  get activeCount(): number {
    return this.#unfinished.count + this.#guard.waitingCount;
  }

  /** Address on which the server listens; null before it does. */
  get address(): AddressInfo | string | null {
    return this.#server.address();
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  /** Applies the configured limits on callers' requests. */
  applyLimits({ maxBodyBytes, headerTimeoutMs, idleTimeoutMs }: ICallerLimits): void {
    this.#maxBodyBytes = maxBodyBytes;
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Closes each caller's connection after the response to the request received last on it. */
  disableKeepAlive(): void {
    this.#isStopping = true;
  }

  /** Stops accepting connections; open ones, including idle ones, stay open. */
  stopAccepting(): void {
    this.disableKeepAlive();
    // http.Server.close() also closes connections that appear idle because their next request is not read yet.
    NetServer.prototype.close.call(this.#server);
  }

  /** Waits until the bytes that have arrived are read, so that their requests count as active. */
  async readArrived(): Promise<void> {
    // The first callback may run before the event loop has polled its connections.
    for (let turn = 0; turn < 2; turn++) await new Promise((resolve) => setImmediate(resolve));
  }

  /** Refuses the requests that have not been relayed: their bodies have not been received, or they wait behind others. */
  refuseUnread(): void {
    this.#isRefusing = true;
    for (const [req, sink] of this.#receiving) {
      this.#receiving.delete(req);
      sink.rejectBody(req, STOPPING);
    }
  }

  dispose(): void {
    this.#unfinished.reportAll();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #rejectConnection({ code = "" }: NodeJS.ErrnoException, socket: Socket): void {
    const cause = causeOfError(code);
    if (cause === undefined) return void socket.destroy();
    if (cause !== ConnectionEndCause.HeaderTimeout) return this.#endRejected(socket, { cause, code });
    const { bytesRead } = socket;
    // After a stall of the event loop, timers run before waiting bytes are read.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) return this.#endRejected(socket, { cause, code });
      // Node.js does not check the connection again before its next request.
      socket.setTimeout(this.#server.headersTimeout);
    });
  }

  /** Ends a connection after the responses to the requests that have been received on it. */
  #endRejected(socket: Socket, { cause, code }: { cause: ConnectionEndCause; code: string }): void {
    if (!this.#unfinished.reject(socket, { cause, code })) return;
    const { status, title } = REJECTIONS.get(code) ?? MALFORMED;
    const last = this.#latest.get(socket);
    if (last !== undefined && !last.req.complete) {
      if (last.headersSent) return void socket.destroy();
      const body = problemOf(status, title);
      last.writeHead(status, { ...PROBLEM_HEADERS, "content-length": body.length });
      return void last.end(body);
    }
    const end = () => {
      // A caller that has sent nothing does not wait for an answer.
      if (socket.writable && socket.bytesRead > 0) socket.write(encodeRejection(status, title));
      socket.destroySoon();
    };
    if (last === undefined || last.writableFinished) end();
    else last.on("close", end);
  }

  #serve(exchange: Exchange): void {
    const { req, res } = exchange;
    const { socket } = req;
    const sink = new ResponseSink(res, {
      // A response that closes the connection would discard requests received after its own.
      isLast: () => this.#isStopping && this.#latest.get(socket) === res,
      onWillAbort: (cause) => this.#unfinished.setCause(socket, cause),
      onDidWrite: () => exchange.chargeResponse(),
    });
    const open = this.#unfinished.add({
      socket,
      target: req.url ?? "",
      isAnswered: () => res.writableEnded,
      progress: () => sink.describeProgress?.(),
    });
    const handling = this.#relay(exchange, sink).pipe(
      Effect.catchDefect((defect) =>
        Effect.sync(() => {
          const target = req.url?.slice(0, MAX_LOGGED_TARGET_CHARS);
          this.#opts.logger.error("internal-error", { target, error: describeDefect(defect) });
          sink.fail();
        })
      ),
    );
    const fiber = Effect.runForkWith(this.#opts.context)(handling);
    exchange.onDidEnd = () => {
      this.#receiving.delete(req);
      if (res.writableFinished) return this.#unfinished.complete(open);
      if (exchange.connection.isReleased) this.#unfinished.setCause(socket, ConnectionEndCause.Released);
      this.#unfinished.report(open);
      Effect.runFork(Fiber.interrupt(fiber));
    };
  }

  #relay(exchange: Exchange, sink: ResponseSink): Effect.Effect<void> {
    const { req } = exchange;
    if (req.headers.host === undefined && req.httpVersion === "1.1") {
      return Effect.sync(() => sink.reject(MALFORMED));
    }
    // A response that closes the connection would discard the requests that wait behind this one.
    if (this.#isRefusing && req.complete) {
      return Effect.sync(() => sink.refuse(GatewayStatus.Unavailable, RefusalReason.Stopping));
    }
    if (this.#isRefusing) return Effect.sync(() => sink.rejectBody(req, STOPPING));
    this.#receiving.set(req, sink);
    const received = receiveBody(exchange, { guard: this.#guard, maxBytes: this.#maxBodyBytes });
    return Effect.flatMap(received, (body) => {
      // The request has been refused while its body was being received.
      if (!this.#receiving.delete(req)) return Effect.void;
      if (body === BodyError.Truncated) return Effect.sync(() => sink.abort(ConnectionEndCause.CallerLeft));
      if (body === BodyError.TooLarge) return Effect.sync(() => sink.rejectBody(req, BODY_TOO_LARGE));
      if (body === BodyError.Released) return Effect.sync(() => sink.rejectBody(req, RELEASED));
      const { method = "", url = "", rawHeaders } = req;
      if (UNSENDABLE_TARGET.test(url)) {
        return Effect.sync(() => sink.refuse(GatewayStatus.BadRequest, RefusalReason.InvalidTarget));
      }
      return this.#opts.relay.handle(
        { method, target: url, headers: endToEndHeaders(rawHeaders), body },
        sink,
      );
    });
  }
}

interface IRejection {
  readonly status: number;
  readonly title: string;
  readonly retryAfterS?: number;
}

const MALFORMED: IRejection = { status: 400, title: "malformed-request" };
/** Rejections of bytes that the HTTP parser of Node.js does not accept, by its error code. */
const REJECTIONS: ReadonlyMap<string, IRejection> = new Map([
  ["ERR_HTTP_REQUEST_TIMEOUT", { status: 408, title: "request-timeout" }],
  ["HPE_HEADER_OVERFLOW", { status: 431, title: "headers-too-large" }],
]);
const BODY_TOO_LARGE: IRejection = {
  status: GatewayStatus.BodyTooLarge,
  title: RefusalReason.BodyTooLarge,
};
const STOPPING: IRejection = { status: GatewayStatus.Unavailable, title: RefusalReason.Stopping };
const RELEASED: IRejection = {
  status: GatewayStatus.Unavailable,
  title: RefusalReason.MemoryExhausted,
  retryAfterS: RELEASED_RETRY_AFTER_S,
};
const PROBLEM_HEADERS = { "content-type": "application/problem+json", connection: "close" };

function problemOf(status: number, title: string): Buffer {
  return Buffer.from(JSON.stringify({ status, title }));
}

function toResponse({ status, title, retryAfterS }: IRejection) {
  const headers: Record<string, string> = { ...PROBLEM_HEADERS };
  if (retryAfterS !== undefined) headers["retry-after"] = String(retryAfterS);
  return { status, headers, body: problemOf(status, title) };
}

/** Encodes a response for a connection on which no request can be read. */
function encodeRejection(status: number, title: string): string {
  const body = problemOf(status, title);
  const headers = Object.entries({ ...PROBLEM_HEADERS, "content-length": body.length });
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join("");
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines}\r\n${body}`;
}

interface IResponseSinkOptions {
  /** Whether the connection closes after the response. */
  readonly isLast: () => boolean;
  readonly onWillAbort: (cause: ConnectionEndCause) => void;
  /** Called after a part of a streamed response has been written. */
  readonly onDidWrite: () => void;
}

/** Writes a response to a caller through a Node.js server response. */
class ResponseSink implements IResponseSink {
  readonly #res: ServerResponse;
  readonly #opts: IResponseSinkOptions;
  describeProgress: (() => IRequestProgress) | undefined;

  constructor(res: ServerResponse, opts: IResponseSinkOptions) {
    this.#res = res;
    this.#opts = opts;
    // A caller may disconnect between two writes. That interrupts the request's fiber, so the error needs no
    // handling.
    res.on("error", () => {});
  }

  get hasStarted(): boolean {
    return this.#res.headersSent;
  }

  respond(status: number, headers: readonly string[], body: Uint8Array): void {
    this.#writeHead(status, [...endToEndHeaders(headers), "Content-Length", String(body.length)]);
    this.#res.end(body);
  }

  startStream(status: number, headers: readonly string[]): void {
    this.#writeHead(status, endToEndHeaders(headers));
  }

  write(chunk: Uint8Array): void {
    this.#res.write(chunk);
    this.#opts.onDidWrite();
  }

  end(): void {
    this.#res.end();
  }

  abort(cause = causeOfAbort(this.describeProgress?.())): void {
    this.#opts.onWillAbort(cause);
    abortResponse(this.#res);
  }

  /** Says that the outcome is unknown; closes the connection if a response has been started. */
  fail(): void {
    if (this.#res.writableEnded) return;
    if (this.hasStarted) this.abort();
    else this.refuse(GatewayStatus.BadGateway, RefusalReason.InternalError);
  }

  refuse(status: GatewayStatus, reason: RefusalReason): void {
    const body = JSON.stringify({ status, title: reason });
    this.respond(status, ["content-type", "application/problem+json"], Buffer.from(body));
  }

  /** Rejects a request whose body has not been received completely. */
  rejectBody(req: IncomingMessage, rejection: IRejection): void {
    refuseBody({ req, res: this.#res }, toResponse(rejection));
  }

  /** Rejects a request of which nothing but the head is read, and closes the connection. */
  reject(rejection: IRejection): void {
    const { status, headers, body } = toResponse(rejection);
    this.#res.writeHead(status, { ...headers, "content-length": body.length });
    this.#res.end(body);
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#opts.isLast()) headers.push("Connection", "close");
    this.#res.writeHead(status, headers);
  }
}

export interface IPlainTextServerOptions {
  readonly respond: (path: string) => { status: number; body: string };
  readonly resources: IClientResources;
  readonly listener: ListenerKind;
  readonly maxConnections: number;
}

/** Serves plain text: the load balancer's readiness probe or the metrics. Reads no bodies. */
export class PlainTextServer {
  readonly #server = createServer({ requireHostHeader: false });

  constructor({ respond, resources, listener, maxConnections }: IPlainTextServerOptions) {
    const serve = ({ req, res }: Exchange) => {
      const { status, body } = respond(req.url ?? "/");
      // The rest of a body would be read without end.
      if (hasBody(req)) res.shouldKeepAlive = false;
      res.writeHead(status, { "content-type": "text/plain", "content-length": Buffer.byteLength(body) });
      res.end(body);
    };
    new ConnectionGuard({ ...resources, server: this.#server, listener, maxConnections, serve });
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
