/**
 * Runs several gateways in one process under virtual time, against in-memory fakes of the platform's store
 * and of the backend servers. Instances can be killed and restarted, disconnected from their peers, and
 * refused by the store.
 */
import type { Transport } from "@connectrpc/connect";
import { Code, ConnectError, createRouterTransport } from "@connectrpc/connect";
import { Effect, Exit, Scope } from "effect";
import { TestClock } from "effect/testing";
import { decodeBackend, decodeConfiguration } from "../../platform/decoders.ts";
import { RequestCodec } from "../../platform/request_codec.ts";
import { TurnService } from "../../src/base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { GatewayCore } from "../../src/daemon/common/gateway_core.ts";
import { makeTurnService } from "../../src/peer/common/turn_service.ts";
import type { ILogger } from "../../src/services/logging/common/logger.ts";
import { JsonLogger } from "../../src/services/logging/common/logger.ts";
import { parseGatewaySettings } from "../../src/services/settings/common/gateway_validation.ts";
import type { IPartitionedLog } from "../../src/services/store/common/partitioned_log.ts";
import type { IPlatformAdapter } from "../../src/services/store/common/platform_adapter.ts";
import { StoreError, StoreFault } from "../../src/services/store/common/partitioned_log.ts";
import type { CrashForm, IFleetServer, RestartForm } from "../stand_ins/backend_fleet.ts";
import { BackendFleet } from "../stand_ins/backend_fleet.ts";
import { PartitionedLogCore } from "../stand_ins/partitioned_log_core.ts";
import { RecordingSink } from "../stand_ins/recording_sink.ts";

const CLOCK_STEP_MS = 10;
const EVENT_LOOP_TURNS_PER_STEP = 2;
const REPORT_INTERVAL_MS = 100;
const HEARTBEAT_INTERVAL_MS = 1200;
const SERVERS_PER_SERVICE = 8;
export const CONFIGURATION_TOPIC = "keyed.op";
export const CONFIGURATION_KEY = "config";
export const BACKEND_TOPIC = "keyed.servers";
export const STRIKE_TOPIC = "keyed.strikes";
/** Marks the target of a request that crashes servers. */
const CRASHING_MARK = "crashing";
/** Marks the target of a request whose response is lost. */
const LOST_ANSWER_MARK = "lost";

/** Path prefix of a route; each has another kind. */
export enum RoutePath {
  Safe = "/safe/",
  Unsafe = "/unsafe/",
  /** Stream without turns. */
  Stream = "/stream/",
  ResumableStream = "/resumable/",
  Turn = "/turn/",
  /** Turn on a route that keeps history. */
  KeptTurn = "/kept/",
}

/** Who sends a request. */
export enum CallerKind {
  None = "no caller",
  AffinityKey = "an affinity key",
  Program = "a program",
}

export interface IGatewayRequest {
  readonly route: RoutePath;
  /** Rest of the path after the route's prefix. */
  readonly name: string;
  readonly caller: CallerKind;
  readonly body?: string;
  /** Session or affinity key; the default is the name. */
  readonly callerId?: string;
  /** Time after which the caller disconnects, in ms. */
  readonly leaveAfterMs?: number;
}

export interface IGateway {
  readonly name: string;
  readonly core: GatewayCore;
  readonly scope: Scope.Closeable;
  readonly transport: Transport;
  readonly lines: string[];
  isStoreRefused: boolean;
  isPeerDisconnected: boolean;
}

export interface IGatewayClusterOptions {
  readonly instances: number;
  readonly crashForm: CrashForm;
  readonly restartForm: RestartForm;
  /** Number of backend servers of each service. */
  readonly serversPerService?: number;
}

export class GatewayCluster {
  readonly store = new PartitionedLogCore();
  readonly fleet: BackendFleet;
  readonly gateways = new Map<string, IGateway>();
  nowMs = 0;
  /** Whether the responses to requests with a mark in their target are lost. */
  losesAnswers = false;
  #nextId = 0;
  #nextWriter = 0n;
  #seed = 1;

  private constructor({ crashForm, restartForm }: IGatewayClusterOptions) {
    this.fleet = new BackendFleet({
      now: () => this.nowMs,
      isAnswerLost: ({ target }) => this.losesAnswers && target.includes(LOST_ANSWER_MARK),
      isCrashing: ({ target }) => target.includes(CRASHING_MARK),
      publish: (id, server) => this.store.putKey(BACKEND_TOPIC, id, encodeServer(server)),
      crashForm,
      restartForm,
    });
  }

