/** Two gateways on real sockets that share a store in memory and one backend server. */
import { createSocket } from "node:dgram";
import type { IncomingMessage, OutgoingHttpHeaders, Server } from "node:http";
import { createServer, request } from "node:http";
import type { LogLine } from "./single_gateway.ts";
import { SingleGateway } from "./single_gateway.ts";
import { PartitionedLogCore } from "../stand_ins/partitioned_log_core.ts";

const CALLER_PORT = 7551;
const SERVER_PORT = 7559;
const PEER_PORT_OFFSET = 2;
const DATAGRAM_PORT_OFFSET = 3;
/** Long enough that no verdict depends on the speed of the machine. */
const TIMEOUT_MS = 60_000;
const RETAIN_S = 600;
const TOKENS_PER_EVENT = 22;
/** Service of the entries that show up to which change the list has been read. */
const MARKER_SERVICE = "marker";

export interface IReply {
  /** 0 if the connection ended without a response. */
  readonly status: number;
  readonly text: string;
}

export interface IProgramTurn {
  readonly programId: string;
  readonly turnId: string;
  readonly previousTurnId?: string;
}

export class GatewayPair {
  readonly log = new PartitionedLogCore();
  readonly hosts: readonly string[];
  readonly gateways: readonly SingleGateway[];
  readonly #server: Server;
  readonly #listeners = new Set<() => void>();
  #requests = 0;
  #markers = 0;

  /** The backend server listens on the first host. */
  constructor(hosts: readonly [string, string], settings: object = {}) {
    this.hosts = hosts;
    const seeds = hosts.map((host) => `${host}:${CALLER_PORT + PEER_PORT_OFFSET}`);
    this.gateways = hosts.map((host) =>
      new SingleGateway({
        host,
        callerPort: CALLER_PORT,
        log: this.log,
        settings: { instance: host, seeds, ...settings },
        onLine: () => this.#notify(),
      })
    );
    this.#server = createServer((req, res) => {
      const isTurn = req.url?.startsWith("/stream/");
      res.writeHead(200, {
        "Ragwortcleat-Request-Id": String(req.headers["ragwortcleat-request-id"]),
        "Ragwortcleat-Seal": "x",
        "Content-Type": isTurn ? "text/event-stream" : "text/plain",
      });
      res.end(isTurn ? "id: 1\ndata: served\n\n" : "served");
    });
    const [publisher] = this.gateways;
    const kept = { kind: "stream", KeepContext: true, RetainS: RETAIN_S };
    const routes = [{ kind: "safe" }, { kind: "unsafe" }, kept];
    publisher.publishRoutes(routes, { timeoutMs: TIMEOUT_MS, tokensPerEvent: TOKENS_PER_EVENT });
    publisher.listServers([`${hosts[0]}:${SERVER_PORT}`]);
  }

  /** Log lines of both gateways. */
  get lines(): readonly LogLine[] {
    return this.gateways.flatMap(({ lines }) => lines);
  }

  async start(): Promise<void> {
    const [host] = this.hosts;
    await new Promise<void>((resolve) => this.#server.listen(SERVER_PORT, host, resolve));
    await Promise.all(this.gateways.map((gateway) => gateway.start()));
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.stop()));
    this.#server.closeAllConnections();
    this.#server.close();
  }

  linesOf(event: string): LogLine[] {
    return this.lines.filter((line) => line.event === event);
  }

  /** Waits until something that the log lines of both gateways show is true. */
  async awaitLines(isReached: () => boolean): Promise<void> {
    while (!isReached()) {
      await new Promise<void>((resolve) => this.#listeners.add(resolve));
    }
  }

  /** Waits until both gateways have read what the list of servers contains now. */
  async awaitListRead(): Promise<void> {
    const id = `marker${++this.#markers}`;
    const [publisher] = this.gateways;
    publisher.list(id, {
      Service: MARKER_SERVICE,
      Addr: `${this.hosts[0]}:${SERVER_PORT}`,
      Zone: "z",
      Slots: 1,
      State: "ready",
      born: 1,
    });
    const isListed = (gateway: SingleGateway) =>
      gateway.linesOf("backend-listed").some((line) => line.id === id);
    await this.awaitLines(() => this.gateways.every(isListed));
  }

  /** Sends a request through a gateway. */
  send(host: string, path: string, headers: OutgoingHttpHeaders = {}): Promise<IReply> {
    return fetchText({
      host,
      port: CALLER_PORT,
      path,
      headers: { "Host": "h", "Ragwortcleat-Request-Id": `r${++this.#requests}`, ...headers },
    });
  }

  /** Sends a turn of a program through a gateway. */
  sendTurn(host: string, { programId, turnId, previousTurnId }: IProgramTurn): Promise<IReply> {
    return this.send(host, "/stream/a", {
      "Ragwortcleat-Request-Id": turnId,
      "Ragwortcleat-Program": programId,
      "Ragwortcleat-Session": "s",
      "Ragwortcleat-Token-Budget": "1000",
      "Ragwortcleat-Token-Count": "100,50",
      "Ragwortcleat-Prompt-Prefix": `${turnId}:100`,
      ...previousTurnId === undefined ? {} : { "Ragwortcleat-Previous-Turn": previousTurnId },
    });
  }

  /** Sends a body to a path of a gateway's peer address, as another instance does. */
  callPeer(host: string, path: string, body: Uint8Array, headers: OutgoingHttpHeaders = {}): Promise<IReply> {
    const port = CALLER_PORT + PEER_PORT_OFFSET;
    return fetchText({
      host,
      port,
      path,
      body,
      headers: { "Content-Type": "application/proto", "Content-Length": body.length, ...headers },
    });
  }

  /** Sends datagrams to a gateway, as another instance does. */
  async sendDatagrams(host: string, datagrams: readonly Uint8Array[]): Promise<void> {
    const socket = createSocket("udp4");
    for (const datagram of datagrams) {
      await new Promise<void>((resolve) =>
        socket.send(datagram, CALLER_PORT + DATAGRAM_PORT_OFFSET, host, () => resolve())
      );
    }
    socket.close();
  }

  #notify(): void {
    for (const listener of [...this.#listeners]) listener();
    this.#listeners.clear();
  }
}

interface IFetch {
  readonly host: string;
  readonly port: number;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body?: Uint8Array;
}

function fetchText({ host, port, path, headers, body }: IFetch): Promise<IReply> {
  return new Promise((resolve) => {
    const fail = () => resolve({ status: 0, text: "" });
    const onResponse = (res: IncomingMessage) => {
      let text = "";
      res.on("data", (chunk) => text += chunk);
      res.on("end", () => resolve({ status: res.statusCode ?? 0, text }));
      res.on("error", fail);
    };
    const method = body === undefined ? "GET" : "POST";
    request({ host, port, path, headers, method, agent: false }, onResponse).on("error", fail).end(body);
  });
}
