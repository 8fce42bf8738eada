/**
 * Runs several instances in one process under virtual time, against in-memory fakes. Every outgoing call of
 * an instance passes through the fault injection, so that it can be frozen, disconnected or killed at any
 * point.
 */
import { createRouterTransport } from "@connectrpc/connect";
import { Deferred, Effect, Exit, Scope } from "effect";
import { TestClock } from "effect/testing";
import { CallError } from "../../src/base/common/errors.ts";
import type { ProgramSnapshot } from "../../src/base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { CallRequest } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { CallRequestSchema, PeerService } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Turn } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import {
  BudgetSchema,
  EndCause,
  ProgramSpecSchema,
  Ran,
  Reason,
} from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { create } from "@bufbuild/protobuf";
import { sliceOf } from "../../src/base/common/ids.ts";
import type { IDaemonCore } from "../../src/daemon/common/daemon_core.ts";
import { makeDaemonCore } from "../../src/daemon/common/daemon_core.ts";
import { drainDaemon } from "../../src/daemon/common/drain.ts";
import type { IInstanceInfo } from "../../src/services/instances/common/instance_list.ts";
import { InstanceRole, InstanceState } from "../../src/services/instances/common/instance_list.ts";
import { CONFIGURATION_STREAM } from "../../src/services/log/common/log_service.ts";
import { encodePublication, NO_VERSION } from "../../src/services/configuration/common/publication.ts";
import { NullLogger } from "../../src/services/logging/common/logger.ts";
import { parseDaemonSettings } from "../../src/services/settings/common/validation.ts";
import type { IModelEngine } from "../../src/routing/common/model_engine.ts";
import type { IServiceBackend } from "../../src/routing/common/service_backend.ts";
import { TEST_CONFIGURATION } from "./configuration.ts";
import type { IFaultState } from "./fault_injection.ts";
import { holdWhileFrozen, withLogFaults, withPeerFaults } from "./fault_injection.ts";
import { DEFAULT_ENGINE, EngineCore } from "../stand_ins/engine_core.ts";
import { LogCore } from "../stand_ins/log_core.ts";
import { ServiceCore } from "../stand_ins/service_core.ts";

const CLOCK_STEP_MS = 5;
const EVENT_LOOP_TURNS_PER_STEP = 4;
export const ZONES = ["zone-a", "zone-b", "zone-c"];

/** One instance with its injected faults. */
export interface INode extends IFaultState {
  readonly id: string;
  readonly core: IDaemonCore;
  readonly scope: Scope.Closeable;
  /** Completed when the instance is killed. */
  readonly killed: Deferred.Deferred<void>;
}

export interface IClusterOptions {
  readonly nodes: number;
  readonly engines?: number;
  readonly services?: number;
  readonly timing?: object;
  readonly configuration?: object;
}

export class Cluster {
  readonly log = new LogCore();
  readonly engines: EngineCore[] = [];
  readonly services: ServiceCore[] = [];
  /** Number of executions by idempotency key, or by operation for repeatable calls. */
  readonly executionCounts = new Map<string, number>();
  readonly nodes = new Map<string, INode>();
  readonly leavingBackendIds = new Set<string>();
  readonly #opts: IClusterOptions;
  readonly #startedNodes: INode[] = [];
  #openedCount = 0;

  private constructor(opts: IClusterOptions) {
    this.#opts = opts;
    for (let index = 0; index < (opts.engines ?? 3); index++) {
      const fetchCachedTokens = (address: string, programId: string) =>
        Effect.sync(() => this.engines.find(({ id }) => id === address)?.exportKv(programId) ?? 0);
      this.engines.push(
        new EngineCore({
          ...DEFAULT_ENGINE,
          id: `e${index}`,
          models: ["m"],
          fetchCachedTokens,
        }),
      );
    }
    for (let index = 0; index < (opts.services ?? 2); index++) {
      this.services.push(new ServiceCore(`s${index}`, this.executionCounts));
    }
  }

