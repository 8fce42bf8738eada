/** Finds out that servers have ended while the platform's list of servers cannot be read. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { BackendDirectory, IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { supervise } from "../../services/logging/common/supervision.ts";
import type { CrashMonitor } from "./crash_monitor.ts";
import { toServerRun } from "./observed_attempt.ts";
import type { IConnectProbe } from "./server_link_monitor.ts";
import { PROBE_TIMEOUT_MS } from "./server_link_monitor.ts";
import { serverKey } from "./strike_ledger.ts";
import { repeatWhenNeeded } from "../../base/common/periodic.ts";

/** Interval between two tries to connect to a silent server, in ms. A server that restarts is away for seconds. */
const PROBE_INTERVAL_MS = 400;
/** Time after a successful try for which a server is not tried again, in ms: long requests are silent as well. */
const ACCEPTED_PAUSE_MS = 2000;
/** Number of tries in a row that have to fail. */
const MIN_FAILED_PROBES = 2;
/** Maximum number of silent servers that are tried at a time. */
const MAX_PROBED_SERVERS = 4;
/** Number of other servers of the same zone that are tried right after a failure, of which one has to accept. */
const CONTROL_SERVERS = 3;
/** Delay beyond the time limit from which a try proves nothing: this instance stood still. */
const MAX_PROBE_DELAY_MS = 200;

export interface IServerEndDetectorOptions {
  readonly crashes: CrashMonitor;
  readonly directory: BackendDirectory;
  readonly probe: IConnectProbe;
  /** Whether the platform's list is being read, which shows the ends of servers itself. */
  readonly isListRead: () => boolean;
  /** Waits until the list is not being read. */
  readonly awaitListLoss: Effect.Effect<void>;
  readonly logger: ILogger;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

interface IConnectResults {
  readonly accepted: readonly IBackendEntry[];
  readonly failed: readonly IBackendEntry[];
}

interface IProbeState {
  failures: number;
  /** Unix time at which the last try that succeeded was begun, in ms. */
  acceptedAtMs: number;
  nextProbeAtMs: number;
}

/**
 * Expected load pattern: a request ends servers without a trace on its connection, while the store is away, and instances
 * restart before they could see that the servers are listed no more. Tries to connect to the servers of requests that wait
 * for long or whose end is unknown. A server that accepts no connection while another one of its zone does has ended: this
 * instance's links are sound then.
 */
export class ServerEndDetector {
  readonly #opts: IServerEndDetectorOptions;
  /** By server run, while the list is not read. */
  readonly #states = new Map<string, IProbeState>();

  constructor(opts: IServerEndDetectorOptions) {
    this.#opts = opts;
  }

  /** Tries to connect to silent servers while the list is not read, until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const { isListRead, awaitListLoss } = this.#opts;
    const forgetWhileRead = Effect.sync(() => {
      if (isListRead()) this.#states.clear();
    });
    const probeUnlessRead = Effect.suspend(() => isListRead() ? Effect.void : this.probeSilentServers());
    const loop = repeatWhenNeeded({
      intervalMs: PROBE_INTERVAL_MS,
      awaitWork: Effect.andThen(forgetWhileRead, awaitListLoss),
      work: probeUnlessRead,
    });
    const { logger } = this.#opts;
    return Effect.asVoid(Effect.forkScoped(supervise(loop, { component: "server end detector", logger })));
  }

  /** Tries to connect once to the servers that are due. */
  probeSilentServers(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      const silent = this.#listSilentServers();
      const due = silent.filter((server) => this.#stateOf(server).nextProbeAtMs <= startedAtMs)
        .slice(0, MAX_PROBED_SERVERS);
      if (due.length === 0) return;
      const tried = yield* this.#connectAll(due);
      for (const server of tried?.accepted ?? []) this.#recordAccepted(server, startedAtMs);
      const failed = tried?.failed ?? [];
      const zones = [...new Set(failed.map(({ zone }) => zone))];
      // Most silent servers accept; connections to others are needed only to judge those that do not.
      const controls = yield* this.#connectAll(zones.flatMap((zone) => this.#selectControls(zone, due)));
      const reachedZones = new Set(controls?.accepted.map(({ zone }) => zone));
      for (const server of failed) if (reachedZones.has(server.zone)) this.#recordFailure(server);
    });
  }

  /** Tries to connect to servers at the same time. Returns undefined if this instance stood still meanwhile. */
  #connectAll(servers: readonly IBackendEntry[]): Effect.Effect<IConnectResults | undefined> {
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      const accepted: IBackendEntry[] = [];
      const failed: IBackendEntry[] = [];
      const connect = (server: IBackendEntry) =>
        Effect.map(
          this.#opts.probe.connect(server),
          (isAccepted) => (isAccepted ? accepted : failed).push(server),
        );
      yield* Effect.forEach(servers, connect, { concurrency: "unbounded", discard: true });
      const tookMs = (yield* Clock.currentTimeMillis) - startedAtMs;
      return tookMs > PROBE_TIMEOUT_MS + MAX_PROBE_DELAY_MS ? undefined : { accepted, failed };
    });
  }

  /**
   * Listed server runs that may have ended since they last accepted a connection, without those that are leaving anyway.
   * Requests from before that time are never struck, so that no further connection is needed for them.
   */
  #listSilentServers(): IBackendEntry[] {
    const { crashes, directory } = this.#opts;
    const silent: IBackendEntry[] = [];
    for (const { server: { backendId, startedAtMs }, lastSentAtMs } of crashes.listSilentServers()) {
      const entry = directory.get(backendId);
      if (entry?.startedAtMs !== startedAtMs || entry.isDraining) continue;
      if (lastSentAtMs > this.#stateOf(entry).acceptedAtMs) silent.push(entry);
    }
    return silent;
  }

  /** Selects other servers of a zone at random. */
  #selectControls(zone: string, due: readonly IBackendEntry[]): IBackendEntry[] {
    const excluded = new Set(due.map(({ id }) => id));
    const others = this.#opts.directory.listAll()
      .filter((entry) => entry.zone === zone && !excluded.has(entry.id));
    const controls: IBackendEntry[] = [];
    while (controls.length < CONTROL_SERVERS && others.length > 0) {
      controls.push(...others.splice(Math.floor(this.#opts.random() * others.length), 1));
    }
    return controls;
  }

  #stateOf(server: IBackendEntry): IProbeState {
    const key = keyOf(server);
    const state = this.#states.get(key) ?? { failures: 0, acceptedAtMs: -Infinity, nextProbeAtMs: -Infinity };
    this.#states.set(key, state);
    return state;
  }

  /** The server lives, or has restarted. Requests from before that are no longer struck, as nothing tells these cases apart. */
  #recordAccepted(server: IBackendEntry, atMs: number): void {
    const state = this.#stateOf(server);
    state.failures = 0;
    state.acceptedAtMs = atMs;
    state.nextProbeAtMs = atMs + ACCEPTED_PAUSE_MS;
  }

  #recordFailure(server: IBackendEntry): void {
    const state = this.#stateOf(server);
    state.failures += 1;
    if (state.failures < MIN_FAILED_PROBES) return;
    state.failures = 0;
    const strikes = this.#opts.crashes.serverUnreachable(toServerRun(server), state.acceptedAtMs);
    if (strikes > 0) this.#opts.logger.warn("backend-end-concluded", { id: server.id, strikes });
  }
}

function keyOf(server: IBackendEntry): string {
  return serverKey(toServerRun(server));
}
