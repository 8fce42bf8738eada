/** Reading the body of a unary message. */
import type { IncomingMessage } from "node:http";
import { Code, ConnectError } from "@connectrpc/connect";

/** Media type of a unary message in the Connect protocol's binary format. */
export const CONTENT_TYPE_PROTO = "application/proto";

/** Rejects if the body exceeds the limit, or is not received completely. */
export function readUnaryBody(message: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    let hasEnded = false;
    const fail = (err?: Error) =>
      reject(
        new ConnectError("the body was not received completely", Code.Aborted, undefined, undefined, err),
      );
    message.on("data", (chunk: Uint8Array) => {
      size += chunk.length;
      if (size <= maxBytes) return void chunks.push(chunk);
      reject(new ConnectError(`the body exceeds ${maxBytes} bytes`, Code.ResourceExhausted));
    });
    message.on("end", () => {
      hasEnded = true;
      if (message.complete) resolve(join(chunks, size));
      else fail();
    });
    message.on("error", fail);
    message.on("close", () => {
      if (!hasEnded) fail();
    });
  });
}

/** Copies the chunks, so that a stored part of the message does not retain the buffers of the connection. */
function join(chunks: readonly Uint8Array[], size: number): Uint8Array {
  const bytes = new Uint8Array(size);
  let at = 0;
  for (const chunk of chunks) {
    bytes.set(chunk, at);
    at += chunk.length;
  }
  return bytes;
}
