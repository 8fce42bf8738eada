/** HTTP server for callers and operators: reads requests, dispatches them by route, and writes responses. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { Server as NetServer } from "node:net";
import type { Context } from "effect";
import { Effect, Fiber } from "effect";
import { CallError, toError } from "../../base/common/errors.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { IClientResources } from "../../services/connections/node/client_resources.ts";
import type { Exchange } from "../../services/connections/node/connection_guard.ts";
import { ConnectionGuard } from "../../services/connections/node/connection_guard.ts";
import { ListenerKind } from "../../services/connections/node/release_log.ts";
import { BodyError, receiveBody } from "../../services/connections/node/receive_body.ts";
import { refuseBody } from "../../services/connections/node/refuse_body.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { problemHeaders, toProblemDetails } from "../common/problem.ts";
import { abortResponse } from "./abort_response.ts";
import { closeIdleConnections } from "./idle_connections.ts";

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
/** Retry delay of a request that gave way to others. */
const RELEASED_RETRY_AFTER_MS = 1000;

/** A request with its complete body. */
export interface IHttpServerRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
  /** Values of the named parameters in the route's pattern. */
  readonly params: Readonly<Record<string, string>>;
  /** For handlers that write the response themselves, such as streams. */
  readonly res: ServerResponse;
}

export interface IHttpServerResponse {
  readonly status: number;
  readonly headers?: Record<string, string>;
  /** Serialized as JSON, except strings and byte arrays, which are sent unchanged. */
  readonly body: unknown;
}

/** Returns the response, or undefined if the handler has written it itself. */
export type HttpHandler = (
  request: IHttpServerRequest,
) => Effect.Effect<IHttpServerResponse | undefined, CallError>;

export interface IHttpRoute {
  readonly method: string;
  /** Path with parameters written as `:name`. */
  readonly pattern: string;
  readonly handler: HttpHandler;
}

export interface IHttpServerOptions {
  readonly routes: readonly IHttpRoute[];
  readonly logger: ILogger;
  readonly context: Context.Context<never>;
  readonly resources: IClientResources;
  readonly maxConnections: number;
}

export class HttpServer {
  readonly #opts: IHttpServerOptions;
  readonly #server: Server;
  readonly #routes: readonly (IHttpRoute & { readonly regex: RegExp })[];
  /** Response to the request received last on each connection. */
  readonly #latest = new WeakMap<Socket, ServerResponse>();
  readonly #guard: ConnectionGuard;
  #isStopping = false;
  #active = 0;

