/**
 * Keeps the connections of an HTTP server within the limits on memory, connections and processor time.
 *
 * Requests that a client sends ahead wait in their connection, which is not read any further while some wait, while several are
 * being served, or while the client does not read its answers. What a connection keeps is charged to the account of the process
 * ({@link MemoryAccount}), which decides which connection gives way.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { IRelease, MemoryHolder } from "../common/memory_account.ts";
import { HolderGroup, ReleaseCause } from "../common/memory_account.ts";
import type { IClientResources } from "./client_resources.ts";
import { limitConnections } from "./limit_connections.ts";
import type { ListenerKind } from "./release_log.ts";
import { ReleaseLog } from "./release_log.ts";

/** Requests of one connection that are served at the same time. */
const MAX_SERVED_REQUESTS = 4;
/** Bytes of answers that a client has not read, from which its connection is not read any further. */
const MAX_UNREAD_BYTES = 64 * 1024;
/** Memory of a request that waits behind others of its connection: its parsed head and its response. */
const WAITING_REQUEST_BYTES = 8 * 1024;
/** Connections of one address that are read at the same time although their bodies have been refused. */
const MAX_DISCARDING_CONNECTIONS = 8;
const EXPECTATION_FAILED_STATUS = 417;

export interface IConnectionGuardOptions extends IClientResources {
  readonly server: Server;
  readonly listener: ListenerKind;
  readonly maxConnections: number;
  readonly serve: (exchange: Exchange) => void;
}

/** Whether a request is being served. */
enum ExchangeState {
  Waiting = "waiting",
  Served = "served",
  Ended = "ended",
}

/** A request, and the response to it. */
export class Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: GuardedConnection;
  state = ExchangeState.Waiting;
  /** Called once, when the response has been sent or the connection has ended. */
  onDidEnd: (() => void) | undefined;
  /** Called when the connection must give way while the request's body is being received; it must refuse the request. */
  onWillRelease: (() => void) | undefined;
  #bodyBytes = 0;

  constructor(connection: GuardedConnection, { req, res }: Pick<Exchange, "req" | "res">) {
    this.connection = connection;
    this.req = req;
    this.res = res;
  }

  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Sets the memory that the request's body takes, until the exchange ends. */
  resizeBody(bytes: number): void {
    if (this.state === ExchangeState.Ended) return;
    const growthBytes = bytes - this.#bodyBytes;
    this.#bodyBytes = bytes;
    this.connection.growBodies(growthBytes);
  }

  /** Charges what has been written of the response and not sent. */
  chargeResponse(): void {
    this.connection.update();
  }
}

/** A client's connection. */
export class GuardedConnection {
  readonly socket: Socket;
  /** Whether it has given way to others. */
  isReleased = false;
  readonly #guard: ConnectionGuard;
  readonly #holder: MemoryHolder;
  readonly #waiting: Exchange[] = [];
  readonly #served = new Set<Exchange>();
  #bodyBytes = 0;
  #heldUntilMs = 0;
  #holdTimer: NodeJS.Timeout | undefined;
  #isSuspended = false;
  #isStopped = false;
  #isPaused = false;
  #isStartScheduled = false;

