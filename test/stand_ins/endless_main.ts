/**
 * Backend servers whose responses never end, as a process of its own. Sends the address of each server by its name when
 * they listen, and their counts whenever it receives a message.
 */
import { once } from "node:events";
import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import process from "node:process";

const FILLER = "x".repeat(16 * 1024);

export interface IEndlessServerCounts {
  readonly connections: number;
  /** Connections that the gateway has not closed. */
  readonly open: number;
  /** Most bytes sent on one connection. */
  readonly maxSentBytes: number;
}

interface IEndlessResponse {
  /** Bytes before those that are repeated without end; `ID` stands for the request's id. */
  readonly first: string;
  readonly repeated: string;
}

const HEAD = "HTTP/1.1 200 OK\r\nRagwortcleat-Request-Id: ID\r\nRagwortcleat-Seal: x\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const FULL_CHUNK = `4000\r\n${FILLER}\r\n`;
const NOT_RUN = "HTTP/1.1 503 Full\r\nRagwortcleat-Request-Id: ID\r\nRagwortcleat-Not-Run: 1\r\n";

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** One server for each of these kinds of response. */
const RESPONSES: Readonly<Record<string, IEndlessResponse>> = {
  "bytes-without-structure": { first: "", repeated: FILLER },
  "status-line": { first: "HTTP/1.1 200 ", repeated: FILLER },
  "header-lines": { first: HEAD, repeated: `X-A: ${"y".repeat(80)}\r\n` },
  "header-value": { first: `${HEAD}X-A: `, repeated: FILLER },
  "informational-heads": { first: "", repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
  "continue-heads": { first: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n" },
  "chunked-body": { first: CHUNKED, repeated: FULL_CHUNK },
  "single-byte-chunks": { first: CHUNKED, repeated: "1\r\nx\r\n".repeat(1000) },
  "body-until-close": { first: `${HEAD}Connection: close\r\n\r\n`, repeated: FILLER },
  "long-body": { first: `${HEAD}Content-Length: 99999999999\r\n\r\n`, repeated: FILLER },
  "chunk-extension": { first: `${CHUNKED}1;a=`, repeated: FILLER },
  "chunk-extensions": { first: CHUNKED, repeated: `1;a=${"y".repeat(200)}\r\nx\r\n`.repeat(50) },
  "trailers": { first: `${CHUNKED}0\r\n`, repeated: `X-A: ${"y".repeat(80)}\r\n` },
  "one-event": { first: `${CHUNKED}${chunk("id: 1\ndata: ")}`, repeated: FULL_CHUNK },
  "comments": { first: CHUNKED, repeated: chunk(":\n\n".repeat(1000)) },
  "blank-lines": { first: CHUNKED, repeated: chunk("\n".repeat(4000)) },
  "events-without-id": { first: CHUNKED, repeated: chunk("data: x\n\n".repeat(400)) },
  "same-event-again": { first: CHUNKED, repeated: chunk("id: 1\ndata: x\n\n".repeat(200)) },
  "not-run-body": { first: `${NOT_RUN}Transfer-Encoding: chunked\r\n\r\n`, repeated: FULL_CHUNK },
};

/** Sends the bytes of a response as fast as its reader takes them. */
class EndlessServer {
  readonly #response: IEndlessResponse;
  readonly #server: Server;
  readonly #open = new Set<Socket>();
  #maxSentBytes = 0;
  #connections = 0;

  constructor(response: IEndlessResponse) {
    this.#response = response;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  get counts(): IEndlessServerCounts {
    return { connections: this.#connections, open: this.#open.size, maxSentBytes: this.#maxSentBytes };
  }

  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  #accept(socket: Socket): void {
    this.#connections += 1;
    this.#open.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => {
      this.#maxSentBytes = Math.max(this.#maxSentBytes, socket.bytesWritten);
      this.#open.delete(socket);
    });
    socket.once("data", (data) => {
      const id = /^ragwortcleat-request-id: (.*)\r$/im.exec(data.toString("latin1"))?.[1] ?? "";
      socket.write(this.#response.first.replace("ID", id));
      this.#pump(socket);
    });
  }

  #pump(socket: Socket): void {
    if (socket.destroyed) return;
    if (socket.write(this.#response.repeated)) setImmediate(() => this.#pump(socket));
    else socket.once("drain", () => this.#pump(socket));
  }
}

const servers = Object.entries(RESPONSES).map(([name, response]) => ({
  name,
  server: new EndlessServer(response),
}));
const addresses: Record<string, string> = {};
for (const { name, server } of servers) addresses[name] = await server.listen();
process.on("message", () => {
  process.send!(Object.fromEntries(servers.map(({ name, server }) => [name, server.counts])));
});
process.on("disconnect", () => process.exit());
process.send!(addresses);
