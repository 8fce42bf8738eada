/** HTTP agent that tells where each response on its connections ends. */
import type { ClientRequestArgs, IncomingMessage } from "node:http";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

interface IClientSocket extends Socket {
  /** Request that uses the socket. */
  _httpMessage?: { res?: IncomingMessage };
  /** Absent between a complete response and the next request. */
  parser?: object | null;
}

/** The peer reset a connection, which Node.js reported as an ordinary end. */
export class ConnectionResetError extends Error {
  readonly code = "ECONNRESET";

  constructor() {
    super("the connection was reset within a response");
  }
}

/**
 * A body that has neither a length nor chunks ends with its connection, and Node.js ends it in order even if the connection
 * is reset: it reports the reset on the request only, or, if data arrived with it, not at all.
 *
 * Data that arrives between a complete response and the next request belongs to neither. Node.js ignores it, although the
 * rest of it may still be on its way and would be read as the next response.
 */
export class StrictAgent extends Agent {
  override createConnection(
    opts: ClientRequestArgs,
    callback?: (err: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const socket = super.createConnection(opts, callback) as IClientSocket;
    const failResponse = (err: Error) => {
      const res = socket._httpMessage?.res;
      if (res?.complete === false) res.destroy(err);
    };
    // Both listeners run before those of the parser, which end the body.
    socket.on("error", failResponse);
    socket.prependListener("end", () => {
      if (isReset(socket)) failResponse(new ConnectionResetError());
    });
    socket.on("data", () => {
      if (!socket.parser) socket.destroy();
    });
    return socket;
  }
}

/** Whether the peer has reset a connection that has ended. Its address is known as long as this end is open. */
function isReset({ remoteAddress }: Socket): boolean {
  return remoteAddress === undefined;
}