  constructor(socket: Socket, guard: ConnectionGuard) {
    this.socket = socket;
    this.#guard = guard;
    this.#holder = guard.openHolder((release) => this.#giveWay(release));
    socket.on("close", () => this.#close());
    socket.on("drain", () => this.update());
    // Node.js resumes a connection whose request or response makes progress.
    socket.on("resume", () => {
      if (this.#isPaused) socket.pause();
    });
  }

  get holder(): MemoryHolder {
    return this.#holder;
  }

  get bytesRead(): number {
    return this.socket.bytesRead;
  }

  add(exchange: Exchange): void {
    // The rest of what had been read when the connection gave way.
    if (!this.#holder.isOpen) return void exchange.res.destroy();
    exchange.res.on("prefinish", () => this.update());
    exchange.res.on("close", () => this.#end(exchange));
    if (this.#waiting.length === 0 && this.#canStart(this.#isFull)) this.#start(exchange);
    else this.#wait(exchange);
    this.update();
  }

  growBodies(bytes: number): void {
    this.#bodyBytes += bytes;
    this.update();
  }

  /** Reads nothing for some time. */
  hold(delayMs: number): void {
    this.#heldUntilMs = this.#guard.now() + delayMs;
    if (this.#holdTimer === undefined) this.#startHoldTimer(delayMs);
    this.update();
  }

  /** Reads nothing until {@link resume} is called. */
  suspend(): void {
    this.#isSuspended = true;
    this.update();
  }

  resume(): void {
    this.#isSuspended = false;
    this.update();
  }

  /** Reads nothing any more; the connection is about to be closed. */
  stopReading(): void {
    this.#isStopped = true;
    this.update();
  }

  /** Charges what the connection keeps, and reads it only if its client has little outstanding. */
  update(): void {
    const unreadBytes = this.#unreadBytes;
    const bytes = this.#bodyBytes + unreadBytes + this.#waiting.length * WAITING_REQUEST_BYTES;
    this.#holder.isBusy = this.#isBusy;
    this.#holder.resize(bytes);
    const isFull = this.#served.size >= MAX_SERVED_REQUESTS || unreadBytes > MAX_UNREAD_BYTES;
    const isClosing = this.#isStopped || !this.#holder.isOpen;
    const isHeld = this.#holdTimer !== undefined || this.#isSuspended;
    this.#setPaused(isFull || this.#waiting.length > 0 || isHeld || isClosing);
    if (this.#canStart(isFull)) this.#scheduleStart();
  }

  get #unreadBytes(): number {
    let bytes = 0;
    // That of the first one includes what the socket has not sent.
    for (const { res } of this.#served) bytes += res.writableLength;
    return bytes;
  }

  get #isFull(): boolean {
    return this.#served.size >= MAX_SERVED_REQUESTS || this.#unreadBytes > MAX_UNREAD_BYTES;
  }

  /** Beyond one request, a connection takes the place of another one in what the address serves. */
  #canStart(isFull: boolean): boolean {
    return !isFull && (this.#served.size === 0 || !this.#guard.isBusy);
  }

  /** Whether a whole request has been received and its response is not complete. */
  get #isBusy(): boolean {
    for (const { req, res } of this.#served) if (req.complete && !res.writableEnded) return true;
    return false;
  }

  #startHoldTimer(delayMs: number): void {
    this.#holdTimer = setTimeout(() => {
      this.#holdTimer = undefined;
      const leftMs = this.#heldUntilMs - this.#guard.now();
      if (leftMs > 0) this.#startHoldTimer(leftMs);
      else this.update();
    }, delayMs);
  }

  #setPaused(isPaused: boolean): void {
    if (this.#isPaused === isPaused) return;
    this.#isPaused = isPaused;
    if (this.socket.destroyed) return;
    if (isPaused) this.socket.pause();
    else this.socket.resume();
  }

  #wait(exchange: Exchange): void {
    this.#waiting.push(exchange);
    this.#guard.waitingCount += 1;
  }

  #start(exchange: Exchange): void {
    exchange.state = ExchangeState.Served;
    this.#served.add(exchange);
    this.#guard.servedCount += 1;
    this.#guard.serve(exchange);
  }

  /** Starts waiting requests one at a time, so that other connections are served in between. */
  #scheduleStart(): void {
    if (this.#isStartScheduled || this.#waiting.length === 0) return;
    this.#isStartScheduled = true;
    setImmediate(() => {
      this.#isStartScheduled = false;
      if (!this.#canStart(this.#isFull)) return;
      const next = this.#waiting.shift();
      if (next === undefined) return;
      this.#guard.waitingCount -= 1;
      this.#start(next);
      this.update();
    });
  }

  #end(exchange: Exchange): void {
    if (exchange.state === ExchangeState.Ended) return;
    if (exchange.state === ExchangeState.Served) this.#guard.servedCount -= 1;
    exchange.state = ExchangeState.Ended;
    this.#served.delete(exchange);
    this.#bodyBytes -= exchange.bodyBytes;
    if (exchange.res.writableFinished) this.#holder.renew();
    exchange.onDidEnd?.();
    this.update();
  }

  /** Responses that wait behind others do not notice the end of their connection. */
  #close(): void {
    clearTimeout(this.#holdTimer);
    this.#guard.remove(this);
    this.#holder.close();
    this.#guard.waitingCount -= this.#waiting.length;
    const open = [...this.#served, ...this.#waiting.splice(0)];
    for (const exchange of open) this.#end(exchange);
  }

  #giveWay(release: IRelease): void {
    this.isReleased = true;
    this.#guard.suspendReading();
    const [exchange] = this.#served;
    const isReceiving = this.#served.size === 1 && exchange.onWillRelease !== undefined;
    const isRefused = isReceiving && release.cause !== ReleaseCause.Connections;
    this.#guard.releases.record(release, { isRefused });
    if (isRefused) exchange.onWillRelease!();
    else this.socket.resetAndDestroy();
  }
}

export class ConnectionGuard {
  readonly #opts: IConnectionGuardOptions;
  readonly #group: HolderGroup;
  readonly releases: ReleaseLog;
  readonly #connections = new Map<Socket, GuardedConnection>();
  /** Connections whose bodies are being received in tiny pieces. */
  readonly #tinySenders = new Set<MemoryHolder>();
  /** Requests whose bodies are read although they have been refused. */
  readonly #discarding = new Set<Exchange>();
  /** Requests that are being served, and requests that wait behind others of their connection. */
  servedCount = 0;
  waitingCount = 0;

