/** Ends an HTTP message with its body. */
import type { OutgoingMessage } from "node:http";

/** Longer bodies cost more to convert than a separate write of the head does. */
const MAX_JOINED_BYTES = 4096;

/**
 * Node.js joins the head and a body that is a string into one write, and writes the head and a body of bytes separately. The
 * bytes sent are the same. The headers must state the body's length.
 */
export function endMessage(message: OutgoingMessage, body: Uint8Array): void {
  if (body.length === 0) message.end();
  else if (body.length > MAX_JOINED_BYTES) message.end(body);
  else message.end(Buffer.from(body.buffer, body.byteOffset, body.length).toString("latin1"), "latin1");
}
