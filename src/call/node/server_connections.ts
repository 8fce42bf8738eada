/** Connections to one backend server. */
import type { Agent } from "node:http";
import { KeepAliveAgent } from "../../base/node/keep_alive_agent.ts";
import { StrictAgent } from "../../base/node/strict_agent.ts";

/** Initial delay of TCP keep-alive probes on idle connections. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1000;
/** Number of refused ids that are remembered for each server. */
const MAX_REFUSED_IDS = 128;

export class ServerConnections {
  readonly #pooled = new KeepAliveAgent({ keepAliveMsecs: KEEP_ALIVE_PROBE_DELAY_MS });
  /** Opens a connection for each request. */
  readonly #unpooled = new StrictAgent({ keepAlive: false, noDelay: true });
  readonly #reusesConnections: boolean;
  /** Ids of requests that the server has refused, the oldest first. */
  readonly #refusedIds = new Set<string>();

  constructor({ reusesConnections }: { reusesConnections: boolean }) {
    this.#reusesConnections = reusesConnections;
  }

  /**
   * Returns the agent for a request. On a kept connection, a repetition of an earlier refusal with the same id could not
   * be told from the response to this request.
   */
  agentFor(requestId: string): Agent {
    return this.#reusesConnections && !this.#refusedIds.has(requestId) ? this.#pooled : this.#unpooled;
  }

  recordRefusal(requestId: string): void {
    if (!this.#reusesConnections) return;
    this.#refusedIds.add(requestId);
    const [oldest] = this.#refusedIds;
    if (this.#refusedIds.size > MAX_REFUSED_IDS) this.#refusedIds.delete(oldest);
  }

  /** Closes idle connections, and active ones when their request has finished. */
  drain(): void {
    this.#pooled.drain();
  }

  dispose(): void {
    this.#pooled.destroy();
    this.#unpooled.destroy();
  }
}
