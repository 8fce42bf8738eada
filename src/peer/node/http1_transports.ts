/** HTTP/1.1 client connections and server for short calls between peers. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import type { Transport } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { IPeerTransports } from "../../membership/common/peer_client.ts";
import type { UnaryService } from "../common/unary_service.ts";
import type { ForwardServer } from "./forward_server.ts";
import { PeerConnections } from "./peer_connections.ts";
import { UnaryHandler } from "./unary_handler.ts";
import { UnaryTransport } from "./unary_transport.ts";

const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;
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

/** Serves the turn service to the other instances. */
export class TurnServer {
  readonly #server: Server;
  /** Connections on which a request has been received. */
  readonly #used = new WeakSet<Socket>();

  /** Requests that are to be forwarded do not go to the service. */
  constructor(service: UnaryService<typeof TurnService>, forwards?: ForwardServer) {
    const unary = new UnaryHandler({
      service: TurnService,
      implementation: service,
      maxMessageBytes: MAX_MESSAGE_BYTES,
    });
    // Serves what the unary handler does not accept, such as compressed requests.
    const handler = connectNodeAdapter({
      routes: (router) => router.service(TurnService, service),
      readMaxBytes: MAX_MESSAGE_BYTES,
      writeMaxBytes: MAX_MESSAGE_BYTES,
    });
    const opts = {
      noDelay: true,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      requireHostHeader: false,
    };
    this.#server = createServer(opts, (req, res) => {
      if (forwards?.accepts(req)) forwards.handle(req, res);
      else if (unary.accepts(req)) {
        this.#acknowledgeFirst(req, res);
        unary.handle(req, res);
      } else handler(req, res);
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
  #acknowledgeFirst({ socket }: IncomingMessage, res: ServerResponse): void {
    if (this.#used.has(socket)) return;
    this.#used.add(socket);
    res.writeProcessing();
  }
}
