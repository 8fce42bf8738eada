/** HTTP/1.1 client with pooled connections for platform services and backend servers. */
import type { ClientRequest, IncomingMessage, RequestOptions } from "node:http";
import { request } from "node:http";
import { Effect } from "effect";
import VError from "verror";
import { isFinalStatus } from "../common/http_status.ts";
import { toError } from "../common/errors.ts";
import { ByteBuffer } from "../common/byte_buffer.ts";
import { StrictAgent } from "./strict_agent.ts";

const KEEP_ALIVE_PROBE_MS = 1000;
const MAX_SOCKETS_PER_HOST = 256;
const DEFAULT_PORT = 80;
/** Maximum size of a response body that is read as a whole. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** How far a request had progressed when it failed. */
export enum SendProgress {
  /** No byte of the request was sent. */
  NotSent = "not-sent",
  /** The request may have reached the server. */
  Sent = "sent",
}

export class HttpError extends VError {
  readonly _tag = "HttpError";
  readonly progress: SendProgress;

  constructor(progress: SendProgress, cause: Error) {
    super({ name: "HttpError", cause }, "request failed (%s)", progress);
    this.progress = progress;
  }
}

/** The time limit of a request has passed. */
export class RequestTimeoutError extends Error {
  constructor(timeoutMs: number) {
    super(`timed out after ${timeoutMs} ms`);
  }
}

export interface IHttpRequest {
  readonly method: string;
  /** Complete URL; only the path and query if there is an {@link origin}. */
  readonly url: string;
  /** Server of the request; saves the parsing of a URL. */
  readonly origin?: { readonly hostname: string; readonly port: string };
  /** Time limit for the complete response of {@link HttpClient.fetch}, in ms. */
  readonly timeoutMs?: number;
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array;
  /**
   * Opens a new connection for the request. A pooled connection may have been lost without notice, which
   * would leave it unknown whether the request ran.
   */
  readonly freshConnection?: boolean;
}

export interface IHttpResponse {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
}

/** Pooled HTTP client. Closes its connections when it is disposed of. */
export class HttpClient {
  readonly #agent = new StrictAgent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_PROBE_MS,
    maxSockets: MAX_SOCKETS_PER_HOST,
    noDelay: true,
  });
  /** Opens a connection for each request. */
  readonly #unpooledAgent = new StrictAgent({ keepAlive: false, noDelay: true });

  /** Closes all connections of the pool. */
  dispose(): void {
    this.#agent.destroy();
    this.#unpooledAgent.destroy();
  }

  /**
   * Sends a request and reads the complete response. A request that times out closes the unused connections to its server as
   * well: an intermediary may have dropped its state for all of them while new ones work.
   */
  fetch(req: IHttpRequest): Effect.Effect<IHttpResponse, HttpError> {
    // One callback instead of one effect for each step: the calls to the store are most of an idle instance's work.
    return Effect.callback<IHttpResponse, HttpError>((resume) => {
      const tracker = new SendTracker();
      let timer: NodeJS.Timeout | undefined;
      const settle = (result: Effect.Effect<IHttpResponse, HttpError>) => {
        clearTimeout(timer);
        resume(result);
      };
      const clientRequest = this.#tryRequest(req, {
        onResponse: (res) => {
          const isRequestSent = () => clientRequest?.writableFinished === true;
          collectBody(res, { isRequestSent, callback: settle });
        },
        onFailure: (err) => settle(Effect.fail(err)),
      });
      if (clientRequest === undefined) return;
      tracker.observe(clientRequest);
      clientRequest.on("error", (err) => settle(Effect.fail(new HttpError(tracker.progress, err))));
      clientRequest.end(req.body);
      const { timeoutMs } = req;
      if (timeoutMs !== undefined) {
        timer = setTimeout(() => {
          resume(Effect.fail(new HttpError(tracker.progress, new RequestTimeoutError(timeoutMs))));
          clientRequest.destroy();
          this.#closeIdle(req);
        }, timeoutMs);
      }
      return Effect.sync(() => {
        clearTimeout(timer);
        clientRequest.destroy();
      });
    });
  }

  /** Sends a request and returns when the response headers have arrived. Interruption destroys the request. */
  send(req: IHttpRequest): Effect.Effect<IncomingMessage, HttpError> {
    return Effect.callback<IncomingMessage, HttpError>((resume) => {
      const tracker = new SendTracker();
      const clientRequest = this.#tryRequest(req, {
        onResponse: (res) => resume(Effect.succeed(res)),
        onFailure: (err) => resume(Effect.fail(err)),
      });
      if (clientRequest === undefined) return;
      tracker.observe(clientRequest);
      clientRequest.on("error", (err) => resume(Effect.fail(new HttpError(tracker.progress, err))));
      clientRequest.end(req.body);
      return Effect.sync(() => clientRequest.destroy());
    });
  }

  #closeIdle({ url, origin = new URL(url) }: IHttpRequest): void {
    const { hostname: host, port } = origin;
    const key = this.#agent.getName({ host, port: Number(port === "" ? DEFAULT_PORT : port) });
    for (const socket of this.#agent.freeSockets[key] ?? []) socket.destroy();
  }

  /** Node.js throws for an address or a header that cannot be sent. */
  #tryRequest(
    req: IHttpRequest,
    { onResponse, onFailure }: {
      onResponse: (res: IncomingMessage) => void;
      onFailure: (err: HttpError) => void;
    },
  ): ClientRequest | undefined {
    const fail = (detail: string) => onFailure(new HttpError(SendProgress.Sent, new Error(detail)));
    try {
      const clientRequest = this.#request(req, (res) => {
        const { statusCode = 0 } = res;
        if (isFinalStatus(statusCode)) return onResponse(res);
        fail(`status ${statusCode} is that of no response`);
        res.destroy();
      });
      // Without this listener, Node.js closes the connection and reports neither a response nor an error.
      clientRequest.on("upgrade", (_res, socket) => {
        fail("unexpected change of protocol");
        socket.destroy();
      });
      return clientRequest;
    } catch (err) {
      onFailure(new HttpError(SendProgress.NotSent, toError(err)));
      return undefined;
    }
  }

  #request(req: IHttpRequest, onResponse: (res: IncomingMessage) => void): ClientRequest {
    if (req.origin === undefined) return request(req.url, this.#options(req), onResponse);
    return request({ ...this.#options(req), ...req.origin, path: req.url }, onResponse);
  }

  #options(req: IHttpRequest): RequestOptions {
    const body = req.body === undefined ? {} : { "content-length": String(byteLength(req.body)) };
    const agent = req.freshConnection ? this.#unpooledAgent : this.#agent;
    return { method: req.method, agent, headers: { ...req.headers, ...body } };
  }
}

