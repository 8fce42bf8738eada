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
import { ForwardRefusal } from "../../call/common/forwarding.ts";
import { LimitedBody } from "../../call/common/limited_body.ts";
import type { IUpstreamResponse, UpstreamError } from "../../call/common/opaque_request.ts";
import { UpstreamFault } from "../../call/common/opaque_request.ts";
import type { IResponseLimits, ResponseMemoryPool } from "../../call/common/response_limits.ts";
import { readInto } from "../../call/common/response_limits.ts";
import type { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import type { Exchange } from "../../services/connections/node/connection_guard.ts";
import { BodyError } from "../../services/connections/node/receive_body.ts";
import { refuseBody } from "../../services/connections/node/refuse_body.ts";
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

  handle(exchange: Exchange, receiving: Effect.Effect<Uint8Array | BodyError>): void {
    const { service, context } = this.#opts;
    const { res } = exchange;
    const fiber = Effect.runForkWith(context)(service.track(this.#forward(exchange, receiving)));
    exchange.onDidEnd = () => {
      if (!res.writableFinished) Effect.runFork(Fiber.interrupt(fiber));
    };
  }

  #forward(
    exchange: Exchange,
    receiving: Effect.Effect<Uint8Array | BodyError>,
  ): Effect.Effect<void> {
    const { req, res } = exchange;
    return Effect.gen({ self: this }, function* () {
      const body = yield* receiving;
      if (body === BodyError.Truncated) return void res.destroy();
      if (body === BodyError.TooLarge || body === BodyError.Released) {
        const [name, value] = describeRefusal(ForwardRefusal.Unsupported);
        const refusal = { status: NO_RESPONSE_STATUS, headers: { [name]: value }, body: new Uint8Array() };
        return refuseBody(exchange, refusal);
      }
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
      yield* this.#relayResponse(exchange, response);
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
    exchange: Exchange,
    { head, body }: IUpstreamResponse,
  ): Effect.Effect<void, UpstreamError> {
    const { res } = exchange;
    return Effect.suspend(() => {
      // A server must not speak for this instance.
      const headers = [...withoutForwardHeaders(endToEndHeaders(head.headers)), ...describeFraming(body)];
      // Only a body in chunks can be followed by trailers.
      const hasBody = res.req.method !== "HEAD" && !BODILESS_STATUSES.has(head.status);
      if (hasBody) headers.push(...announceFaultTrailer(), "Transfer-Encoding", "chunked");
      res.writeHead(head.status, headers);
      res.flushHeaders();
      const { responseLimits: limits, responseMemory: pool } = this.#opts;
      const onChunk = (chunk: Uint8Array) => {
        res.write(chunk);
        exchange.chargeResponse();
      };
      const received = new LimitedBody({ limits, pool, onChunk });
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
