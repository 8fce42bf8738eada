/** Sends opaque requests to backend servers through pooled HTTP/1.1 connections. */
import type { Agent, ClientRequest, IncomingMessage } from "node:http";
import { request } from "node:http";
import { Effect } from "effect";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import { toError } from "../../base/common/errors.ts";
import { isFinalStatus } from "../../base/common/http_status.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type {
  ILimitStatement,
  IRequestCodec,
  IResponseBody,
  IResponseHead,
  IUpstream,
  IUpstreamRequest,
  IUpstreamResponse,
} from "../common/opaque_request.ts";
import { BodyFraming, UpstreamError, UpstreamFault } from "../common/opaque_request.ts";
import { ServerConnections } from "./server_connections.ts";
import { skipResponse } from "./skip_response.ts";
import { StallTolerantTimer } from "./stall_tolerant_timer.ts";

/** Time limit for establishing a connection. A running server accepts one within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/** Time limit for the head of a request's own response after a response to an earlier request. */
const EXTRA_RESPONSE_TIMEOUT_MS = 1000;
/** Maximum size of a response's head, and of its trailers. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Maximum number of informational responses before a response. */
const MAX_INFORMATIONAL_HEADS = 8;
/**
 * Number of pieces from which a body must have a mean piece size: each chunk of a chunked body costs processor time,
 * however short it is. An event of a stream is longer than that.
 */
const MIN_LIMITED_PIECES = 4096;
const MIN_MEAN_PIECE_BYTES = 8;
/** Limits on reading the rest of a response that is not relayed; closing the connection is cheaper than a long rest. */
const MAX_DRAINED_BYTES = 64 * 1024;
const DRAIN_TIMEOUT_MS = 1000;
/** Codes of the HTTP parser's errors for a head, a chunk extension or a set of trailers that exceeds its limit. */
const OVERFLOW_CODES = new Set(["HPE_HEADER_OVERFLOW", "HPE_CHUNK_EXTENSIONS_OVERFLOW"]);
/** Error code of the HTTP parser for a connection that ends within a message. */
const END_OF_INPUT_CODE = "HPE_INVALID_EOF_STATE";
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

interface IRawHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
}

export interface IHttpUpstreamOptions {
  /** True by default. */
  readonly reusesConnections?: boolean;
  /** Whether a response must have the id of its request. True by default. */
  readonly requiresId?: boolean;
  readonly connectTimeoutMs?: number;
  readonly extraResponseTimeoutMs?: number;
}

export class HttpUpstream implements IUpstream {
  readonly #codec: IRequestCodec;
  readonly #reusesConnections: boolean;
  readonly #requiresId: boolean;
  readonly #connectTimeoutMs: number;
  readonly #extraResponseTimeoutMs: number;
  readonly #connections = new Map<string, ServerConnections>();
  readonly #onDidAnnounceLeaving = new Emitter<IBackendEntry>();
  readonly onDidAnnounceLeaving: Event<IBackendEntry> = this.#onDidAnnounceLeaving.event;
  readonly #onDidStateLimit = new Emitter<ILimitStatement>();
  readonly onDidStateLimit: Event<ILimitStatement> = this.#onDidStateLimit.event;

  constructor(
    codec: IRequestCodec,
    {
      reusesConnections = true,
      requiresId = true,
      connectTimeoutMs = CONNECT_TIMEOUT_MS,
      extraResponseTimeoutMs = EXTRA_RESPONSE_TIMEOUT_MS,
    }: IHttpUpstreamOptions = {},
  ) {
    this.#codec = codec;
    this.#reusesConnections = reusesConnections;
    this.#requiresId = requiresId;
    this.#connectTimeoutMs = connectTimeoutMs;
    this.#extraResponseTimeoutMs = extraResponseTimeoutMs;
  }