/** Tracks whether any byte of a request can have been sent, which requires a connected socket. */
class SendTracker {
  progress = SendProgress.NotSent;

  observe(req: ClientRequest): void {
    req.on("socket", (socket) => {
      if (!socket.connecting) {
        this.progress = SendProgress.Sent;
        return;
      }
      socket.once("connect", () => {
        this.progress = SendProgress.Sent;
      });
    });
  }
}

function byteLength(body: string | Uint8Array): number {
  return typeof body === "string" ? new TextEncoder().encode(body).length : body.length;
}

/** Reads the body of a response. */
export function readBody(res: IncomingMessage): Effect.Effect<IHttpResponse, HttpError> {
  return Effect.callback<IHttpResponse, HttpError>((resume) => {
    collectBody(res, { isRequestSent: () => true, callback: resume });
    return Effect.sync(() => res.destroy());
  });
}

/** Calls back once, with the complete response or the reason why there is none. */
function collectBody(
  res: IncomingMessage,
  { isRequestSent, callback }: {
    isRequestSent: () => boolean;
    callback: (result: Effect.Effect<IHttpResponse, HttpError>) => void;
  },
): void {
  const body = new ByteBuffer();
  let isSettled = false;
  const settle = (result: Effect.Effect<IHttpResponse, HttpError>) => {
    isSettled = true;
    callback(result);
  };
  const fail = (err: Error) => {
    if (!isSettled) settle(Effect.fail(new HttpError(SendProgress.Sent, err)));
  };
  res.on("data", (chunk: Uint8Array) => {
    if (isSettled) return;
    body.append(chunk);
    if (body.length <= MAX_BODY_BYTES) return;
    fail(new Error(`response body exceeds ${MAX_BODY_BYTES} bytes`));
    res.destroy();
  });
  res.on("end", () => {
    if (isSettled) return;
    const { "content-length": length, "transfer-encoding": encoding } = res.headers;
    // Only the connection's end delimits the body, and it ended while the request was being sent.
    if (length === undefined && encoding === undefined && !isRequestSent()) {
      return fail(new Error("connection closed before the request was sent"));
    }
    settle(Effect.succeed({ status: res.statusCode ?? 0, headers: res.headers, body: body.take() }));
  });
  res.on("error", fail);
  res.on("close", () => {
    if (!isSettled) fail(new Error("Premature close"));
  });
  // The connection may have been lost before the listeners were added.
  if (res.errored !== null) fail(res.errored);
  else if (res.destroyed) fail(new Error("Premature close"));
}
