/** Caller of HTTP/1.0, whose responses have no chunks and therefore end with their connection. */
import type { Socket } from "node:net";
import { connect } from "node:net";
import { ConnectionEnd } from "./raw_server.ts";

export interface IHttp10Call {
  readonly socket: Socket;
  /** Resolves when the first bytes of the response have arrived. */
  readonly firstBytes: Promise<void>;
  readonly end: Promise<ConnectionEnd>;
}

export function callHttp10(port: number, path: string): IHttp10Call {
  const socket = connect(port, "127.0.0.1");
  const firstBytes = new Promise<void>((resolve) => socket.once("data", () => resolve()));
  const end = new Promise<ConnectionEnd>((resolve) => {
    socket.on("error", () => resolve(ConnectionEnd.Reset));
    socket.on("end", () => resolve(ConnectionEnd.Closed));
  });
  socket.write(`GET ${path} HTTP/1.0\r\nHost: h\r\n\r\n`);
  return { socket, firstBytes, end };
}