  static run<A>(
    opts: IGatewayClusterOptions,
    body: (cluster: GatewayCluster) => Effect.Effect<A>,
  ): Promise<A> {
    const cluster = new GatewayCluster(opts);
    const work = Effect.gen(function* () {
      cluster.store.putKey(
        CONFIGURATION_TOPIC,
        CONFIGURATION_KEY,
        Buffer.from(JSON.stringify(CONFIGURATION)),
      );
      for (const service of ["engines", "plain"]) {
        cluster.fleet.addServers(service, opts.serversPerService ?? SERVERS_PER_SERVICE);
      }
      for (let index = 0; index < opts.instances; index++) yield* cluster.start(`g${index}`);
      yield* cluster.advance(3000);
      const result = yield* body(cluster);
      for (const name of [...cluster.gateways.keys()]) yield* cluster.kill(name);
      return result;
    });
    return Effect.runPromise(Effect.provide(work, TestClock.layer()));
  }

  get names(): string[] {
    return [...this.gateways.keys()];
  }

  /** Advances the virtual clock in small steps and runs the work that becomes due in each. */
  advance(ms: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += CLOCK_STEP_MS) {
        this.nowMs += CLOCK_STEP_MS;
        yield* TestClock.adjust(CLOCK_STEP_MS);
        for (let turn = 0; turn < EVENT_LOOP_TURNS_PER_STEP; turn++) yield* nextMacrotask();
        if (this.nowMs % REPORT_INTERVAL_MS === 0) this.#exchangeReports();
        if (this.nowMs % HEARTBEAT_INTERVAL_MS === 0) this.fleet.sendHeartbeats();
      }
    });
  }

  /** Starts an instance, which the store may refuse from the beginning. */
  start(name: string, { isStoreRefused = false } = {}): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Scope.make();
      const lines: string[] = [];
      const logger: ILogger = new JsonLogger(name, "info", (line) => lines.push(line));
      const core = this.#makeCore(name, logger);
      const service = makeTurnService({
        owned: core.owned,
        group: core.group,
        configuration: core.configuration,
        backends: core.backends,
        strikes: core.strikes.follower,
        crashes: core.crashes,
        context: yield* Effect.context<never>(),
      });
      const transport = createRouterTransport((router) => router.service(TurnService, service));
      const gateway = {
        name,
        core,
        scope,
        transport,
        lines,
        isStoreRefused,
        isPeerDisconnected: false,
      };
      this.gateways.set(name, gateway);
      yield* Scope.provide(core.start(), scope);
    });
  }

  /** Terminates an instance abruptly. */
  kill(name: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const gateway = this.gateways.get(name)!;
      this.gateways.delete(name);
      return Scope.close(gateway.scope, Exit.void);
    });
  }

  restart(name: string, opts: { isStoreRefused?: boolean } = {}): Effect.Effect<void> {
    return Effect.andThen(this.kill(name), this.start(name, opts));
  }

  /** Sends a request through an instance and waits until it has been handled or the caller has left. */
  send(name: string, req: IGatewayRequest): Effect.Effect<RecordingSink> {
    return Effect.suspend(() => {
      const sink = new RecordingSink();
      const raw = {
        method: req.body === undefined ? "GET" : "POST",
        target: `${req.route}${req.name}`,
        headers: this.#headersOf(req),
        body: Buffer.from(req.body ?? ""),
      };
      const handling = this.gateways.get(name)!.core.relay.handle(raw, sink);
      const untilLeft = req.leaveAfterMs === undefined
        ? handling
        : Effect.raceFirst(handling, Effect.sleep(req.leaveAfterMs));
      return Effect.as(untilLeft, sink);
    });
  }

  /** Returns the log lines of an event from all running instances. */
  linesOf(event: string): Record<string, unknown>[] {
    return [...this.gateways.values()].flatMap(({ lines }) => lines)
      .map((line) => JSON.parse(line) as Record<string, unknown>).filter((line) => line.event === event);
  }

  /** Number of times that servers began to run the requests with a name. */
  runsOf(name: string): number {
    return this.fleet.runs.filter(({ target }) => target.endsWith(name)).length;
  }

  #makeCore(name: string, logger: ILogger): GatewayCore {
    const settings = parseGatewaySettings(
      JSON.stringify({
        instance: name,
        zone: "z",
        callerAddress: `${name}:1`,
        probeAddress: `${name}:2`,
        peerAddress: `${name}:3`,
        datagramPort: 4,
        metricsPort: 5,
        storeAddress: "store:1",
        seeds: ["g0:3", "g1:3", "g2:3"],
      }),
      name,
    );
    const adapter = adapterFor(this.#storeOf(name));
    return new GatewayCore(settings, {
      adapter,
      codec: new RequestCodec(),
      logger,
      transports: { get: (address) => this.#transportBetween(name, address), reset: () => {} },
      upstream: this.fleet,
      closeBackendConnections: () => {},
      applyCallerLimits: () => {},
      now: () => this.nowMs,
      random: () => this.#random(),
      newWriter: () => ++this.#nextWriter,
    });
  }

  /** Returns the store as an instance sees it: it refuses the calls of some instances. */
  #storeOf(name: string): IPartitionedLog {
    const isRefused = () => this.gateways.get(name)?.isStoreRefused ?? false;
    return new Proxy<IPartitionedLog>(this.store, {
      get: (store, member) => {
        const method = Reflect.get(store, member) as (
          ...args: unknown[]
        ) => Effect.Effect<unknown, StoreError>;
        return (...args: unknown[]) =>
          Effect.suspend(() =>
            isRefused()
              ? Effect.fail(new StoreError(StoreFault.Refused, "refused"))
              : method.apply(store, args)
          );
      },
    });
  }

  #transportBetween(from: string, address: string): Transport {
    const connect = () => {
      const target = this.gateways.get(address.split(":")[0]);
      const self = this.gateways.get(from);
      if (target === undefined || self === undefined) throw new ConnectError("refused", Code.Unavailable);
      if (target.isPeerDisconnected || self.isPeerDisconnected) throw new ConnectError("unreachable");
      return target.transport;
    };
    return {
      unary: async (...args) => await connect().unary(...args),
      stream: async (...args) => await connect().stream(...args),
    };
  }

  /** Exchanges the reports that instances send each other as datagrams. */
  #exchangeReports(): void {
    const connected = [...this.gateways.values()].filter(({ isPeerDisconnected }) => !isPeerDisconnected);
    for (const { name, core } of connected) {
      const running = core.loads.localLoads();
      const changes = core.crashes.recentChanges();
      for (const peer of connected) {
        if (peer.name === name) continue;
        peer.core.loads.recordPeerReport({ instance: name, running });
        for (const change of changes) peer.core.crashes.merge(change);
      }
    }
  }

  #headersOf({ route, name, caller, callerId = name, body }: IGatewayRequest): string[] {
    const headers = ["Host", "h", "Ragwortcleat-Request-Id", `r${++this.#nextId}`];
    headers.push("Ragwortcleat-Deadline-Ms", "2500");
    if (caller === CallerKind.AffinityKey) headers.push("Ragwortcleat-Affinity-Key", callerId);
    if (caller === CallerKind.Program) {
      headers.push("Ragwortcleat-Program", `p-${callerId}`, "Ragwortcleat-Session", callerId);
    }
    const isTurn = route === RoutePath.Turn || route === RoutePath.KeptTurn;
    if (isTurn && caller === CallerKind.Program) headers.push("Ragwortcleat-Token-Budget", "100000");
    if (isTurn) headers.push("Ragwortcleat-Model", "m", "Ragwortcleat-Token-Count", "10,44");
    if (body !== undefined) headers.push("Content-Type", "text/plain");
    return headers;
  }

  /** Linear congruential generator, so that runs are reproducible. */
  #random(): number {
    this.#seed = (this.#seed * 1103515245 + 12345) % 2 ** 31;
    return this.#seed / 2 ** 31;
  }
}

