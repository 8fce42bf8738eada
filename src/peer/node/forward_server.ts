/** Serves requests that other instances cannot send to backend servers themselves. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Context } from "effect";
import { Effect, Fiber } from "effect";
import { endToEndHeaders } from "../../base/common/http_headers.ts";
import {
  announceFaultTrailer,
  describeFault,
  describeFraming,
  describeRefusal,
  readDescription,
  SERVER_HEADER,
  withoutForwardHeaders,
} from "../../call/common/forward_headers.ts";
import type { ForwardService } from "../../call/common/forward_service.ts";
import type { ForwardRefusedError, IForwardedSend } from "../../call/common/forwarding.ts";
import { LimitedBody } from "../../call/common/limited_body.ts";
import type { IUpstreamResponse, UpstreamError } from "../../call/common/opaque_request.ts";
import { UpstreamFault } from "../../call/common/opaque_request.ts";
import type { IResponseLimits, ResponseMemoryPool } from "../../call/common/response_limits.ts";
import { readInto } from "../../call/common/response_limits.ts";
import type { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { describeDefect } from "../../services/logging/common/supervision.ts";

/** Status of responses that say why there is none of a server; the headers say more. */
const NO_RESPONSE_STATUS = 502;
const BAD_REQUEST_STATUS = 400;
const BODILESS_STATUSES = new Set([204, 304]);

export interface IForwardServerOptions {
  readonly service: ForwardService;
  readonly directory: BackendDirectory;
  readonly responseLimits: Pick<IResponseLimits, "maxResponseBytes">;
  /** Shared with the responses to this instance's own callers. */
  readonly responseMemory: ResponseMemoryPool;
  readonly logger: ILogger;
  readonly context: Context.Context<never>;
}

export class ForwardServer {
  readonly #opts: IForwardServerOptions;

  constructor(opts: IForwardServerOptions) {
    this.#opts = opts;
  }

  /** Whether a request of another instance is to be forwarded. */
  accepts({ headers }: IncomingMessage): boolean {
    return headers[SERVER_HEADER] !== undefined;
  }

  handle(req: IncomingMessage, res: ServerResponse): void {
    const { service, context } = this.#opts;
    res.on("error", () => {});
    const fiber = Effect.runForkWith(context)(service.track(this.#forward(req, res)));
    res.on("close", () => {
      if (!res.writableFinished) Effect.runFork(Fiber.interrupt(fiber));
    });
  }

  #forward(req: IncomingMessage, res: ServerResponse): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const body = yield* readBody(req);
      if (body === undefined) return void res.destroy();
      const send = this.#readSend(req, body);
      if (send === undefined) return respond(res, { status: BAD_REQUEST_STATUS, headers: [] });
      if (send === ServerLookup.Unknown) {
        return respond(res, { status: NO_RESPONSE_STATUS, headers: describeFault(UpstreamFault.NotSent) });
      }
      const { backend: { id }, req: { requestId } } = send;
      const response = yield* this.#opts.service.send(send);
      this.#opts.logger.info("forward-served", {
        request: requestId,
        backend: id,
        status: response.head.status,
      });
      yield* this.#relayResponse(res, response);
    }).pipe(
      Effect.catchTag("ForwardRefusedError", (err) => Effect.sync(() => refuse(res, err))),
      Effect.catchTag("UpstreamError", (err) => Effect.sync(() => fail(res, err))),
      // The other instance would wait until its deadline.
      Effect.catchDefect((defect) =>
        Effect.sync(() => {
          this.#opts.logger.error("internal-error", { error: describeDefect(defect) });
          res.destroy();
        })
      ),
    );
  }

  #relayResponse(
    res: ServerResponse,
    { head, body }: IUpstreamResponse,
  ): Effect.Effect<void, UpstreamError> {
    return Effect.suspend(() => {
      // A server must not speak for this instance.
      const headers = [...withoutForwardHeaders(endToEndHeaders(head.headers)), ...describeFraming(body)];
      // Only a body in chunks can be followed by trailers.
      const hasBody = res.req.method !== "HEAD" && !BODILESS_STATUSES.has(head.status);
      if (hasBody) headers.push(...announceFaultTrailer(), "Transfer-Encoding", "chunked");
      res.writeHead(head.status, headers);
      res.flushHeaders();
      const { responseLimits: limits, responseMemory: pool } = this.#opts;
      const received = new LimitedBody({ limits, pool, onChunk: (chunk) => res.write(chunk) });
      // Until then the response stays in memory if the other instance does not read it.
      res.on("close", () => received.dispose());
      return Effect.map(readInto(received, body), () => void res.end());
    });
  }

  #readSend(
    { method = "", url = "", rawHeaders, headers }: IncomingMessage,
    body: Uint8Array,
  ): IForwardedSend | ServerLookup | undefined {
    const description = readDescription(rawHeaders);
    if (description === undefined) return undefined;
    const { serverId, startedAtMs, requestId, hasPermit, timeoutMs } = description;
    const backend = this.#opts.directory.get(serverId);
    if (backend?.startedAtMs !== startedAtMs) return ServerLookup.Unknown;
    const relayed = withoutForwardHeaders(endToEndHeaders(rawHeaders));
    if (headers["content-length"] !== undefined) relayed.push("Content-Length", String(body.length));
    const deadlineAtMs = timeoutMs === undefined ? undefined : Date.now() + timeoutMs;
    const relayedReq = { requestId, method, target: url, headers: relayed, body, deadlineAtMs };
    return { backend, req: relayedReq, hasPermit };
  }
}

enum ServerLookup {
  /** This run of the server is not listed here. */
  Unknown = "unknown",
}

/** Returns undefined if the request breaks off. */
function readBody(req: IncomingMessage): Effect.Effect<Uint8Array | undefined> {
  return Effect.callback((resume) => {
    const chunks: Uint8Array[] = [];
    req.on("data", (chunk: Uint8Array) => chunks.push(chunk));
    req.on("end", () => resume(Effect.succeed(Buffer.concat(chunks))));
    req.on("error", () => resume(Effect.succeed(undefined)));
  });
}

function respond(res: ServerResponse, { status, headers }: { status: number; headers: string[] }): void {
  res.writeHead(status, [...headers, "Content-Length", "0"]);
  res.end();
}

function refuse(res: ServerResponse, { reason }: ForwardRefusedError): void {
  respond(res, { status: NO_RESPONSE_STATUS, headers: describeRefusal(reason) });
}

/** Reports a failure in the head or, if that has been sent, in the trailers. */
function fail(res: ServerResponse, { fault }: UpstreamError): void {
  if (!res.headersSent) {
    return respond(res, { status: NO_RESPONSE_STATUS, headers: describeFault(fault) });
  }
  if (!res.chunkedEncoding) return void res.destroy();
  const [name, value] = describeFault(fault);
  res.addTrailers({ [name]: value });
  res.end();
}
