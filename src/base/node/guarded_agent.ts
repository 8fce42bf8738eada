/** Pool of connections that drops one which brings bytes while no request is under way. */
import type { Socket } from "node:net";
import type { AgentOptions, ClientRequest, IncomingMessage } from "node:http";
import { Agent } from "node:http";

/** Time before a server's announced idle limit at which a connection is given up, in ms. */
const IDLE_MARGIN_MS = 700;
const MS_PER_SECOND = 1000;

interface IPooledSocket extends Socket {
  _httpMessage?: { res?: IncomingMessage };
}

export class GuardedAgent extends Agent {
  readonly #guards = new WeakMap<Socket, () => void>();
  #isRetired = false;

  constructor(opts: AgentOptions) {
    super({ keepAlive: true, noDelay: true, ...opts });
  }

  /** Ends idle connections, now and as they become idle; requests under way go on. */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  override keepSocketAlive(socket: IPooledSocket): boolean {
    if (this.#isRetired) return false;
    const idleMs = announcedIdleMs(socket._httpMessage?.res);
    if (idleMs !== undefined && idleMs <= IDLE_MARGIN_MS) return false;
    // The method returns whether the connection is kept; its type declaration omits that.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    if (idleMs !== undefined) socket.setTimeout(idleMs - IDLE_MARGIN_MS);
    // Bytes on an idle connection belong to no request; they must not be taken for the next answer.
    const drop = () => socket.destroy();
    socket.on("data", drop);
    this.#guards.set(socket, drop);
    return true;
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    const drop = this.#guards.get(socket);
    if (drop !== undefined) socket.removeListener("data", drop);
    socket.setTimeout(0);
    super.reuseSocket(socket, req);
  }
}

/** How long a server keeps an idle connection, as it announced it; undefined if it did not. */
function announcedIdleMs(res: IncomingMessage | undefined): number | undefined {
  const header = res?.headers["keep-alive"];
  const seconds = /(?:^|,)\s*timeout=(\d+)/.exec(typeof header === "string" ? header : "")?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}