  constructor(opts: IHttpServerOptions) {
    this.#opts = opts;
    this.#routes = opts.routes.map((route) => ({ ...route, regex: compilePattern(route.pattern) }));
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      noDelay: true,
      keepAlive: true,
      requireHostHeader: false,
    });
    this.#server.on("request", ({ socket }, res) => {
      const former = this.#latest.get(socket);
      // A response that closes the connection would discard requests received after its own.
      if (former?.headersSent === false) former.removeHeader("connection");
      this.#latest.set(socket, res);
    });
    this.#guard = new ConnectionGuard({
      ...opts.resources,
      server: this.#server,
      listener: ListenerKind.Callers,
      maxConnections: opts.maxConnections,
      serve: (exchange) => this.#serve(exchange),
    });
    closeIdleConnections(this.#server);
  }

  /** Number of requests that have been received and not been answered. */
  get activeCount(): number {
    return this.#active + this.#guard.waitingCount;
  }

  /** Address on which the server listens; null before it does. */
  get address(): AddressInfo | string | null {
    return this.#server.address();
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  /** Closes each client's connection after its next response. */
  disableKeepAlive(): void {
    this.#isStopping = true;
  }

  /** Stops accepting connections; open ones, including idle ones, stay open. */
  stopAccepting(): void {
    this.disableKeepAlive();
    // http.Server.close() also closes connections that appear idle because their next request is not read yet.
    NetServer.prototype.close.call(this.#server);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(exchange: Exchange): void {
    const { res } = exchange;
    this.#active += 1;
    const handling = this.#handle(exchange).pipe(
      Effect.catch((err: CallError) => Effect.sync(() => writeProblem(exchange, err))),
      Effect.catchDefect((defect) => Effect.sync(() => this.#writeDefect(exchange, defect))),
    );
    const fiber = Effect.runForkWith(this.#opts.context)(handling);
    exchange.onDidEnd = () => {
      this.#active -= 1;
      Effect.runFork(Fiber.interrupt(fiber));
    };
    res.on("error", () => {});
  }

  #handle(exchange: Exchange): Effect.Effect<void, CallError> {
    const { req, res } = exchange;
    return Effect.gen({ self: this }, function* () {
      if (this.#isStopping && this.#latest.get(req.socket) === res) res.setHeader("connection", "close");
      const body = yield* this.#readBody(exchange);
      if (req.headers.host === undefined && req.httpVersion === "1.1") {
        return yield* Effect.fail(new CallError(Reason.BAD_REQUEST, { detail: "no Host header" }));
      }
      const url = new URL(req.url ?? "/", "http://localhost");
      const match = this.#findRoute(req.method ?? "", url.pathname);
      if (match === undefined) {
        return yield* Effect.fail(
          new CallError(Reason.NOT_FOUND, { detail: `no route ${req.method} ${url.pathname}` }),
        );
      }
      const reply = yield* match.route.handler({
        method: req.method ?? "",
        path: url.pathname,
        query: url.searchParams,
        headers: req.headers,
        body,
        params: match.params,
        res,
      });
      if (reply !== undefined) writeResponse(res, reply);
    });
  }

  #readBody(exchange: Exchange): Effect.Effect<Uint8Array, CallError> {
    const receiving = receiveBody(exchange, { guard: this.#guard, maxBytes: MAX_BODY_BYTES });
    return Effect.flatMap(receiving, (body) => {
      switch (body) {
        case BodyError.TooLarge:
          return Effect.fail(
            new CallError(Reason.TOO_LARGE, { detail: `the body exceeds ${MAX_BODY_BYTES} bytes` }),
          );
        case BodyError.Released:
          return Effect.fail(
            new CallError(Reason.OVERLOADED, {
              detail: "the memory for clients is used up",
              retryAfterMs: RELEASED_RETRY_AFTER_MS,
            }),
          );
        case BodyError.Truncated:
          return Effect.fail(new CallError(Reason.CANCELLED));
        default:
          return Effect.succeed(body);
      }
    });
  }

  #findRoute(
    method: string,
    path: string,
  ): { route: IHttpRoute; params: Record<string, string> } | undefined {
    for (const route of this.#routes) {
      const match = route.method === method ? route.regex.exec(path) : null;
      if (match !== null) return { route, params: decodeParams(match.groups ?? {}) };
    }
    return undefined;
  }

  #writeDefect(exchange: Exchange, defect: unknown): void {
    this.#opts.logger.error("internal-error", { error: toError(defect).stack });
    writeProblem(exchange, new CallError(Reason.UNSPECIFIED, { ran: Ran.UNKNOWN, detail: "internal error" }));
  }
}

function compilePattern(pattern: string): RegExp {
  return new RegExp(`^${pattern.replace(/:(\w+)/g, "(?<$1>[^/]+)")}$`);
}

function decodeParams(groups: Record<string, string>): Record<string, string> {
  return Object.fromEntries(Object.entries(groups).map(([name, value]) => [name, decodeParam(value)]));
}

function decodeParam(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

export function writeResponse(res: ServerResponse, { status, headers, body }: IHttpServerResponse): void {
  const isRaw = typeof body === "string" || body instanceof Uint8Array;
  const type = { "content-type": "application/json" };
  res.writeHead(status, { ...type, ...headers });
  res.end(isRaw ? body : JSON.stringify(body));
}

function writeProblem({ req, res }: Exchange, err: CallError): void {
  if (res.headersSent) {
    abortResponse(res);
    return;
  }
  const problem = toProblemDetails(err);
  const headers = problemHeaders(err);
  if (req.complete) return writeResponse(res, { status: problem.status, headers, body: problem });
  refuseBody({ req, res }, { status: problem.status, headers, body: Buffer.from(JSON.stringify(problem)) });
}