/** Returns the platform adapter for a fake of the store. */
export function adapterFor(log: IPartitionedLog): IPlatformAdapter {
  return {
    log,
    configurationTopic: CONFIGURATION_TOPIC,
    configurationKey: CONFIGURATION_KEY,
    backendTopic: BACKEND_TOPIC,
    strikeTopic: STRIKE_TOPIC,
    decodeConfiguration,
    decodeBackend,
  };
}

function encodeServer(server: IFleetServer | undefined): Uint8Array | undefined {
  if (server === undefined) return undefined;
  const { service: Service, address: Addr, startedAtMs: born } = server;
  return Buffer.from(JSON.stringify({ Service, Addr, Zone: "z", Slots: 16, State: "ready", born }));
}

function routeOf(PathPrefix: RoutePath, overrides: object) {
  const defaults = { Name: PathPrefix, Host: "h", PathPrefix, Kind: "stream", Service: "engines" };
  return { ...defaults, TimeoutMs: 3000, TargetLatencyMs: 200, Attempts: 2, ...overrides };
}

const CONFIGURATION = {
  Version: 1,
  Routes: [
    routeOf(RoutePath.Safe, { Kind: "safe", Service: "plain" }),
    routeOf(RoutePath.Unsafe, { Kind: "unsafe", Service: "plain" }),
    routeOf(RoutePath.Stream, {}),
    routeOf(RoutePath.ResumableStream, { Resumable: true }),
    routeOf(RoutePath.Turn, { RetainS: 60 }),
    routeOf(RoutePath.KeptTurn, { RetainS: 60, KeepContext: true }),
  ],
  Services: [
    { Name: "engines", MaxConns: 100, Engine: { Slots: 16, KvCapacity: 100_000, TokensPerEvent: 22 } },
    { Name: "plain", MaxConns: 100 },
  ],
  Limits: { MaxHeaderBytes: 30_000, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 5000, IdleTimeoutMs: 10_000 },
};

function nextMacrotask(): Effect.Effect<void> {
  return Effect.promise(() => new Promise<void>((resolve) => setImmediate(resolve)));
}
