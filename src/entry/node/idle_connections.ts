/** Closes idle connections of an HTTP server without losing a request that is on its way. */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Time that a connection stays open beyond the idle timeout announced to the caller, and beyond the second that Node.js adds: covers
 * the latency of a request sent at the last moment, and stalls of both event loops.
 */
const IDLE_MARGIN_MS = 2000;

/**
 * Replaces the handling of idle timeouts of a server. Node.js closes a connection as soon as its timer runs. After a stall
 * of the event loop timers run before waiting bytes are read, so that the caller's request would be lost with a reset.
 */
export function closeIdleConnections(server: Server): void {
  /** Bytes that had been received when the timer of a connection ran. */
  const received = new WeakMap<Socket, number>();
  /** Response to the request received last on a connection. */
  const latest = new WeakMap<Socket, ServerResponse>();
  server.on("request", (req, res) => latest.set(req.socket, res));
  server.on("timeout", (socket: Socket) => {
    if (latest.get(socket)?.writableFinished === false) return;
    const isUnchanged = received.get(socket) === socket.bytesRead;
    received.set(socket, socket.bytesRead);
    if (!isUnchanged) {
      socket.setTimeout(IDLE_MARGIN_MS);
      return;
    }
    // Waiting bytes are read between the timers and the immediate callbacks.
    setImmediate(() => {
      if (socket.bytesRead === received.get(socket)) socket.destroySoon();
    });
  });
}