  constructor(opts: IConnectionGuardOptions) {
    this.#opts = opts;
    const { server, maxConnections } = opts;
    this.#group = new HolderGroup(maxConnections);
    this.releases = new ReleaseLog({ ...opts, group: this.#group });
    limitConnections(server, { maxConnections, releases: this.releases });
    server.on("connection", (socket) => this.#connections.set(socket, new GuardedConnection(socket, this)));
    opts.readBrake.onDidEngage(() => this.#connections.forEach((connection) => connection.suspend()));
    opts.readBrake.onDidRelease(() => this.#connections.forEach((connection) => connection.resume()));
    server.on("request", (req, res) => this.#add(req, res));
    // The connection ends with the response, so that nothing needs to be charged for it.
    server.on("checkExpectation", (_req, res) => {
      res.writeHead(EXPECTATION_FAILED_STATUS, { connection: "close", "content-length": 0 });
      res.end();
    });
  }

  /** Whether as many requests are being served as there may be connections. */
  get isBusy(): boolean {
    return this.servedCount >= this.#opts.maxConnections;
  }

  now(): number {
    return this.#opts.now();
  }

  remove(connection: GuardedConnection): void {
    this.#connections.delete(connection.socket);
  }

  /** Lets connections that give way be closed before more is read, since what has been read of them is kept until then. */
  suspendReading(): void {
    this.#opts.readBrake.engage();
  }

  serve(exchange: Exchange): void {
    this.#opts.serve(exchange);
  }

  openHolder(onDidRelease: (release: IRelease) => void): MemoryHolder {
    return this.#opts.account.open({ group: this.#group, onDidRelease });
  }

  /**
   * Records that tiny pieces of a body have been read. Its connection is paused until they are worked off; if there are too many,
   * one of the connections at this address that send such pieces gives way.
   */
  spendWork(pieces: number, { connection }: Exchange): void {
    const { work, account } = this.#opts;
    work.spend(pieces);
    this.#tinySenders.add(connection.holder);
    if (work.isExceeded) account.releaseOne(this.#tinySenders, ReleaseCause.Work);
    connection.hold(work.debtMs);
  }

  /** Records that no more of a body is received. */
  endWork({ connection }: Exchange): void {
    this.#tinySenders.delete(connection.holder);
  }

  /** Returns whether the rest of a refused body may be read. */
  tryDiscard(exchange: Exchange): boolean {
    if (this.#discarding.size >= MAX_DISCARDING_CONNECTIONS) return false;
    this.#discarding.add(exchange);
    exchange.res.on("close", () => this.#discarding.delete(exchange));
    return true;
  }

  #add(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#connections.get(req.socket);
    if (connection === undefined) return void res.destroy();
    connection.add(new Exchange(connection, { req, res }));
  }
}
