/** HTTP/2 client connections and server for calls between peers. */
import type { Http2Server, ServerHttp2Session } from "node:http2";
import { createServer } from "node:http2";
import type { ServiceImpl, Transport } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { IPeerTransports } from "../../membership/common/peer_client.ts";

/** Interval of pings on a connection with calls in progress. */
const PING_INTERVAL_MS = 2000;
const PING_TIMEOUT_MS = 1500;
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

/** Owns one HTTP/2 session to each peer; pings detect and close an unresponsive one. */
export class Http2Transports implements IPeerTransports {
  readonly #sessions = new Map<string, Http2SessionManager>();

  get(address: string): Transport {
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
    });
    this.#sessions.set(address, sessionManager);
    return createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager,
      useBinaryFormat: true,
      readMaxBytes: MAX_MESSAGE_BYTES,
      writeMaxBytes: MAX_MESSAGE_BYTES,
    });
  }

  reset(address: string): void {
    this.#sessions.get(address)?.abort();
    this.#sessions.delete(address);
  }

  dispose(): void {
    for (const address of [...this.#sessions.keys()]) this.reset(address);
  }
}

/** Serves the peer protocol to the other instances. */
export class PeerServer {
  readonly #server: Http2Server;
  readonly #sessions = new Set<ServerHttp2Session>();

  constructor(service: ServiceImpl<typeof PeerService>) {
    const handler = connectNodeAdapter({
      routes: (router) => router.service(PeerService, service),
      readMaxBytes: MAX_MESSAGE_BYTES,
      writeMaxBytes: MAX_MESSAGE_BYTES,
    });
    this.#server = createServer(handler);
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      session.on("close", () => this.#sessions.delete(session));
    });
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  dispose(): void {
    for (const session of this.#sessions) session.destroy();
    this.#server.close();
  }
}
