/** HTTP/2 client connections and server for calls between peers. */
import type { Http2Server, Http2ServerRequest, Http2ServerResponse, ServerHttp2Session } from "node:http2";
import { constants, createServer } from "node:http2";
import { Readable } from "node:stream";
import type { ServiceImpl, Transport } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { SegmentBuffer } from "../../base/common/segment_buffer.ts";
import type { IListenAddress } from "../../base/node/listen.ts";
import { listen } from "../../base/node/listen.ts";
import type { IPeerTransports } from "../../membership/common/peer_client.ts";
import type { MemoryHolder } from "../../services/connections/common/memory_account.ts";
import { HolderGroup } from "../../services/connections/common/memory_account.ts";
import type { IClientResources } from "../../services/connections/node/client_resources.ts";
import { limitConnections } from "../../services/connections/node/limit_connections.ts";
import { ListenerKind, ReleaseLog } from "../../services/connections/node/release_log.ts";

/** Interval of pings on a connection with calls in progress. */
const PING_INTERVAL_MS = 2000;
const PING_TIMEOUT_MS = 1500;
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;
/** Code with which the stream of a message above that is closed. */
const TOO_LARGE_CODE = constants.NGHTTP2_ENHANCE_YOUR_CALM;
/** Calls of one peer at the same time. */
const MAX_STREAMS = 1000;

/**
 * Sessions to one peer, whose errors never end the process: the library's manager removes its listener when a session is given up,
 * while the session may still report the error with which its peer's end has destroyed it. Failures reach the calls in any case.
 */
class PeerSessionManager extends Http2SessionManager {
  override async request(
    ...args: Parameters<Http2SessionManager["request"]>
  ): ReturnType<Http2SessionManager["request"]> {
    const stream = await super.request(...args);
    const { session } = stream;
    if (session !== undefined && !session.listeners("error").includes(ignoreError)) {
      session.on("error", ignoreError);
    }
    return stream;
  }
}

function ignoreError(): void {}

/** Owns one HTTP/2 session to each peer; pings detect and close an unresponsive one. */
export class Http2Transports implements IPeerTransports {
  readonly #sessions = new Map<string, PeerSessionManager>();

  get(address: string): Transport {
    const baseUrl = `http://${address}`;
    const sessionManager = new PeerSessionManager(baseUrl, {
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

export interface IPeerServerOptions {
  readonly resources: IClientResources;
  readonly maxConnections: number;
}

/** Serves the peer protocol to the other instances. */
export class PeerServer {
  readonly #server: Http2Server;
  readonly #sessions = new Map<ServerHttp2Session, PeerSession>();
  readonly #handler: ReturnType<typeof connectNodeAdapter>;

  constructor(
    service: ServiceImpl<typeof PeerService>,
    { resources, maxConnections }: IPeerServerOptions,
  ) {
    this.#handler = connectNodeAdapter({
      routes: (router) => router.service(PeerService, service),
      readMaxBytes: MAX_MESSAGE_BYTES,
      writeMaxBytes: MAX_MESSAGE_BYTES,
    });
    const settings = { maxConcurrentStreams: MAX_STREAMS };
    this.#server = createServer({ settings }, (req, res) => void this.#serve(req, res));
    const group = new HolderGroup(maxConnections);
    const releases = new ReleaseLog({ ...resources, listener: ListenerKind.Peers, group });
    limitConnections(this.#server, { maxConnections, releases });
    this.#server.on("session", (session) => {
      const holder = resources.account.open({
        group,
        onDidRelease: (release) => {
          releases.record(release, { isRefused: false });
          session.destroy();
        },
      });
      this.#sessions.set(session, new PeerSession(holder));
      session.on("close", () => {
        holder.close();
        this.#sessions.delete(session);
      });
    });
  }

  listen(address: IListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  dispose(): void {
    for (const session of this.#sessions.keys()) session.destroy();
    this.#server.close();
  }

  /** Receives the message before the call is served, so that it is charged to the connection. */
  async #serve(req: Http2ServerRequest, res: Http2ServerResponse): Promise<void> {
    res.on("error", () => {});
    const session = this.#sessions.get(req.stream.session as ServerHttp2Session);
    if (session === undefined) return req.stream.close();
    const message = await session.receive(req);
    if (message === undefined) return void res.stream?.close();
    session.begin();
    if (req.stream.destroyed) return session.end(message.length);
    res.on("close", () => session.end(message.length));
    this.#handler(Object.assign(Readable.from([message]), copyOfHead(req)) as unknown as typeof req, res);
  }
}

/** What the connection of a peer holds. */
class PeerSession {
  readonly #holder: MemoryHolder;
  #messageBytes = 0;
  #calls = 0;

  constructor(holder: MemoryHolder) {
    this.#holder = holder;
  }

  /** Resolves to undefined if the message is too large, or is not received completely. */
  receive(req: Http2ServerRequest): Promise<Uint8Array | undefined> {
    const buffer = new SegmentBuffer();
    return new Promise((resolve) => {
      const settle = (message: Uint8Array | undefined, chargedBytes: number) => {
        this.#grow((message?.length ?? 0) - chargedBytes);
        buffer.clear();
        resolve(message);
      };
      req.on("data", (piece: Uint8Array) => {
        const { capacity } = buffer;
        if (buffer.length + piece.length > MAX_MESSAGE_BYTES) return req.stream.close(TOO_LARGE_CODE);
        buffer.append(piece);
        this.#grow(buffer.capacity - capacity);
      });
      req.on("end", () => {
        const { capacity } = buffer;
        settle(buffer.take(), capacity);
      });
      req.on("error", () => {});
      // Does nothing after the end.
      req.on("close", () => settle(undefined, buffer.capacity));
    });
  }

  /** Counts a call that is served. */
  begin(): void {
    this.#calls += 1;
    this.#holder.isBusy = true;
  }

  end(messageBytes: number): void {
    this.#calls -= 1;
    this.#holder.isBusy = this.#calls > 0;
    this.#holder.renew();
    this.#grow(-messageBytes);
  }

  #grow(bytes: number): void {
    this.#messageBytes += bytes;
    this.#holder.resize(this.#messageBytes);
  }
}

/** What the adapter reads of a request beside its message. It takes the end of a stream for that of its call. */
function copyOfHead(
  { method, url, headers, httpVersion, httpVersionMajor, authority, socket }: Http2ServerRequest,
) {
  return { method, url, headers, httpVersion, httpVersionMajor, authority, socket };
}