  send(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    return Effect.callback<IUpstreamResponse, UpstreamError>((resume) => {
      let isConnected = false;
      let isSettled = false;
      let requestError: Error | undefined;
      let extraResponseTimer: StallTolerantTimer | undefined;
      const settle = () => {
        isSettled = true;
        extraResponseTimer?.clear();
      };
      // An error after the response head is reported by the body.
      const failWith = (fault: UpstreamFault, err: Error) => {
        if (isSettled) return;
        settle();
        resume(Effect.fail(new UpstreamError(fault, err)));
      };
      const fail = (err: Error) => failWith(isConnected ? faultOf(err) : connectFaultOf(err), err);
      const connections = this.#connectionsOf(backend);
      let clientRequest: ClientRequest;
      req.delivery?.awaitConnection();
      try {
        clientRequest = createRequest(backend, { req, agent: connections.agentFor(req.requestId) });
      } catch (err) {
        // Node.js throws for a port or a header that cannot be sent.
        return resume(Effect.fail(new UpstreamError(UpstreamFault.Refused, toError(err))));
      }
      const connectTimer = new StallTolerantTimer(
        () => clientRequest.destroy(new Error(`connection timed out after ${this.#connectTimeoutMs} ms`)),
        this.#connectTimeoutMs,
      );
      const onConnected = () => {
        if (req.delivery?.begin() === false) {
          return void clientRequest.destroy(new Error("request was withdrawn"));
        }
        // From here on, bytes of the request may have reached the server.
        isConnected = true;
        connectTimer.clear();
      };
      clientRequest.on("socket", (socket) => {
        if (socket.connecting) socket.once("connect", onConnected);
        else if (!socket.destroyed) onConnected();
      });
      let reader = clientRequest;
      let informationalHeads = 0;
      const failAsForeign = () => {
        failWith(UpstreamFault.Invalid, new Error("response belongs to a different request"));
        reader.destroy();
      };
      const readResponse = (source: ClientRequest) => {
        reader = source;
        let isSkipping = false;
        source.on("error", (err) => {
          connectTimer.clear();
          requestError = err;
          fail(err);
        });
        source.on("information", ({ statusCode, rawHeaders }) => {
          this.#readHead(backend, { status: statusCode, rawHeaders });
          informationalHeads += 1;
          if (informationalHeads <= MAX_INFORMATIONAL_HEADS) return;
          const err = new Error(`more than ${MAX_INFORMATIONAL_HEADS} informational responses`);
          failWith(UpstreamFault.TooLarge, err);
          source.destroy();
        });
        // Without this listener, Node.js closes the connection and reports neither a response nor an error.
        source.on("upgrade", ({ statusCode = 0, rawHeaders }, socket) => {
          this.#readHead(backend, { status: statusCode, rawHeaders });
          failWith(UpstreamFault.Invalid, new Error("unexpected change of protocol"));
          socket.destroy();
        });
        source.on("close", () => {
          // The next reader goes on with the connection of a skipped response.
          if (isSettled || isSkipping) return;
          connectTimer.clear();
          fail(new Error("request closed without a response"));
        });
        source.on("response", (res) => {
          const head = this.#readHead(backend, { status: res.statusCode ?? 0, rawHeaders: res.rawHeaders });
          if (!isFinalStatus(head.status)) {
            failWith(UpstreamFault.Invalid, new Error(`status ${head.status} is that of no answer`));
            return void source.destroy();
          }
          if (this.#belongsTo(head, req)) {
            settle();
            if (head.isNotRun) connections.recordRefusal(req.requestId);
            this.#reportLimitEnd(backend, { head, requestId: req.requestId });
            const body = new HttpResponseBody(res, {
              requestError: () => requestError,
              isRequestSent: () => clientRequest.writableFinished,
            });
            return resume(Effect.succeed({ head, body }));
          }
          // Only a connection with earlier requests can carry a response to one of them.
          const isExtra = source.reusedSocket && framingOf(res) !== BodyFraming.Connection;
          if (isSettled || !isExtra) return failAsForeign();
          isSkipping = true;
          extraResponseTimer = new StallTolerantTimer(failAsForeign, this.#extraResponseTimeoutMs);
          skipResponse({ req: source, res, maxHeaderSize: MAX_HEAD_BYTES }, (next) => {
            if (next === undefined) return failAsForeign();
            readResponse(next);
            if (isSettled) next.destroy();
          });
        });
      };
      readResponse(clientRequest);
      clientRequest.end(req.body);
      return Effect.sync(() => {
        connectTimer.clear();
        settle();
        reader.destroy();
      });
    });
  }

  /**
   * Closes the idle connections to a server that is no longer listed, or has restarted under the same id.
   * Requests in progress continue.
   */
  removeBackend({ id }: IBackendEntry): void {
    this.#connections.get(id)?.drain();
    this.#connections.delete(id);
  }

  /** Closes all idle connections; those of requests in progress are not reused. */
  closeIdleConnections(): void {
    for (const connections of this.#connections.values()) connections.drain();
    this.#connections.clear();
  }

  dispose(): void {
    for (const connections of this.#connections.values()) connections.dispose();
    this.#connections.clear();
  }

  /** Decodes the head of a response, or of an informational response before it. */
  #readHead(backend: IBackendEntry, { status, rawHeaders }: IRawHead): IResponseHead {
    const head = this.#codec.readResponse(status, rawHeaders);
    if (head.isLeaving) this.#onDidAnnounceLeaving.fire(backend);
    const { limitPerSecond } = head;
    if (limitPerSecond !== undefined) this.#onDidStateLimit.fire({ backend, limitPerSecond });
    return head;
  }

  /** A response that may be that of an earlier request says nothing about this one, such as that it has not run. */
  #belongsTo({ requestId }: IResponseHead, req: IUpstreamRequest): boolean {
    return requestId === req.requestId || (requestId === undefined && !this.#requiresId);
  }

  /** Only the addressed server's response to this very request shows that there is no limit any more. */
  #reportLimitEnd(
    backend: IBackendEntry,
    { head, requestId }: { head: IResponseHead; requestId: string },
  ): void {
    if (head.limitPerSecond !== undefined || head.isMisdirected || head.requestId !== requestId) return;
    this.#onDidStateLimit.fire({ backend, limitPerSecond: undefined });
  }

  #connectionsOf({ id }: IBackendEntry): ServerConnections {
    let connections = this.#connections.get(id);
    if (connections === undefined) {
      connections = new ServerConnections({ reusesConnections: this.#reusesConnections });
      this.#connections.set(id, connections);
    }
    return connections;
  }
}

/** Throws if Node.js cannot send the request. */
function createRequest(
  { host, port }: IBackendEntry,
  { req: { method, target, headers }, agent }: { req: IUpstreamRequest; agent: Agent },
): ClientRequest {
  return request({
    host,
    port,
    method,
    path: target,
    headers: headers as string[],
    maxHeaderSize: MAX_HEAD_BYTES,
    agent,
  });
}

function connectFaultOf({ code }: NodeJS.ErrnoException): UpstreamFault {
  return code === CONNECTION_REFUSED_CODE ? UpstreamFault.Refused : UpstreamFault.NotSent;
}

/** Distinguishes bytes that the HTTP parser rejects from a lost connection. */
function faultOf(err?: NodeJS.ErrnoException): UpstreamFault {
  const { code = "" } = err ?? {};
  if (OVERFLOW_CODES.has(code)) return UpstreamFault.TooLarge;
  const isParseError = code.startsWith("HPE_") && code !== END_OF_INPUT_CODE;
  return isParseError ? UpstreamFault.Invalid : UpstreamFault.Broken;
}

function framingOf({ headers }: IncomingMessage): BodyFraming {
  if (headers["transfer-encoding"] !== undefined) return BodyFraming.Chunks;
  return headers["content-length"] === undefined ? BodyFraming.Connection : BodyFraming.Length;
}

interface IResponseBodyOptions {
  /** Returns the error of the request, which Node.js reports before it closes the response. */
  readonly requestError: () => Error | undefined;
  /** Whether the whole request has been written to the connection. */
  readonly isRequestSent: () => boolean;
}

class HttpResponseBody implements IResponseBody {
  readonly #res: IncomingMessage;
  readonly #opts: IResponseBodyOptions;

  constructor(res: IncomingMessage, opts: IResponseBodyOptions) {
    this.#res = res;
    this.#opts = opts;
    // Without a listener, an error on the connection before the body is read would terminate the process.
    res.on("error", () => {});
  }

  get framing(): BodyFraming {
    return framingOf(this.#res);
  }

  get trailers(): readonly string[] {
    return this.#res.rawTrailers;
  }

  get connectionError(): string | undefined {
    const err: NodeJS.ErrnoException | undefined = this.#opts.requestError();
    return err?.code ?? err?.message;
  }

  read(onChunk: (chunk: Uint8Array) => void): Effect.Effect<void, UpstreamError> {
    return Effect.callback<void, UpstreamError>((resume) => {
      const res = this.#res;
      const fail = (err?: Error) => {
        const cause = this.#opts.requestError() ?? err;
        resume(Effect.fail(new UpstreamError(faultOf(cause), cause)));
      };
      let pieces = 0;
      let bytes = 0;
      const receive = (piece: Uint8Array) => {
        pieces += 1;
        bytes += piece.length;
        if (pieces > MIN_LIMITED_PIECES && bytes < pieces * MIN_MEAN_PIECE_BYTES) {
          resume(
            Effect.fail(new UpstreamError(UpstreamFault.TooLarge, new Error(`${pieces} pieces of a body`))),
          );
          return res.destroy();
        }
        onChunk(piece);
      };
      let hasEnded = false;
      res.on("data", receive);
      res.on("end", () => {
        hasEnded = true;
        // A server that gives up the connection while it is being sent a request has not ended its answer in order.
        const isEndKnown = this.framing !== BodyFraming.Connection || this.#opts.isRequestSent();
        if (!isEndKnown) fail(new Error("connection closed before the request was sent"));
        else if (res.complete) resume(Effect.void);
        else fail();
      });
      res.on("error", fail);
      // Creating an error costs as much as several other steps of a request.
      res.on("close", () => {
        if (!hasEnded) fail();
      });
      // The connection may have been lost before the listeners were added.
      if (res.destroyed && !res.readableEnded) fail();
      return Effect.sync(() => res.destroy());
    });
  }

  drain(): void {
    const res = this.#res;
    let drainedBytes = 0;
    const timer = setTimeout(() => res.destroy(), DRAIN_TIMEOUT_MS);
    res.on("close", () => clearTimeout(timer));
    res.on("data", (chunk: Uint8Array) => {
      drainedBytes += chunk.length;
      if (drainedBytes > MAX_DRAINED_BYTES) res.destroy();
    });
  }

  discard(): void {
    this.#res.destroy();
  }
}
