/** Reads past a response that belongs to an earlier request on the same connection. */
import type { ClientRequest, IncomingMessage } from "node:http";
import { request } from "node:http";

/** Limit on the body of a skipped response; closing the connection is cheaper than reading more. */
const MAX_SKIPPED_BYTES = 64 * 1024;

/**
 * Skips the response of a request and calls back with another request object, which reads the next response on the
 * connection and sends nothing; with undefined if no further response can follow. The connection is closed after the next one.
 */
export function skipResponse(
  { req, res, maxHeaderSize }: { req: ClientRequest; res: IncomingMessage; maxHeaderSize: number },
  callback: (next: ClientRequest | undefined) => void,
): void {
  const { socket, method } = req;
  let skippedBytes = 0;
  res.on("data", (chunk: Uint8Array) => {
    skippedBytes += chunk.length;
    if (skippedBytes > MAX_SKIPPED_BYTES) res.destroy();
  });
  res.on("error", () => {});
  // Node.js emits this before it returns the connection to the pool, and reads nothing in between.
  req.once("close", () => {
    if (socket === null || socket.destroyed || !socket.writable || !res.complete) return callback(undefined);
    socket.emit("agentRemove");
    // A request that is never ended writes nothing.
    callback(request({ method, maxHeaderSize, createConnection: () => socket }));
  });
}
