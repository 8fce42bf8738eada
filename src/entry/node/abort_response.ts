/** Ends a response that must not appear complete. */
import type { ServerResponse } from "node:http";

/** Closes the connection; resets it if a response without chunks, which callers of HTTP/1.0 get, would end with it in order. */
export function abortResponse(res: ServerResponse): void {
  if (res.headersSent && !res.chunkedEncoding) res.socket?.resetAndDestroy();
  res.destroy();
}