  /** Runs a test on a cluster whose instances share a first view and a configuration. */
  static run<A>(opts: IClusterOptions, body: (cluster: Cluster) => Effect.Effect<A, unknown>): Promise<A> {
    const cluster = new Cluster(opts);
    const work = Effect.gen(function* () {
      const document = JSON.stringify(opts.configuration ?? TEST_CONFIGURATION);
      yield* cluster.publish(document, NO_VERSION);
      for (let index = 0; index < opts.nodes; index++) yield* cluster.startNode(`n${index}`);
      yield* cluster.advanceUntil(() => cluster.hasConverged, "the first view");
      const result = yield* body(cluster);
      yield* Effect.all(cluster.#startedNodes.map((node) => cluster.kill(node.id)), { discard: true });
      return result;
    });
    return Effect.runPromise(Effect.provide(work, TestClock.layer()) as Effect.Effect<A>);
  }

  get hasConverged(): boolean {
    return this.liveNodes.every(({ core }) =>
      core.state.views.current?.members.length === this.liveNodes.length && core.handover.isComplete &&
      core.configuration.version >= 0 && core.registry.engines.every(({ loadReport }) =>
        loadReport !== undefined
      )
    );
  }

  get liveNodes(): INode[] {
    return [...this.nodes.values()].filter(({ isKilled }) => !isKilled);
  }

  node(id: string): INode {
    return this.nodes.get(id)!;
  }

  /** Advances the virtual clock in small steps and runs the work that becomes due in each. */
  advance(ms: number): Effect.Effect<void> {
    return Effect.gen(function* () {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += CLOCK_STEP_MS) {
        yield* TestClock.adjust(CLOCK_STEP_MS);
        for (let turn = 0; turn < EVENT_LOOP_TURNS_PER_STEP; turn++) yield* nextMacrotask();
      }
    });
  }

