/** Discovers backend servers from the platform's instance list and polls engines for load and cache events. */
import type { Fiber, Scope } from "effect";
import { Clock, Effect } from "effect";
import { Signal } from "../../base/common/signal.ts";
import type { IInstanceInfo, IInstanceList } from "../../services/instances/common/instance_list.ts";
import { InstanceRole, InstanceState } from "../../services/instances/common/instance_list.ts";
import { BackendCondition, EngineState } from "./engine_state.ts";
import type { EngineFactory } from "./model_engine.ts";
import type { IServiceBackend, ServiceBackendFactory } from "./service_backend.ts";

const LIST_POLL_INTERVAL_MS = 500;
const ENGINE_POLL_INTERVAL_MS = 400;
/** Consecutive failed polls after which an engine receives no new calls. */
const SUSPECT_AFTER_FAILURES = 2;
/** Back-off during which a plain service's backend server is avoided after a failure. */
const SERVICE_BACKOFF_MS = 1000;

/** State of one backend server of a plain service as tracked by this instance. */
export interface IServiceBackendState {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly address: string;
  readonly client: IServiceBackend;
  condition: BackendCondition;
  inFlight: number;
  /** Clock time in ms before which the server is chosen only if no other is available. */
  backoffUntilMs: number;
}

export interface IBackendRegistryOptions {
  readonly instances: IInstanceList;
  readonly makeEngine: EngineFactory;
  readonly makeService: ServiceBackendFactory;
}

export class BackendRegistry {
  readonly #opts: IBackendRegistryOptions;
  readonly #engines = new Map<string, EngineState>();
  readonly #services = new Map<string, IServiceBackendState>();
  readonly #pollers = new Map<string, Fiber.Fiber<void>>();
  /** Notified when the available capacity may have changed. */
  readonly changed = new Signal();

  constructor(opts: IBackendRegistryOptions) {
    this.#opts = opts;
  }

  /** Polls the instance list and the engines until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      yield* Effect.forkScoped(this.#pollList(scope));
    });
  }

  get engines(): readonly EngineState[] {
    return [...this.#engines.values()];
  }

  engine(id: string): EngineState | undefined {
    return this.#engines.get(id);
  }

  get services(): readonly IServiceBackendState[] {
    return [...this.#services.values()];
  }

  /** Chooses the least loaded backend server of a service that is not in `excluded`. */
  chooseServiceBackend(
    service: string,
    excluded: ReadonlySet<string>,
  ): Effect.Effect<IServiceBackendState | undefined> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const usable = this.services.filter((state) =>
        state.service === service && state.condition === BackendCondition.Live && !excluded.has(state.id)
      );
      const healthy = usable.filter((state) => state.backoffUntilMs <= now);
      const pool = healthy.length > 0 ? healthy : usable;
      return pool.reduce<IServiceBackendState | undefined>(
        (best, state) => best === undefined || state.inFlight < best.inFlight ? state : best,
        undefined,
      );
    });
  }

  /** Records that a backend server of a service failed a call, which starts its back-off. */
  recordServiceFailure(state: IServiceBackendState): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      state.backoffUntilMs = now + SERVICE_BACKOFF_MS;
    });
  }

  /** Marks an engine as suspect after a failed call; it receives no new ones until it reports its load again. */
  markSuspect(engine: EngineState): void {
    if (engine.condition === BackendCondition.Live) engine.condition = BackendCondition.Suspect;
  }

  #pollList(scope: Scope.Scope): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const list = yield* Effect.catch(this.#opts.instances.list(), () => Effect.succeed(undefined));
        if (list !== undefined) yield* this.#applyList(list, scope);
        yield* Effect.sleep(LIST_POLL_INTERVAL_MS);
      }
    });
  }

  #applyList(list: readonly IInstanceInfo[], scope: Scope.Scope): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const listedIds = new Set(list.map(({ id }) => id));
      for (const id of this.#engines.keys()) if (!listedIds.has(id)) this.#engines.delete(id);
      for (const id of this.#services.keys()) if (!listedIds.has(id)) this.#services.delete(id);
      for (const info of list) {
        if (info.role === InstanceRole.Engine) yield* this.#addEngine(info, scope);
        if (info.role === InstanceRole.Service) this.#addService(info);
      }
      this.changed.notify();
    });
  }

  #addEngine(info: IInstanceInfo, scope: Scope.Scope): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      let engine = this.#engines.get(info.id);
      if (engine === undefined || engine.address !== info.address) {
        engine = new EngineState({ ...info, client: this.#opts.makeEngine(info.address) });
        this.#engines.set(info.id, engine);
        this.#pollers.set(info.id, yield* Effect.forkIn(this.#pollUntilRemoved(engine), scope));
      }
      if (info.state === InstanceState.Leaving) engine.condition = BackendCondition.Leaving;
    });
  }

  #addService(info: IInstanceInfo): void {
    const known = this.#services.get(info.id);
    const condition = info.state === InstanceState.Leaving ? BackendCondition.Leaving : BackendCondition.Live;
    if (known !== undefined && known.address === info.address) {
      known.condition = condition;
      return;
    }
    const client = this.#opts.makeService(info.address);
    this.#services.set(info.id, { ...info, client, condition, inFlight: 0, backoffUntilMs: 0 });
  }

  /** Polls an engine, in a fiber of its own, until it is removed from the list or replaced. */
  #pollUntilRemoved(engine: EngineState): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      let failures = 0;
      while (this.#engines.get(engine.id) === engine) {
        const isReachable = yield* this.#pollOnce(engine);
        failures = isReachable ? 0 : failures + 1;
        if (failures >= SUSPECT_AFTER_FAILURES) this.markSuspect(engine);
        if (isReachable) this.changed.notify();
        yield* Effect.sleep(ENGINE_POLL_INTERVAL_MS);
      }
    });
  }

  /** Fetches the engine's load and cache events; returns whether both requests succeeded. */
  #pollOnce(engine: EngineState): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const report = yield* engine.client.getLoadReport();
      engine.applyLoadReport(report, yield* Clock.currentTimeMillis);
      engine.cache.applyEvents(yield* engine.client.listCacheEvents(engine.cache.lastSequence));
      return true;
    }).pipe(Effect.catch(() => Effect.succeed(false)));
  }
}
