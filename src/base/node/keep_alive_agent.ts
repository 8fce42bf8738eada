/** Keep-alive connection pool that closes idle connections before the server does. */
import type { Socket } from "node:net";
import type { AgentOptions, ClientRequest, IncomingMessage } from "node:http";
import { StrictAgent } from "./strict_agent.ts";

/** Time before the server's announced idle timeout at which an idle connection is closed, in ms. */
const IDLE_MARGIN_MS = 700;
const MS_PER_SECOND = 1000;
/** Longer timeouts make no difference, and Node.js throws for those that are not finite. */
const MAX_IDLE_MS = 24 * 60 * 60 * MS_PER_SECOND;

interface IPooledSocket extends Socket {
  _httpMessage?: { res?: IncomingMessage };
}

export class KeepAliveAgent extends StrictAgent {
  #isDraining = false;

  constructor(opts: AgentOptions) {
    super({ keepAlive: true, noDelay: true, ...opts });
  }

  /** Closes idle connections, and active ones when their request has finished. */
  drain(): void {
    this.#isDraining = true;
    this.closeIdle();
  }

  /** Closes idle connections. */
  closeIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  override keepSocketAlive(socket: IPooledSocket): boolean {
    if (this.#isDraining) return false;
    const idleTimeoutMs = announcedIdleTimeoutMs(socket._httpMessage?.res);
    if (idleTimeoutMs !== undefined && idleTimeoutMs <= IDLE_MARGIN_MS) return false;
    // The method returns whether the connection is kept; its type declaration omits that.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    if (idleTimeoutMs !== undefined) socket.setTimeout(idleTimeoutMs - IDLE_MARGIN_MS);
    return true;
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    socket.setTimeout(0);
    super.reuseSocket(socket, req);
  }
}

/** The server's idle timeout from its Keep-Alive header, in ms; undefined without one. */
function announcedIdleTimeoutMs(res: IncomingMessage | undefined): number | undefined {
  const header = res?.headers["keep-alive"];
  const seconds = /(?:^|,)\s*timeout=(\d+)/.exec(typeof header === "string" ? header : "")?.[1];
  return seconds === undefined ? undefined : Math.min(Number(seconds) * MS_PER_SECOND, MAX_IDLE_MS);
}