  /** Advances the virtual clock until a condition holds; fails after one minute of virtual time. */
  advanceUntil(condition: () => boolean, what: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += CLOCK_STEP_MS) {
        if (condition()) return;
        yield* this.advance(CLOCK_STEP_MS);
      }
      return yield* Effect.die(new Error(`timed out after 60 s of virtual time waiting for ${what}`));
    });
  }

  /** Runs an effect to completion while advancing the virtual clock. */
  runToCompletion<A, E>(work: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.gen({ self: this }, function* () {
      let outcome: Exit.Exit<A, E> | undefined;
      yield* Effect.forkDetach(Effect.map(Effect.exit(work), (exit) => {
        outcome = exit;
      }));
      yield* this.advanceUntil(() => outcome !== undefined, "an answer");
      return yield* outcome!;
    });
  }

  startNode(id: string): Effect.Effect<INode> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Scope.make();
      const settings = parseDaemonSettings(
        JSON.stringify({
          instanceId: id,
          region: "test",
          zone: ZONES[Number(id.slice(1)) % ZONES.length],
          callers: { host: "127.0.0.1", port: 1 },
          peers: { host: "127.0.0.1", port: 1 },
          platform: { logUrl: "http://log", instanceListUrl: "http://list" },
          keys: { customersFile: "none", operatorsFile: "none" },
          timing: { ...this.#opts.timing },
        }),
        id,
      );
      let node: INode | undefined = undefined;
      const self = () => node as unknown as INode;
      const core = yield* Scope.provide(
        makeDaemonCore(settings, {
          addresses: { peerAddress: id, callerAddress: id },
          dependencies: {
            log: withLogFaults(self, this.log),
            instances: { list: () => Effect.sync(() => this.#listInstances()) },
            transports: withPeerFaults(self, (address) => this.nodes.get(address)),
            makeEngine: (address) =>
              holdWhileFrozen(self, this.engines.find(({ id }) => id === address) as IModelEngine),
            makeService: (address) =>
              holdWhileFrozen(self, this.services.find(({ id }) => id === address) as IServiceBackend),
            logger: new NullLogger(),
          },
        }),
        scope,
      );
      const transport = createRouterTransport((router) => router.service(PeerService, core.peerService));
      node = {
        id,
        core,
        scope,
        transport,
        isKilled: false,
        killed: Deferred.makeUnsafe<void>(),
        frozen: undefined,
        isLogDisconnected: false,
        logReadDelayMs: 0,
        isPeerDisconnected: false,
      };
      this.nodes.set(id, node);
      this.#startedNodes.push(node);
      yield* Scope.provide(core.start, scope);
      return node;
    });
  }

  /** Terminates an instance abruptly. */
  kill(id: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const node = this.node(id);
      node.isKilled = true;
      Deferred.doneUnsafe(node.killed, Effect.void);
      return Scope.close(node.scope, Exit.void);
    });
  }

  /** Stops an instance gracefully. */
  drain(id: string): Effect.Effect<void> {
    return Effect.andThen(drainDaemon(this.node(id).core, () => true), this.kill(id));
  }

  /** Freezes an instance: it sends and answers nothing until it is thawed. */
  freeze(id: string): void {
    this.node(id).frozen = Deferred.makeUnsafe<void>();
  }

  /** Disconnects an instance from its peers and from the log service. */
  isolate(id: string): void {
    const node = this.node(id);
    node.isLogDisconnected = true;
    node.isPeerDisconnected = true;
  }

  thaw(id: string): void {
    const node = this.node(id);
    const { frozen } = node;
    node.frozen = undefined;
    if (frozen !== undefined) Deferred.doneUnsafe(frozen, Effect.void);
  }

  publish(document: string, base: number): Effect.Effect<number> {
    return Effect.orDie(
      this.log.append(CONFIGURATION_STREAM, encodePublication({ base, author: "test", document })),
    );
  }

  /** Returns the id of the instance that owns a program. */
  ownerOf(programId: string): string {
    return this.liveNodes[0].core.state.views.current?.ownerOf(sliceOf(programId))?.instanceId ?? "";
  }

  /** Returns the id of a live instance other than the given one. */
  anyOtherNode(nodeId: string): string {
    return this.liveNodes.find(({ id }) => id !== nodeId)!.id;
  }

  /** Opens a program through an instance. Ids are numbered, so that runs are reproducible. */
  open(
    via: string,
    opts: { id?: string; kind?: string; budget?: object; customer?: string; parentId?: string } = {},
  ) {
    this.#openedCount += 1;
    const programId = opts.id ?? `test-p${this.#openedCount}`;
    const spec = create(ProgramSpecSchema, {
      programId,
      customer: opts.customer ?? "c",
      kind: opts.kind ?? "quick",
      parentId: opts.parentId ?? "",
      budget: create(BudgetSchema, opts.budget ?? {}),
    });
    return Effect.as(this.#request(via, ({ router }) => router.open(spec)), programId);
  }

  end(via: string, programId: string) {
    return this.#request(
      via,
      ({ router }) => router.end(programId, { customer: "c", cause: EndCause.CALLER }),
    );
  }

  /** Returns a program with its history, as a caller of an instance receives it. */
  history(via: string, programId: string): Effect.Effect<ProgramSnapshot, CallError> {
    return this.#request(via, ({ router }) => router.get(programId, "c"));
  }

  /** Sends a model call through an instance and returns its turn. */
  callModel(
    via: string,
    call: { program: string; step: number; content: string; maxTokens?: number; customer?: string },
  ): Effect.Effect<Turn, CallError> {
    const value = {
      model: "m",
      messages: [{ role: "user", content: call.content }],
      maxTokens: call.maxTokens ?? 16,
    };
    return this.#call(via, { ...call, body: { case: "model", value } });
  }

  /** Sends a service call through an instance and returns its turn. */
  callService(
    via: string,
    call: {
      program: string;
      step: number;
      operation: "read" | "act";
      key?: string;
      body?: string;
      customer?: string;
    },
  ): Effect.Effect<Turn, CallError> {
    const body = new TextEncoder().encode(call.body ?? "{}");
    const value = { service: "api", operation: call.operation, body, idempotencyKey: call.key ?? "" };
    return this.#call(via, { ...call, body: { case: "service", value } });
  }

  #call(
    via: string,
    call: { program: string; step: number; customer?: string; body: object },
  ): Effect.Effect<Turn, CallError> {
    const { program, step } = call;
    const req = create(CallRequestSchema, {
      customer: call.customer ?? "c",
      programId: program,
      step,
      call: call.body as CallRequest["call"],
    });
    return this.#request(via, ({ router }) => Effect.map(router.call(req, () => {}), ({ turn }) => turn));
  }

  /** Sends a caller's request to an instance; fails with an unknown outcome when the instance is killed. */
  #request<A>(
    via: string,
    use: (core: IDaemonCore) => Effect.Effect<A, CallError>,
  ): Effect.Effect<A, CallError> {
    const { core, killed } = this.node(via);
    const broken = new CallError(Reason.OWNER_UNAVAILABLE, {
      ran: Ran.UNKNOWN,
      detail: "the instance was killed",
    });
    return Effect.raceFirst(use(core), Effect.andThen(Deferred.await(killed), Effect.fail(broken)));
  }

  #listInstances(): IInstanceInfo[] {
    const entry = (id: string, role: InstanceRole, service = "") => ({
      id,
      role,
      service,
      zone: ZONES[0],
      address: id,
      state: this.leavingBackendIds.has(id) ? InstanceState.Leaving : InstanceState.Live,
    });
    return [
      ...[...this.nodes.keys()].map((id) => entry(id, InstanceRole.System)),
      ...this.engines.map(({ id }) => entry(id, InstanceRole.Engine)),
      ...this.services.map(({ id }) => entry(id, InstanceRole.Service, "api")),
    ];
  }
}

function nextMacrotask(): Effect.Effect<void> {
  return Effect.promise(() => new Promise<void>((resolve) => setImmediate(resolve)));
}
