/** Finds out whether this instance has lost its links to all backend servers. */
import type { Scope } from "effect";
import { Clock, Deferred, Effect, Fiber } from "effect";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import { Signal } from "../../base/common/signal.ts";
import type { BackendDirectory, IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { supervise } from "../../services/logging/common/supervision.ts";

/** Time for which a request waits, with no response from any server meanwhile, before the links are checked. */
const SILENCE_MS = 400;
/** Interval between two looks at the waiting requests. */
const CHECK_INTERVAL_MS = 100;
/** Minimum interval between two checks of the links that failed connections cause. */
const MIN_PROBE_INTERVAL_MS = 700;
/** The same for requests that wait: overloaded servers let many wait, and each check costs a connection. */
const MIN_SILENCE_PROBE_INTERVAL_MS = 1500;
/** Time within which connections to several servers are lost if the links are lost. */
const LOSS_WINDOW_MS = 300;
/** Number of servers from which the loss of connections is a reason to check the links. */
const MIN_LOST_SERVERS = 2;
/** Minimum interval between two checks that lost connections cause. */
const MIN_LOSS_PROBE_INTERVAL_MS = 100;
/** Interval between checks while the links are lost. */
const RECOVERY_PROBE_INTERVAL_MS = 500;
/** Number of servers to which connections are tried; all must fail. */
const PROBED_SERVERS = 4;
/** Time after which the others are tried beside the first one, which is enough as long as the links are sound. */
const FIRST_PROBE_MS = 150;
/** Time limit for a connection. A reachable server accepts one within a few milliseconds. */
export const PROBE_TIMEOUT_MS = 400;
/** Delay beyond the time limit from which a check proves nothing: this instance stood still. */
const MAX_PROBE_DELAY_MS = 200;

/** Time after which a failed check proves nothing. */
const MAX_CHECK_MS = FIRST_PROBE_MS + PROBE_TIMEOUT_MS + MAX_PROBE_DELAY_MS;

/** Tries to connect to backend servers. */
export interface IConnectProbe {
  /** Whether a new connection is established within {@link PROBE_TIMEOUT_MS}. Nothing is sent on it. */
  connect(backend: IBackendEntry): Effect.Effect<boolean>;
}

export interface IServerLinkMonitorOptions {
  readonly directory: BackendDirectory;
  readonly probe: IConnectProbe;
  readonly logger: ILogger;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** A request for which no response has arrived yet. */
interface IWaitingSend {
  readonly sentAtMs: number;
}

/**
 * Tries new connections to several servers of all services if a connection fails or nothing arrives from any
 * server for a moment. One silent, overloaded or lost server says nothing about the links; neither does a check
 * that took too long because this instance stood still.
 */
export class ServerLinkMonitor {
  readonly #opts: IServerLinkMonitorOptions;
  readonly #waiting = new Set<IWaitingSend>();
  /** Notified when there is a reason to look at the links. */
  readonly #wakeSignal = new Signal();
  readonly #onDidChange = new Emitter<boolean>();
  /** Fires when the links are lost (true) or regained (false). */
  readonly onDidChange: Event<boolean> = this.#onDidChange.event;
  #isCutOff = false;
  #lastResponseAtMs = -Infinity;
  #lastProbeAtMs = -Infinity;
  #cutOffSinceMs = 0;
  #hasConnectFailed = false;
  /** Time of the last loss of an established connection, by server id. */
  readonly #lostAtMs = new Map<string, number>();
  #runningCheck: Deferred.Deferred<void> | undefined;

  constructor(opts: IServerLinkMonitorOptions) {
    this.#opts = opts;
  }

  /** Whether no server accepts connections from this instance, as far as it knows. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Observes a request until its response head arrives or it fails. */
  observe<A, E>(send: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.flatMap(Clock.currentTimeMillis, (sentAtMs) => {
      const waiting = { sentAtMs };
      this.#waiting.add(waiting);
      if (this.#waiting.size === 1) this.#wakeSignal.notify();
      const recordResponse = Effect.map(Clock.currentTimeMillis, (now) => {
        this.#lastResponseAtMs = now;
      });
      const observed = Effect.tap(send, () => recordResponse);
      return Effect.ensuring(observed, Effect.sync(() => this.#waiting.delete(waiting)));
    });
  }

  /** Records that no connection to a server could be established, and returns whether that holds for all servers. */
  checkAfterConnectFailure(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      this.#hasConnectFailed = true;
      if (this.#isDue(yield* Clock.currentTimeMillis)) yield* this.#check();
      else if (this.#runningCheck !== undefined) yield* Deferred.await(this.#runningCheck);
      return this.#isCutOff;
    });
  }

  /**
   * Records that an established connection to a server was lost, and returns whether the links to all servers are.
   * The loss of one server's connections is no reason to check.
   */
  checkAfterConnectionLoss({ id }: IBackendEntry): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      this.#lostAtMs.set(id, now);
      for (const [server, atMs] of this.#lostAtMs) {
        if (atMs < now - LOSS_WINDOW_MS) this.#lostAtMs.delete(server);
      }
      if (this.#isCutOff || this.#lostAtMs.size < MIN_LOST_SERVERS) return this.#isCutOff;
      if (this.#runningCheck !== undefined) yield* Deferred.await(this.#runningCheck);
      else if (now - this.#lastProbeAtMs >= MIN_LOSS_PROBE_INTERVAL_MS) yield* this.#check();
      return this.#isCutOff;
    });
  }

  /** Checks the links when there is a reason, until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const loop = Effect.gen({ self: this }, function* () {
      while (true) {
        const isIdle = this.#waiting.size === 0 && !this.#isCutOff;
        yield* isIdle ? this.#wakeSignal.wait() : Effect.sleep(CHECK_INTERVAL_MS);
        if (this.#isDue(yield* Clock.currentTimeMillis)) yield* this.#check();
      }
    });
    const { logger } = this.#opts;
    return Effect.asVoid(Effect.forkScoped(supervise(loop, { component: "link monitor", logger })));
  }

  #isDue(now: number): boolean {
    if (this.#runningCheck !== undefined) return false;
    const elapsedMs = now - this.#lastProbeAtMs;
    if (this.#isCutOff) return elapsedMs >= RECOVERY_PROBE_INTERVAL_MS;
    if (elapsedMs >= MIN_PROBE_INTERVAL_MS && this.#hasConnectFailed) return true;
    return elapsedMs >= MIN_SILENCE_PROBE_INTERVAL_MS && this.#isSilent(now);
  }

  /** Whether a request has waited too long, and no server has responded to any since it was sent. */
  #isSilent(now: number): boolean {
    return [...this.#waiting].some(({ sentAtMs }) =>
      sentAtMs <= now - SILENCE_MS && this.#lastResponseAtMs < sentAtMs
    );
  }

  #check(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const finished = Deferred.makeUnsafe<void>();
      this.#runningCheck = finished;
      this.#hasConnectFailed = false;
      const finish = Effect.sync(() => {
        this.#runningCheck = undefined;
        Deferred.doneUnsafe(finished, Effect.void);
      });
      return Effect.ensuring(this.#probeServers(), finish);
    });
  }

  #probeServers(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      this.#lastProbeAtMs = startedAtMs;
      const servers = this.#selectServers();
      if (servers.length === 0) return;
      const isReachable = yield* this.#connectToAny(servers);
      const now = yield* Clock.currentTimeMillis;
      const isConclusive = isReachable || now - startedAtMs <= MAX_CHECK_MS;
      if (isConclusive) this.#setCutOff(!isReachable, { now, probed: servers.length });
    });
  }

  #connectToAny([first, ...others]: readonly IBackendEntry[]): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const connect = (backend: IBackendEntry) => this.#opts.probe.connect(backend);
      const firstProbe = yield* Effect.forkChild(connect(first));
      const early = yield* Effect.timeoutOption(Fiber.join(firstProbe), FIRST_PROBE_MS);
      if (early._tag === "Some" && early.value) return true;
      const connected = yield* Effect.forEach(others, connect, { concurrency: "unbounded" });
      return connected.some((isConnected) => isConnected) || (yield* Fiber.join(firstProbe));
    });
  }

  /** Selects servers at random, of each service by turns. */
  #selectServers(): IBackendEntry[] {
    const byService = new Map<string, IBackendEntry[]>();
    for (const entry of this.#opts.directory.listAll()) {
      byService.set(entry.service, [...byService.get(entry.service) ?? [], entry]);
    }
    const selected: IBackendEntry[] = [];
    while (selected.length < PROBED_SERVERS && byService.size > 0) {
      for (const [service, entries] of byService) {
        const [entry] = entries.splice(Math.floor(this.#opts.random() * entries.length), 1);
        if (selected.length < PROBED_SERVERS) selected.push(entry);
        if (entries.length === 0) byService.delete(service);
      }
    }
    return selected;
  }

  #setCutOff(isCutOff: boolean, { now, probed }: { now: number; probed: number }): void {
    if (isCutOff === this.#isCutOff) return;
    this.#isCutOff = isCutOff;
    if (isCutOff) {
      this.#cutOffSinceMs = now;
      const silentMs = now - this.#lastResponseAtMs;
      this.#opts.logger.warn("servers-unreachable", { probed, silentMs, waiting: this.#waiting.size });
    } else {
      this.#opts.logger.info("servers-reachable", { awayMs: now - this.#cutOffSinceMs });
    }
    this.#onDidChange.fire(isCutOff);
  }
}
