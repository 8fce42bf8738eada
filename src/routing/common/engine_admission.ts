/** Admits calls to engines: at once where there is room, else from a queue in program order. */
import type { Scope } from "effect";
import { Clock, Deferred, Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import { Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Preset } from "../../services/settings/common/gen/configuration.ts";
import type { BackendRegistry } from "./backend_registry.ts";
import type { IChoice, IEngineChooser, IRoutedCall } from "./engine_chooser.ts";
import { expectedWaitMs } from "./engine_chooser.ts";
import type { EngineState } from "./engine_state.ts";
import type { IOrderedCall, IProgramOrder } from "./program_order.ts";

/** Most calls that wait in one instance. */
const MAX_QUEUE = 2000;
/** Share of the queue from which on a customer is held to its weight. */
const FAIR_SHARE_FROM = 0.5;
/** Time between two starts on an engine without room for them. */
const STARVED_START_INTERVAL_MS = 10_000;
const MAX_START_INTERVAL_MS = 10_000;
const START_SMOOTHING = 0.1;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 60_000;

/** A call that asks for an engine. */
export interface IAdmissionRequest extends IOrderedCall, IRoutedCall {
  readonly customer: string;
}

interface IWaiting {
  readonly req: IAdmissionRequest;
  readonly granted: Deferred.Deferred<IChoice>;
}

export interface IEngineAdmissionOptions {
  readonly registry: BackendRegistry;
  readonly chooser: IEngineChooser;
  readonly order: IProgramOrder;
  readonly preset: () => Preset;
}

export class EngineAdmission {
  readonly #opts: IEngineAdmissionOptions;
  readonly #queue: IWaiting[] = [];
  #lastStartAt = 0;
  /** Mean time between two starts of programs. */
  #startIntervalMs = 0;

  constructor(opts: IEngineAdmissionOptions) {
    this.#opts = opts;
  }

  /** Serves the queue until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const serve = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* this.#opts.registry.changed.wait();
        this.#serve(yield* Clock.currentTimeMillis);
      }
    });
    return Effect.asVoid(Effect.forkScoped(serve));
  }

  get queueLength(): number {
    return this.#queue.length;
  }

  /** Waits for an engine with room and occupies a place on it. The caller must call {@link leave} after. */
  enter(req: IAdmissionRequest): Effect.Effect<IChoice, CallError> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const isFirst = !this.#queue.some(({ req: other }) => this.#opts.order.compare(other, req, now) <= 0);
      const choice = isFirst ? this.#tryEnter(req, now) : undefined;
      if (choice !== undefined) return choice;
      yield* this.#checkQueue(req);
      const waiting = { req, granted: Deferred.makeUnsafe<IChoice>() };
      this.#queue.push(waiting);
      return yield* Effect.onInterrupt(
        Deferred.await(waiting.granted),
        () => this.#abandon(waiting),
      );
    });
  }

  /** Gives a place back. `durationMs` is the call's duration if it completed. */
  leave(engine: EngineState, durationMs: number | undefined): void {
    engine.noteEnd(durationMs);
    this.#opts.registry.changed.notify();
  }

  #abandon(waiting: IWaiting): Effect.Effect<void> {
    return Effect.suspend(() => {
      const index = this.#queue.indexOf(waiting);
      if (index >= 0) {
        this.#queue.splice(index, 1);
        return Effect.void;
      }
      return Effect.map(Deferred.await(waiting.granted), (choice) => this.leave(choice.engine, undefined));
    });
  }

  #tryEnter(req: IAdmissionRequest, now: number): IChoice | undefined {
    const { engineOvercommit } = this.#opts.preset();
    const withRoom = this.#opts.registry.engines.filter((engine) =>
      engine.load < engine.slots * engineOvercommit && this.#mayStart(req, { engine, now })
    );
    const choice = this.#opts.chooser.choose(req, withRoom);
    if (choice === undefined) return undefined;
    choice.engine.noteStart();
    if (req.isFirstCall) {
      choice.engine.noteNewProgram(req.promptTokens, now);
      this.#noteStart(now);
    }
    return choice;
  }

  /**
   * A new program starts where its history fits. Otherwise more programs would be under way than the
   * engines can remember, and each would pay for its whole history at every call. Of those that have
   * waited for long one starts now and then all the same: the memory may be held by programs that rest.
   */
  #mayStart(req: IAdmissionRequest, { engine, now }: { engine: EngineState; now: number }): boolean {
    if (!req.isFirstCall || engine.hasMemoryFor(req.promptTokens)) return true;
    const isStarved = now - req.queuedAtMs > this.#opts.preset().ageingMs;
    return isStarved && now - engine.lastNewProgramAt > STARVED_START_INTERVAL_MS;
  }

  /** Notes that a program has started, for the expected wait of those that follow. */
  #noteStart(now: number): void {
    const intervalMs = Math.min(now - this.#lastStartAt, MAX_START_INTERVAL_MS);
    this.#lastStartAt = now;
    this.#startIntervalMs += (intervalMs - this.#startIntervalMs) * START_SMOOTHING;
  }

  /** Expected time until a new program may start, from the pace at which others have. */
  #expectedStartMs(req: IAdmissionRequest): number {
    if (!req.isFirstCall) return 0;
    const ahead = this.#queue.filter(({ req: other }) => other.isFirstCall).length;
    return ahead * this.#startIntervalMs;
  }

  #serve(now: number): void {
    this.#queue.sort((a, b) => this.#opts.order.compare(a.req, b.req, now));
    for (const waiting of [...this.#queue]) {
      const choice = this.#tryEnter(waiting.req, now);
      if (choice === undefined) continue;
      this.#queue.splice(this.#queue.indexOf(waiting), 1);
      Deferred.doneUnsafe(waiting.granted, Effect.succeed(choice));
    }
  }

  /** Refuses a call at once when no engine could take it, or not soon enough. */
  #checkQueue(req: IAdmissionRequest): Effect.Effect<void, CallError> {
    const engines = this.#opts.registry.engines.filter((engine) =>
      engine.accepts(req.model) && !req.excluded.has(engine.id)
    );
    if (engines.length === 0) {
      const opts = { retryAfterMs: MIN_RETRY_AFTER_MS * 4, detail: `no engine offers ${req.model} now` };
      return Effect.fail(new CallError(Reason.NO_BACKEND, opts));
    }
    const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
    const engineWaitMs = Math.min(...engines.map(expectedWaitMs));
    const meanMs = engines.reduce((sum, engine) => sum + engine.meanCallMs, 0) / engines.length;
    const callWaitMs = engineWaitMs + this.#queue.length * meanMs / slots;
    const waitMs = Math.max(callWaitMs, this.#expectedStartMs(req));
    const isFull = this.#queue.length >= MAX_QUEUE || this.#exceedsShare(req);
    if (!isFull && waitMs <= this.#opts.preset().maxQueueMs) return Effect.void;
    // The queue drains at the rate of the engines; by then there is room again.
    const drainMs = Math.max(waitMs - this.#opts.preset().maxQueueMs, waitMs / 4);
    const retryAfterMs = Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)));
    const detail = `expected wait of ${Math.round(waitMs)} ms`;
    return Effect.fail(new CallError(Reason.OVERLOADED, { retryAfterMs, detail }));
  }

  /** Whether a customer has more than its share of a queue that is filling up. */
  #exceedsShare(req: IAdmissionRequest): boolean {
    if (this.#queue.length < MAX_QUEUE * FAIR_SHARE_FROM) return false;
    const weights = new Map(this.#queue.map(({ req: other }) => [other.customer, other.weight]));
    weights.set(req.customer, req.weight);
    const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const own = this.#queue.filter(({ req: other }) => other.customer === req.customer).length;
    return own >= MAX_QUEUE * req.weight / total;
  }
}
