/** HTTP/1.1 client connections and server for short calls between peers. */
import type { Server } from "node:http";
import { createServer } from "node:http";
import { Readable } from "node:stream";
import type { Socket } from "node:net";
import type { Transport } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { Effect } from "effect";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { IPeerTransports } from "../../membership/common/peer_client.ts";
import type { IClientResources } from "../../services/connections/node/client_resources.ts";
import type { Exchange } from "../../services/connections/node/connection_guard.ts";
import { ConnectionGuard } from "../../services/connections/node/connection_guard.ts";
import { ListenerKind } from "../../services/connections/node/release_log.ts";
import { refuseBody } from "../../services/connections/node/refuse_body.ts";
import { BodyError, receiveBody } from "../../services/connections/node/receive_body.ts";
import type { UnaryService } from "../common/unary_service.ts";
import type { ForwardServer } from "./forward_server.ts";
import { PeerConnections } from "./peer_connections.ts";
import { toRefusal, UnaryHandler } from "./unary_handler.ts";
import { UnaryTransport } from "./unary_transport.ts";

const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;
const TOO_LARGE = new ConnectError(`the body exceeds ${MAX_MESSAGE_BYTES} bytes`, Code.ResourceExhausted);
const RELEASED = new ConnectError("the memory for clients is used up", Code.Unavailable);
/** Forwarded requests have the headers of callers, and some of their own. */
const MAX_HEADER_BYTES = 40 * 1024;
/** Longer than the pauses between two turns, so that connections are reused. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;
/**
 * Time for which a connection is kept for the response of an aborted call, so that later calls can use it. Long enough for a busy
 * peer to accept a connection from each of several hundred others.
 */
const LATE_RESPONSE_TIMEOUT_MS = 20_000;

export interface IHttp1TransportsOptions {
  readonly lateResponseTimeoutMs?: number;
  /** Delay of further connections to a peer that does not respond, in ms. */
  readonly openDelayMs?: number;
}

/** One HTTP/1.1 agent per peer. Calls take a third less CPU time than over HTTP/2 (docs/design/platform.md). */
export class Http1Transports implements IPeerTransports {
  readonly #connections = new Map<string, PeerConnections>();
  readonly #opts: IHttp1TransportsOptions;

  constructor(opts: IHttp1TransportsOptions = {}) {
    this.#opts = opts;
  }

  get(address: string): Transport {
    const { lateResponseTimeoutMs = LATE_RESPONSE_TIMEOUT_MS, openDelayMs } = this.#opts;
    const connections = this.#connections.get(address) ?? new PeerConnections(openDelayMs);
    this.#connections.set(address, connections);
    return new UnaryTransport({
      address,
      connections,
      maxMessageBytes: MAX_MESSAGE_BYTES,
      lateResponseTimeoutMs,
    });
  }

  /** Other calls in flight keep their connections: each call has one of its own, and a time limit of its own. */
  reset(address: string): void {
    this.#connections.get(address)?.closeStale();
  }

  dispose(): void {
    for (const connections of this.#connections.values()) connections.destroy();
    this.#connections.clear();
  }
}

export interface ITurnServerOptions {
  readonly resources: IClientResources;
  readonly maxConnections: number;
  /** Requests that are to be forwarded do not go to the service. */
  readonly forwards?: ForwardServer;
}

/** Serves the turn service to the other instances. */
export class TurnServer {
  readonly #server: Server;
  readonly #guard: ConnectionGuard;
  /** Connections on which a request has been received. */
  readonly #used = new WeakSet<Socket>();

  constructor(
    service: UnaryService<typeof TurnService>,
    { resources, maxConnections, forwards }: ITurnServerOptions,
  ) {
    const unary = new UnaryHandler({ service: TurnService, implementation: service });
    // Serves what the unary handler does not accept, such as compressed requests.
    const handler = connectNodeAdapter({
      routes: (router) => router.service(TurnService, service),
      readMaxBytes: MAX_MESSAGE_BYTES,
      writeMaxBytes: MAX_MESSAGE_BYTES,
    });
    this.#server = createServer({
      noDelay: true,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      requireHostHeader: false,
    });
    const serve = (exchange: Exchange) => {
      const { req, res } = exchange;
      // The peer may close the connection before the response.
      res.on("error", () => {});
      if (forwards?.accepts(req)) {
        const body = receiveBody(exchange, { guard: this.#guard, maxBytes: resources.account.maxBytes });
        return forwards.handle(exchange, body);
      }
      const isUnary = unary.accepts(req);
      if (isUnary) this.#acknowledgeFirst(exchange);
      const receiving = receiveBody(exchange, { guard: this.#guard, maxBytes: MAX_MESSAGE_BYTES });
      void Effect.runPromise(receiving).then((body) => {
        if (body === BodyError.Truncated) return void res.destroy();
        if (body === BodyError.TooLarge) return refuseBody(exchange, toRefusal(TOO_LARGE));
        if (body === BodyError.Released) return refuseBody(exchange, toRefusal(RELEASED));
        if (isUnary) return unary.handle(exchange, body);
        handler(Object.assign(Readable.from([body]), copyOfHead(exchange)) as typeof req, res);
      });
    };
    this.#guard = new ConnectionGuard({
      ...resources,
      server: this.#server,
      listener: ListenerKind.Peers,
      maxConnections,
      serve,
    });
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Tells the peer that its connection was accepted: its other calls wait for that ({@link PeerConnections}). */
  #acknowledgeFirst({ req: { socket }, res }: Exchange): void {
    if (this.#used.has(socket)) return;
    this.#used.add(socket);
    res.writeProcessing();
  }
}

/** What the adapter reads of a request beside its body. */
function copyOfHead({ req }: Exchange) {
  const { method, url, headers, httpVersion, httpVersionMajor, httpVersionMinor, socket } = req;
  return { method, url, headers, httpVersion, httpVersionMajor, httpVersionMinor, socket };
}
