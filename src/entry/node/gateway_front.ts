/** HTTP server for callers of opaque requests, and the probe that tells whether it takes them. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createServer } from "node:http";
import type { Context } from "effect";
import { Effect, Fiber } from "effect";
import { toError } from "../../base/common/errors.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { GatewayRelay } from "../../call/common/gateway_relay.ts";
import { GatewayStatus, RefusalReason } from "../../call/common/gateway_refusal.ts";
import type { IAnswerSink } from "../../call/common/opaque_call.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { ICallerLimits } from "../../services/routes/common/route_table.ts";

/** Room for headers before a configuration is known, in bytes. */
const MAX_HEADER_BYTES = 32 * 1024;
/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "te",
  "trailer",
  "upgrade",
]);

export interface IGatewayFrontOptions {
  readonly relay: GatewayRelay;
  readonly logger: ILogger;
  readonly context: Context.Context<never>;
}

export class GatewayFront {
  readonly #opts: IGatewayFrontOptions;
  readonly #server: Server;
  #maxBodyBytes = Infinity;
  #isStopping = false;
  #active = 0;

  constructor(opts: IGatewayFrontOptions) {
    this.#opts = opts;
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true },
      (req, res) => this.#serve(req, res),
    );
    this.#server.on("clientError", (_err, socket) => socket.destroy());
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

  /** Puts bounds on callers in force. */
  limit({ maxBodyBytes, headerTimeoutMs, idleTimeoutMs }: ICallerLimits): void {
    this.#maxBodyBytes = maxBodyBytes;
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Has callers give up their connections after the next answer. */
  announceStop(): void {
    this.#isStopping = true;
  }

  /** Takes no new connections; requests under way go on. */
  stopAccepting(): void {
    this.announceStop();
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    this.#active += 1;
    const sink = new ResponseSink(res, () => this.#isStopping);
    const work = this.#relay(req, sink).pipe(
      Effect.catchDefect((defect) =>
        Effect.sync(() => {
          this.#opts.logger.error("internal-error", { error: toError(defect).stack });
          sink.abort();
        })
      ),
    );
    const fiber = Effect.runForkWith(this.#opts.context)(work);
    res.on("close", () => {
      this.#active -= 1;
      if (!res.writableFinished) Effect.runFork(Fiber.interrupt(fiber));
    });
  }

  #relay(req: IncomingMessage, sink: ResponseSink): Effect.Effect<void> {
    return Effect.flatMap(readBody(req, this.#maxBodyBytes), (body) => {
      if (body === BodyFault.CutOff) return Effect.sync(() => sink.abort());
      if (body === BodyFault.TooLarge) return Effect.sync(() => sink.refuseBody());
      const { method = "", url = "", rawHeaders } = req;
      return this.#opts.relay.handle({ method, target: url, headers: passedOn(rawHeaders), body }, sink);
    });
  }
}

enum BodyFault {
  CutOff = "cut-off",
  TooLarge = "too-large",
}

function readBody(req: IncomingMessage, maxBytes: number): Effect.Effect<Uint8Array | BodyFault> {
  return Effect.callback((resume) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    req.on("data", (chunk: Uint8Array) => {
      size += chunk.length;
      if (size > maxBytes) resume(Effect.succeed(BodyFault.TooLarge));
      else chunks.push(chunk);
    });
    req.on("end", () => resume(Effect.succeed(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))));
    req.on("error", () => resume(Effect.succeed(BodyFault.CutOff)));
  });
}

/** Headers without those of the connection. */
function passedOn(raw: readonly string[]): string[] {
  const headers: string[] = [];
  for (let at = 0; at < raw.length; at += 2) {
    if (!CONNECTION_HEADERS.has(raw[at].toLowerCase())) headers.push(raw[at], raw[at + 1]);
  }
  return headers;
}

/** Writes answers on a response of Node's server. */
class ResponseSink implements IAnswerSink {
  readonly #res: ServerResponse;
  readonly #isStopping: () => boolean;

  constructor(res: ServerResponse, isStopping: () => boolean) {
    this.#res = res;
    this.#isStopping = isStopping;
    // A caller may leave between two writes; the request's fiber is interrupted, the write's error says no more.
    res.on("error", () => {});
  }

  get isBegun(): boolean {
    return this.#res.headersSent;
  }

  whole(status: number, headers: readonly string[], body: Uint8Array): void {
    this.#writeHead(status, [...passedOn(headers), "Content-Length", String(body.length)]);
    this.#res.end(body);
  }

  begin(status: number, headers: readonly string[]): void {
    this.#writeHead(status, passedOn(headers));
  }

  write(chunk: Uint8Array): void {
    this.#res.write(chunk);
  }

  end(): void {
    this.#res.end();
  }

  abort(): void {
    this.#res.destroy();
  }

  /** Refuses a body that is too large; what is left of it would be taken for the next request. */
  refuseBody(): void {
    const body = Buffer.from(
      JSON.stringify({ status: GatewayStatus.BodyTooLarge, title: RefusalReason.BodyTooLarge }),
    );
    this.#res.writeHead(GatewayStatus.BodyTooLarge, {
      "content-type": "application/problem+json",
      "content-length": body.length,
      connection: "close",
    });
    this.#res.end(body);
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#isStopping()) headers.push("Connection", "close");
    this.#res.writeHead(status, headers);
  }
}

/** Answers the balancer's probe, and serves the metrics. */
export class ProbeServer {
  readonly #server: Server;

  constructor(answer: (path: string) => { status: number; body: string }) {
    this.#server = createServer((req, res) => {
      const { status, body } = answer(req.url ?? "/");
      res.writeHead(status, { "content-type": "text/plain", "content-length": Buffer.byteLength(body) });
      res.end(body);
    });
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
