/** Closes idle connections of an HTTP server without losing a request that is on its way. */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Time that a connection stays open beyond the idle timeout announced to the caller, and beyond the second that Node.js adds: covers
 * the latency of a request sent at the last moment, and stalls of both event loops.
 */
const IDLE_MARGIN_MS = 2000;

/** Time that Node.js adds to the idle timeout. */
const NODE_MARGIN_MS = 1000;

/**
 * Replaces the handling of idle timeouts of a server. Node.js closes a connection as soon as its timer runs. After a stall
 * of the event loop timers run before waiting bytes are read, so that the caller's request would be lost with a reset.
 *
 * While the configured timeout changes, a connection stays open for the longer one of two: that announced with its last
 * response, and that in force.
 */
export function closeIdleConnections(server: Server): void {
  /** Bytes that had been received when the timer of a connection ran. */
  const received = new WeakMap<Socket, number>();
  /** Response to the request received last on a connection. */
  const latest = new WeakMap<Socket, ServerResponse>();
  /** Idle timeout for which a connection has been kept. */
  const kept = new WeakMap<Socket, number>();
  server.on("request", ({ socket }, res) => {
    const announcedMs = server.keepAliveTimeout;
    latest.set(socket, res);
    // Runs after the listener with which Node.js sets the timer.
    res.on("finish", () => {
      const keptMs = Math.max(announcedMs, server.keepAliveTimeout);
      kept.set(socket, keptMs);
      if (isShorter(socket.timeout, keptMs + NODE_MARGIN_MS)) socket.setTimeout(keptMs + NODE_MARGIN_MS);
    });
  });
  server.on("timeout", (socket: Socket) => {
    if (latest.get(socket)?.writableFinished === false) return;
    const isUnchanged = received.get(socket) === socket.bytesRead;
    received.set(socket, socket.bytesRead);
    if (!isUnchanged) {
      const raisedMs = Math.max(0, server.keepAliveTimeout - (kept.get(socket) ?? Infinity));
      socket.setTimeout(IDLE_MARGIN_MS + raisedMs);
      return;
    }
    // Waiting bytes are read between the timers and the immediate callbacks.
    setImmediate(() => {
      if (socket.bytesRead === received.get(socket)) socket.destroySoon();
    });
  });
}

/** Whether a timer is set, and for less than the given time. */
function isShorter(timeoutMs: number | undefined, otherMs: number): boolean {
  return timeoutMs !== undefined && timeoutMs > 0 && timeoutMs < otherMs;
}
