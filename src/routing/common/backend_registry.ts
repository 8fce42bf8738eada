/** Follows the backend servers: the platform's list, and each engine's reports and cache events. */
import type { Fiber, Scope } from "effect";
import { Clock, Effect } from "effect";
import { Signal } from "../../base/common/signal.ts";
import type { IInstanceInfo, IInstanceList } from "../../services/instances/common/instance_list.ts";
import { InstanceRole, InstanceState } from "../../services/instances/common/instance_list.ts";
import { BackendCondition, EngineState } from "./engine_state.ts";
import type { MakeEngine } from "./model_engine.ts";
import type { IServiceBackend, MakeServiceBackend } from "./service_backend.ts";

const LIST_INTERVAL_MS = 500;
const REPORT_INTERVAL_MS = 400;
/** Failed reports after which an engine gets no new calls. */
const FAILURES_TO_SUSPECT = 2;
/** Time for which a backend server of a plain service gets no new calls after a failure, in ms. */
const SERVICE_PENALTY_MS = 1000;

/** What this instance knows of one backend server of a plain service. */
export interface IServiceState {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly address: string;
  readonly client: IServiceBackend;
  condition: BackendCondition;
  inFlight: number;
  /** Time before which it is used only if there is no other, in ms of the clock. */
  penaltyUntil: number;
}

export interface IBackendRegistryOptions {
  readonly instances: IInstanceList;
  readonly makeEngine: MakeEngine;
  readonly makeService: MakeServiceBackend;
}

export class BackendRegistry {
  readonly #opts: IBackendRegistryOptions;
  readonly #engines = new Map<string, EngineState>();
  readonly #services = new Map<string, IServiceState>();
  readonly #watches = new Map<string, Fiber.Fiber<void>>();
  /** Notified when capacity may have changed. */
  readonly changed = new Signal();

  constructor(opts: IBackendRegistryOptions) {
    this.#opts = opts;
  }

  /** Follows the list and the engines until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      yield* Effect.forkScoped(this.#followList(scope));
    });
  }

  get engines(): readonly EngineState[] {
    return [...this.#engines.values()];
  }

  engine(id: string): EngineState | undefined {
    return this.#engines.get(id);
  }

  get services(): readonly IServiceState[] {
    return [...this.#services.values()];
  }

  /** Picks the least loaded backend server of a service; `excluded` ones only never. */
  chooseService(service: string, excluded: ReadonlySet<string>): Effect.Effect<IServiceState | undefined> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const usable = this.services.filter((state) =>
        state.service === service && state.condition === BackendCondition.Live && !excluded.has(state.id)
      );
      const rested = usable.filter((state) => state.penaltyUntil <= now);
      const pool = rested.length > 0 ? rested : usable;
      return pool.reduce<IServiceState | undefined>(
        (best, state) => best === undefined || state.inFlight < best.inFlight ? state : best,
        undefined,
      );
    });
  }

  /** Notes that a backend server of a service failed a call. */
  penalize(state: IServiceState): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      state.penaltyUntil = now + SERVICE_PENALTY_MS;
    });
  }

  /** Notes that an engine broke a call; it gets no new ones until it reports again. */
  suspect(engine: EngineState): void {
    if (engine.condition === BackendCondition.Live) engine.condition = BackendCondition.Suspect;
  }

  #followList(scope: Scope.Scope): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const list = yield* Effect.catch(this.#opts.instances.list(), () => Effect.succeed(undefined));
        if (list !== undefined) yield* this.#applyList(list, scope);
        yield* Effect.sleep(LIST_INTERVAL_MS);
      }
    });
  }

  #applyList(list: readonly IInstanceInfo[], scope: Scope.Scope): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const listed = new Set(list.map(({ id }) => id));
      for (const id of this.#engines.keys()) if (!listed.has(id)) this.#engines.delete(id);
      for (const id of this.#services.keys()) if (!listed.has(id)) this.#services.delete(id);
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
        this.#watches.set(info.id, yield* Effect.forkIn(this.#watch(engine), scope));
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
    this.#services.set(info.id, { ...info, client, condition, inFlight: 0, penaltyUntil: 0 });
  }

  /** One fiber per engine: reads its reports and cache events as long as the list names it. */
  #watch(engine: EngineState): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      let failures = 0;
      while (this.#engines.get(engine.id) === engine) {
        const ok = yield* this.#poll(engine);
        failures = ok ? 0 : failures + 1;
        if (failures >= FAILURES_TO_SUSPECT) this.suspect(engine);
        if (ok) this.changed.notify();
        yield* Effect.sleep(REPORT_INTERVAL_MS);
      }
    });
  }

  #poll(engine: EngineState): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const report = yield* engine.client.report();
      engine.update(report, yield* Clock.currentTimeMillis);
      engine.cache.apply(yield* engine.client.cacheEvents(engine.cache.lastSequence));
      return true;
    }).pipe(Effect.catch(() => Effect.succeed(false)));
  }
}
