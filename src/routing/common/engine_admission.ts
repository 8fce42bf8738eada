/** Admits calls to engines: immediately while there is capacity, otherwise from a priority queue. */
import type { Scope } from "effect";
import { Clock, Deferred, Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import { Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Preset } from "../../services/settings/common/gen/configuration.ts";
import type { BackendRegistry } from "./backend_registry.ts";
import type { IEngineChoice, IEngineChoiceInput, IEngineChooser } from "./engine_chooser.ts";
import { expectedWaitMs } from "./engine_chooser.ts";
import type { EngineState } from "./engine_state.ts";
import type { ICallPriorityPolicy, IPrioritizedCall } from "./call_priority.ts";

/** Maximum number of queued calls per instance. */
const MAX_QUEUE_LENGTH = 2000;
/** Fill level of the queue above which each customer is limited to its weighted share. */
const FAIR_SHARE_THRESHOLD = 0.5;
/** Minimum time between new programs on an engine whose memory cannot hold their history. */
const STARVED_START_INTERVAL_MS = 10_000;
const MAX_START_INTERVAL_MS = 10_000;
const START_INTERVAL_SMOOTHING = 0.1;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 60_000;

/** A call that requests an engine. */
export interface IAdmissionRequest extends IPrioritizedCall, IEngineChoiceInput {
  readonly customer: string;
}

interface IQueuedCall {
  readonly req: IAdmissionRequest;
  /** Completed with the engine once the call is admitted. */
  readonly admitted: Deferred.Deferred<IEngineChoice>;
}

export interface IEngineAdmissionOptions {
  readonly registry: BackendRegistry;
  readonly chooser: IEngineChooser;
  readonly priorityPolicy: ICallPriorityPolicy;
  readonly preset: () => Preset;
}

export class EngineAdmission {
  readonly #opts: IEngineAdmissionOptions;
  readonly #queue: IQueuedCall[] = [];
  #lastStartAt = 0;
  /** Moving average of the time between two starts of new programs. */
  #startIntervalMs = 0;

  constructor(opts: IEngineAdmissionOptions) {
    this.#opts = opts;
  }

  /** Admits queued calls until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const admitLoop = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* this.#opts.registry.changed.wait();
        this.#admitQueued(yield* Clock.currentTimeMillis);
      }
    });
    return Effect.asVoid(Effect.forkScoped(admitLoop));
  }

  get queueLength(): number {
    return this.#queue.length;
  }

  /** Waits for an engine with capacity and acquires a slot on it, to be returned with {@link release}. */
  acquire(req: IAdmissionRequest): Effect.Effect<IEngineChoice, CallError> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const isNext = !this.#queue.some(({ req: other }) =>
        this.#opts.priorityPolicy.compare(other, req, now) <= 0
      );
      const choice = isNext ? this.#tryAcquire(req, now) : undefined;
      if (choice !== undefined) return choice;
      yield* this.#checkOverload(req);
      const queued = { req, admitted: Deferred.makeUnsafe<IEngineChoice>() };
      this.#queue.push(queued);
      return yield* Effect.onInterrupt(
        Deferred.await(queued.admitted),
        () => this.#cancel(queued),
      );
    });
  }

  /** Releases a slot. `durationMs` is the call's duration if it completed. */
  release(engine: EngineState, durationMs: number | undefined): void {
    engine.recordCallEnd(durationMs);
    this.#opts.registry.changed.notify();
  }

  /** Removes an interrupted call from the queue, or releases its slot if it was admitted meanwhile. */
  #cancel(queued: IQueuedCall): Effect.Effect<void> {
    return Effect.suspend(() => {
      const index = this.#queue.indexOf(queued);
      if (index >= 0) {
        this.#queue.splice(index, 1);
        return Effect.void;
      }
      return Effect.map(Deferred.await(queued.admitted), (choice) => this.release(choice.engine, undefined));
    });
  }

  #tryAcquire(req: IAdmissionRequest, now: number): IEngineChoice | undefined {
    const { engineOvercommit } = this.#opts.preset();
    const withCapacity = this.#opts.registry.engines.filter((engine) =>
      engine.load < engine.slots * engineOvercommit && this.#mayStartProgram(req, { engine, now })
    );
    const choice = this.#opts.chooser.choose(req, withCapacity);
    if (choice === undefined) return undefined;
    choice.engine.recordCallStart();
    if (req.isFirstCall) {
      choice.engine.recordNewProgram(req.promptTokens, now);
      this.#recordProgramStart(now);
    }
    return choice;
  }

  /**
   * A new program may start on an engine whose memory can hold its history. With more active programs than
   * the engines can cache, every call would recompute its program's whole history. Programs that have
   * waited beyond the ageing time still start at a low rate, as idle programs may occupy the memory.
   */
  #mayStartProgram(req: IAdmissionRequest, { engine, now }: { engine: EngineState; now: number }): boolean {
    if (!req.isFirstCall || engine.hasMemoryFor(req.promptTokens)) return true;
    const isStarved = now - req.queuedAtMs > this.#opts.preset().ageingMs;
    return isStarved && now - engine.lastProgramStartAtMs > STARVED_START_INTERVAL_MS;
  }

  /** Updates the mean start interval, from which the expected wait of new programs is derived. */
  #recordProgramStart(now: number): void {
    const intervalMs = Math.min(now - this.#lastStartAt, MAX_START_INTERVAL_MS);
    this.#lastStartAt = now;
    this.#startIntervalMs += (intervalMs - this.#startIntervalMs) * START_INTERVAL_SMOOTHING;
  }

  /** Expected time until a new program may start, given the rate at which previous ones started. */
  #expectedStartMs(req: IAdmissionRequest): number {
    if (!req.isFirstCall) return 0;
    const programsAhead = this.#queue.filter(({ req: other }) => other.isFirstCall).length;
    return programsAhead * this.#startIntervalMs;
  }

  #admitQueued(now: number): void {
    this.#queue.sort((a, b) => this.#opts.priorityPolicy.compare(a.req, b.req, now));
    for (const queued of [...this.#queue]) {
      const choice = this.#tryAcquire(queued.req, now);
      if (choice === undefined) continue;
      this.#queue.splice(this.#queue.indexOf(queued), 1);
      Deferred.doneUnsafe(queued.admitted, Effect.succeed(choice));
    }
  }

  /** Fails if no engine offers the model, the queue is full, or the expected wait exceeds the maximum. */
  #checkOverload(req: IAdmissionRequest): Effect.Effect<void, CallError> {
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
    const isFull = this.#queue.length >= MAX_QUEUE_LENGTH || this.#exceedsFairShare(req);
    if (!isFull && waitMs <= this.#opts.preset().maxQueueMs) return Effect.void;
    // By then the engines should have drained the queue far enough to admit the call.
    const drainMs = Math.max(waitMs - this.#opts.preset().maxQueueMs, waitMs / 4);
    const retryAfterMs = Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)));
    const detail = `expected wait of ${Math.round(waitMs)} ms`;
    return Effect.fail(new CallError(Reason.OVERLOADED, { retryAfterMs, detail }));
  }

  /** Whether a customer has used up its weighted share of the queue, once that is filled beyond the threshold. */
  #exceedsFairShare(req: IAdmissionRequest): boolean {
    if (this.#queue.length < MAX_QUEUE_LENGTH * FAIR_SHARE_THRESHOLD) return false;
    const weights = new Map(this.#queue.map(({ req: other }) => [other.customer, other.weight]));
    weights.set(req.customer, req.weight);
    const totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const customerCalls = this.#queue.filter(({ req: other }) => other.customer === req.customer).length;
    return customerCalls >= MAX_QUEUE_LENGTH * req.weight / totalWeight;
  }
}
