/** Ends an HTTP server without losing requests that have arrived but not been read yet. */
import type { Server } from "node:http";

/**
 * Takes no new connections and ends idle ones, after what has already arrived has been read: a process
 * that was short of processor time may find requests on connections that still look idle to it.
 */
export function closeGracefully(server: Server): void {
  // Between two immediates the event loop reads from all sockets once.
  setImmediate(() => setImmediate(() => server.close()));
}
