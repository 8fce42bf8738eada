/** Server that replies with given bytes on the raw connection and then ends it. */
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";

/** How a server ends a connection after the bytes of its response. */
export enum ConnectionEnd {
  /** The connection is closed in order. */
  Closed = "closed",
  /** The connection is reset. */
  Reset = "reset",
}

type RawBytes = string | Uint8Array;

export interface IRawReply {
  /** All bytes of the response, including its head; a list is written one after the other. */
  readonly bytes: RawBytes | readonly RawBytes[];
  /** The connection stays open if it is undefined. */
  readonly end: ConnectionEnd | undefined;
}

export interface IRawServer {
  readonly address: string;
  close(): void;
}

/** Makes the reply to a request; returns undefined if it writes to the connection itself. */
export type RawReplier = (request: string, socket: Socket) => IRawReply | undefined;

/** Starts a server that makes the reply to the bytes of each request, which must arrive at once. */
export async function startRawServer(replier: RawReplier): Promise<IRawServer> {
  const server = createServer((socket) => {
    socket.unref();
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const reply = replier(data.toString("latin1"), socket);
      if (reply === undefined) return;
      const { bytes, end } = reply;
      writeAll(socket, isList(bytes) ? bytes : [bytes]).then(() => endConnection(socket, end), () => {});
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, close: () => server.close() };
}

function isList(bytes: IRawReply["bytes"]): bytes is readonly RawBytes[] {
  return Array.isArray(bytes);
}

async function writeAll(socket: Socket, pieces: readonly RawBytes[]): Promise<void> {
  for (const piece of pieces) {
    if (piece.length === 0) continue;
    await new Promise<void>((resolve, reject) => socket.write(piece, (err) => err ? reject(err) : resolve()));
  }
}

function endConnection(socket: Socket, end: ConnectionEnd | undefined): void {
  if (end === ConnectionEnd.Closed) socket.end();
  if (end === ConnectionEnd.Reset) socket.resetAndDestroy();
}
