/** HTTP/1.1 connections to one other instance. */
import type { ClientRequestArgs } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Duplex } from "node:stream";
import { KeepAliveAgent } from "../../base/node/keep_alive_agent.ts";

/** Number of new connections that may wait for their first response, interim or final, without any delay for the next one. */
const MAX_UNPROVEN = 2;
/** Delay after which one more connection is opened beyond {@link MAX_UNPROVEN}; doubled for each that still waits. */
const OPEN_DELAY_MS = 1000;
/** Time within which a response proves that its connection is not lost. */
const PROOF_LIFETIME_MS = 2000;

/**
 * Node.js accepts one connection per iteration of the event loop, while requests on accepted connections are read together. A
 * busy instance to which every call opens a new connection, and gives it up after a time limit, only accepts connections that
 * nobody uses any more. So calls wait for an open connection rather than open many that the peer has not answered on yet.
 */
export class PeerConnections extends KeepAliveAgent {
  /** New connections without a response, be it an interim one. */
  readonly #unproven = new Set<Socket>();
  readonly #openDelayMs: number;
  readonly #respondedAtMs = new WeakMap<Socket, number>();
  /** Calls that wait for a connection, in order. */
  readonly #waiting = new Set<() => void>();
  #openedAtMs = -Infinity;
  #openTimer: NodeJS.Timeout | undefined;

  constructor(openDelayMs: number = OPEN_DELAY_MS) {
    super({});
    this.#openDelayMs = openDelayMs;
    this.on("free", () => this.#startWaiting());
  }

  /**
   * Runs a function that sends one request, as soon as a connection is free or another one may be opened. Returns a function
   * that withdraws it.
   */
  schedule(start: () => void): () => void {
    if (this.#isAvailable()) start();
    else {
      this.#waiting.add(start);
      this.#openLater();
    }
    return () => this.#waiting.delete(start);
  }

  /** Closes idle connections without a recent response: an intermediary may have dropped its state for them. */
  closeStale(): void {
    const oldestMs = performance.now() - PROOF_LIFETIME_MS;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        if ((this.#respondedAtMs.get(socket) ?? -Infinity) < oldestMs) socket.destroy();
      }
    }
  }

  override createConnection(
    opts: ClientRequestArgs,
    callback?: (err: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const socket = super.createConnection(opts, callback) as Socket;
    this.#openedAtMs = performance.now();
    this.#unproven.add(socket);
    socket.on("data", () => {
      this.#respondedAtMs.set(socket, performance.now());
      // Deferred, so that a connection whose response is complete is free by then.
      if (this.#unproven.delete(socket)) setImmediate(() => this.#startWaiting());
    });
    socket.once("close", () => {
      this.#unproven.delete(socket);
      this.#startWaiting();
    });
    return socket;
  }

  override destroy(): void {
    clearTimeout(this.#openTimer);
    this.#waiting.clear();
    super.destroy();
  }

  /** Each start uses a free connection or opens one at once, so that the next one sees the change. */
  #startWaiting(): void {
    for (const start of this.#waiting) {
      if (!this.#isAvailable()) return this.#openLater();
      this.#waiting.delete(start);
      start();
    }
  }

  #isAvailable(): boolean {
    const hasFree = Object.values(this.freeSockets).some((sockets) =>
      sockets?.some(({ destroyed }) => !destroyed)
    );
    return hasFree || this.#timeToOpenMs() <= 0;
  }

  /** Time until another connection may be opened, in ms. */
  #timeToOpenMs(): number {
    const excess = this.#unproven.size - MAX_UNPROVEN;
    if (excess < 0) return 0;
    return this.#openedAtMs + this.#openDelayMs * 2 ** excess - performance.now();
  }

  #openLater(): void {
    clearTimeout(this.#openTimer);
    this.#openTimer = setTimeout(() => this.#startWaiting(), Math.max(1, Math.ceil(this.#timeToOpenMs())))
      .unref();
  }
}
