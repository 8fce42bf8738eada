/** HTTP server for callers and operators: reads requests, finds their route, and writes replies. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Server as NetServer } from "node:net";
import type { Context } from "effect";
import { Effect, Fiber } from "effect";
import { CallError, toError } from "../../base/common/errors.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { problemHeaders, toProblem } from "../common/problem.ts";

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;

/** A request with its whole body. */
export interface IHttpCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
  /** Parts of the path that the route's pattern names. */
  readonly params: Readonly<Record<string, string>>;
  /** For replies that are written in pieces. */
  readonly res: ServerResponse;
}

export interface IJsonReply {
  readonly status: number;
  readonly headers?: Record<string, string>;
  /** Sent as JSON; a string or bytes are sent as they are. */
  readonly body: unknown;
}

/** A reply, or undefined when the handler has written it itself. */
export type Handler = (call: IHttpCall) => Effect.Effect<IJsonReply | undefined, CallError>;

export interface IRoute {
  readonly method: string;
  /** Path with `:name` for the parts that vary. */
  readonly pattern: string;
  readonly handler: Handler;
}

export interface IHttpServerOptions {
  readonly routes: readonly IRoute[];
  readonly logger: ILogger;
  readonly context: Context.Context<never>;
}

export class HttpServer {
  readonly #opts: IHttpServerOptions;
  readonly #server: Server;
  readonly #compiled: readonly (IRoute & { readonly regex: RegExp })[];
  #isStopping = false;
  #active = 0;

  constructor(opts: IHttpServerOptions) {
    this.#opts = opts;
    this.#compiled = opts.routes.map((route) => ({ ...route, regex: compile(route.pattern) }));
    const server = { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, keepAlive: true };
    this.#server = createServer(server, (req, res) => this.#serve(req, res));
  }

  /** Requests under way. */
  get activeCount(): number {
    return this.#active;
  }

  /** Where the server listens. */
  get address(): AddressInfo | string | null {
    return this.#server.address();
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  /** Has clients give up their connections after the next reply. */
  announceStop(): void {
    this.#isStopping = true;
  }

  /** Takes no new connections; those that are open go on until the end, also idle ones. */
  stopAccepting(): void {
    this.announceStop();
    // Closing the HTTP server would close connections that look idle because a request on them is not read yet.
    NetServer.prototype.close.call(this.#server);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    this.#active += 1;
    const work = this.#handle(req, res).pipe(
      Effect.catch((err: CallError) => Effect.sync(() => writeProblem(res, err))),
      Effect.catchDefect((defect) => Effect.sync(() => this.#writeDefect(res, defect))),
    );
    const fiber = Effect.runForkWith(this.#opts.context)(work);
    res.on("close", () => {
      this.#active -= 1;
      Effect.runFork(Fiber.interrupt(fiber));
    });
  }

  #handle(req: IncomingMessage, res: ServerResponse): Effect.Effect<void, CallError> {
    return Effect.gen({ self: this }, function* () {
      if (this.#isStopping) res.setHeader("connection", "close");
      const url = new URL(req.url ?? "/", "http://localhost");
      const found = this.#find(req.method ?? "", url.pathname);
      if (found === undefined) {
        return yield* Effect.fail(
          new CallError(Reason.NOT_FOUND, { detail: `no route ${req.method} ${url.pathname}` }),
        );
      }
      const body = yield* readBody(req);
      const reply = yield* found.route.handler({
        method: req.method ?? "",
        path: url.pathname,
        query: url.searchParams,
        headers: req.headers,
        body,
        params: found.params,
        res,
      });
      if (reply !== undefined) writeReply(res, reply);
    });
  }

  #find(method: string, path: string): { route: IRoute; params: Record<string, string> } | undefined {
    for (const route of this.#compiled) {
      const match = route.method === method ? route.regex.exec(path) : null;
      if (match !== null) return { route, params: decodeAll(match.groups ?? {}) };
    }
    return undefined;
  }

  #writeDefect(res: ServerResponse, defect: unknown): void {
    this.#opts.logger.error("internal-error", { error: toError(defect).stack });
    writeProblem(res, new CallError(Reason.UNSPECIFIED, { ran: Ran.UNKNOWN, detail: "internal error" }));
  }
}

function compile(pattern: string): RegExp {
  return new RegExp(`^${pattern.replace(/:(\w+)/g, "(?<$1>[^/]+)")}$`);
}

function decodeAll(groups: Record<string, string>): Record<string, string> {
  return Object.fromEntries(Object.entries(groups).map(([name, value]) => [name, decode(value)]));
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

function readBody(req: IncomingMessage): Effect.Effect<Uint8Array, CallError> {
  return Effect.tryPromise({
    try: async () => {
      const chunks: Uint8Array[] = [];
      let size = 0;
      for await (const chunk of req as AsyncIterable<Uint8Array>) {
        size += chunk.length;
        if (size > MAX_BODY_BYTES) {
          throw new CallError(Reason.TOO_LARGE, { detail: `the body exceeds ${MAX_BODY_BYTES} bytes` });
        }
        chunks.push(chunk);
      }
      return new Uint8Array(await new Blob(chunks as Uint8Array<ArrayBuffer>[]).arrayBuffer());
    },
    catch: (err) => err instanceof CallError ? err : new CallError(Reason.CANCELLED, { cause: toError(err) }),
  });
}

/** Writes a whole reply. */
export function writeReply(res: ServerResponse, { status, headers, body }: IJsonReply): void {
  const isRaw = typeof body === "string" || body instanceof Uint8Array;
  const type = { "content-type": "application/json" };
  res.writeHead(status, { ...type, ...headers });
  res.end(isRaw ? body : JSON.stringify(body));
}

function writeProblem(res: ServerResponse, err: CallError): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const problem = toProblem(err);
  // What is left of a body that was not read would be taken for the next request.
  const close: Record<string, string> = err.reason === Reason.TOO_LARGE ? { connection: "close" } : {};
  writeReply(res, { status: problem.status, headers: { ...problemHeaders(err), ...close }, body: problem });
}
