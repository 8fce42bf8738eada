/** Refuses a request whose body has not been received completely. */
import type { Exchange } from "./connection_guard.ts";

/** Time after which the connection is closed; a client that still sends then is reset. */
const DISCARD_TIMEOUT_MS = 2000;

export interface IBodyRefusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * Closes the connection after the response, since the unread rest of the body would be parsed as a request, but only after some
 * time unless the rest arrives: closing a connection with unread bytes resets it, and the client may lose the response.
 */
export function refuseBody(
  { req, res }: Pick<Exchange, "req" | "res">,
  { status, headers, body }: IBodyRefusal,
): void {
  res.writeHead(status, { ...headers, "connection": "close", "content-length": body.length });
  res.write(body);
  const timer = setTimeout(() => res.end(), DISCARD_TIMEOUT_MS);
  res.on("close", () => clearTimeout(timer));
  req.on("end", () => res.end());
}
