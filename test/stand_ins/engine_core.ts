/** In-memory fake of a model engine with slots, priorities, a bounded prefix cache and injectable faults. */
import type { Fiber } from "effect";
import { Clock, Deferred, Effect } from "effect";
import { hash32 } from "../../src/base/common/hash.ts";
import { Signal } from "../../src/base/common/signal.ts";
import type { Message } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type {
  ICacheEvent,
  IEngineLoadReport,
  IEngineOrder,
  IEngineToken,
  IGenerateRequest,
  IGenerateResult,
  IKvCacheEntry,
  IModelEngine,
} from "../../src/routing/common/model_engine.ts";
import {
  BackendError,
  BackendFailure,
  CacheEventKind,
  EngineOrderAction,
} from "../../src/routing/common/model_engine.ts";

const MS_PER_SECOND = 1000;
const CHARS_PER_TOKEN = 4;
const TOKENS_PER_MESSAGE = 4;
/** Message content that crashes the engine. */
export const CRASHING_CONTENT = "crash-the-engine";

export interface IEngineFaults {
  crashed: boolean;
  leaving: boolean;
  /** Number of tokens after which each stream is interrupted once; 0 for never. */
  cutAfter: number;
  /** Fails every request as if the network were down. */
  unreachable: boolean;
  /** Share of cache events that are dropped, from 0 to 1. */
  eventLoss: number;
  /** Time for which a load report is served from cache, in ms. */
  reportLagMs: number;
  /** Whether orders with an outdated fencing token are rejected. */
  checksFencing: boolean;
  /** Makes answers nondeterministic: they differ between attempts. */
  unsteady: boolean;
}

export interface IEngineOptions {
  readonly id: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly kvCapacityTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Tokens generated per decode step, 1 by default; larger values make long simulations cheaper. */
  readonly tokensPerDecodeStep?: number;
  /** Returns the number of tokens that another engine has cached for a program, for imports. */
  readonly fetchCachedTokens?: (address: string, programId: string) => Effect.Effect<number, BackendError>;
}

export const DEFAULT_ENGINE: Omit<IEngineOptions, "id" | "models"> = {
  slots: 8,
  kvCapacityTokens: 60_000,
  prefillTokensPerSecond: 20_000,
  decodeTokensPerSecond: 400,
};

/**
 * Returns the tokens with which every fake engine answers a session. The answer is derived from the
 * messages; `answer:N` in the last one requests N tokens.
 */
export function expectedAnswerTokens(
  messages: readonly Pick<Message, "content">[],
  maxTokens: number,
): string[] {
  const text = messages.map(({ content }) => content).join("\n");
  const seed = hash32(text);
  const requested = /answer:(\d+)/.exec(messages[messages.length - 1]?.content ?? "")?.[1];
  const count = Math.min(maxTokens, requested === undefined ? 8 + seed % 8 : Number(requested));
  return Array.from({ length: count }, (_, index) => `w${(seed + index * 7919) % 9973} `);
}

export function countTokens(messages: readonly Pick<Message, "content">[]): number {
  return messages.reduce(
    (sum, { content }) => sum + Math.ceil(content.length / CHARS_PER_TOKEN) + TOKENS_PER_MESSAGE,
    0,
  );
}

interface IAttempt {
  readonly req: IGenerateRequest;
  readonly tokens: string[];
  readonly changed: Signal;
  readonly slotGranted: Deferred.Deferred<void>;
  result: IGenerateResult | undefined;
  failure: BackendError | undefined;
  fiber: Fiber.Fiber<void> | undefined;
  wasInterrupted: boolean;
}

export class EngineCore implements IModelEngine {
  readonly faults: IEngineFaults = {
    crashed: false,
    leaving: false,
    cutAfter: 0,
    unreachable: false,
    eventLoss: 0,
    reportLagMs: 0,
    checksFencing: true,
    unsteady: false,
  };
  readonly #opts: IEngineOptions;
  readonly #attempts = new Map<string, IAttempt>();
  readonly #queue: IAttempt[] = [];
  readonly #cachedTokens = new Map<string, number>();
  readonly models: Set<string>;
  #events: ICacheEvent[] = [];
  #eventSequence = 0;
  #runningCount = 0;
  #bootCount = 1;
  #lastLoadReport: { report: IEngineLoadReport; atMs: number } | undefined;
  #highestFencingToken = -1;
  #nondeterministicRuns = 0;
  /** Counters that tests and the demo check. */
  readonly stats = {
    started: 0,
    generatedTokens: 0,
    prefilledTokens: 0,
    wastedPrefillTokens: 0,
    crashes: 0,
  };
  readonly #lastStoredTokens = new Map<string, number>();

  constructor(opts: IEngineOptions) {
    this.#opts = opts;
    this.models = new Set(opts.models);
  }

  get id(): string {
    return this.#opts.id;
  }

  generate(
    req: IGenerateRequest,
    onToken: (token: IEngineToken) => void,
  ): Effect.Effect<IGenerateResult, BackendError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#checkReachable();
      const known = this.#attempts.get(req.attemptId);
      if (known === undefined && req.lastEventId !== undefined) {
        return yield* failWith(BackendFailure.Broken, "no attempt to resume");
      }
      const attempt = known ?? (yield* this.#start(req));
      let next = req.lastEventId === undefined ? 0 : req.lastEventId + 1;
      while (true) {
        for (; next < attempt.tokens.length; next++) {
          onToken({ eventId: next, text: attempt.tokens[next] });
          if (this.faults.cutAfter > 0 && next + 1 >= this.faults.cutAfter && !attempt.wasInterrupted) {
            attempt.wasInterrupted = true;
            return yield* failWith(BackendFailure.Broken, "stream interrupted");
          }
        }
        if (attempt.failure !== undefined) return yield* Effect.fail(attempt.failure);
        if (attempt.result !== undefined) return attempt.result;
        yield* attempt.changed.wait();
      }
    });
  }

  cancel(attemptId: string): Effect.Effect<void, BackendError> {
    return Effect.andThen(
      this.#checkReachable(),
      Effect.sync(() => {
        const attempt = this.#attempts.get(attemptId);
        if (attempt === undefined || attempt.result !== undefined) return;
        this.#fail(attempt, new BackendError(BackendFailure.Broken, { detail: "cancelled" }));
      }),
    );
  }

  releaseKv(programIds: readonly string[]): Effect.Effect<void, BackendError> {
    return Effect.andThen(
      this.#checkReachable(),
      Effect.sync(() => programIds.forEach((id) => this.#evict(id))),
    );
  }

  listKv(): Effect.Effect<readonly IKvCacheEntry[], BackendError> {
    return Effect.andThen(
      this.#checkReachable(),
      Effect.sync(() => [...this.#cachedTokens].map(([programId, tokens]) => ({ programId, tokens }))),
    );
  }

  importKv(programId: string, fromAddress: string): Effect.Effect<void, BackendError> {
    const fetched = this.#opts.fetchCachedTokens?.(fromAddress, programId) ?? Effect.succeed(0);
    return Effect.flatMap(Effect.andThen(this.#checkReachable(), fetched), (tokens) => {
      if (tokens === 0) return failWith(BackendFailure.Rejected, "no cached tokens to import");
      this.#store(programId, tokens);
      return Effect.void;
    });
  }

  /** Returns the number of tokens cached for a program. */
  exportKv(programId: string): number {
    return this.faults.crashed ? 0 : this.#cachedTokens.get(programId) ?? 0;
  }

  getLoadReport(): Effect.Effect<IEngineLoadReport, BackendError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#checkReachable();
      const atMs = yield* Clock.currentTimeMillis;
      if (this.#lastLoadReport === undefined || atMs - this.#lastLoadReport.atMs >= this.faults.reportLagMs) {
        this.#lastLoadReport = { report: this.#makeLoadReport(), atMs };
      }
      return this.#lastLoadReport.report;
    });
  }

  listCacheEvents(after: number): Effect.Effect<readonly ICacheEvent[], BackendError> {
    return Effect.andThen(
      this.#checkReachable(),
      Effect.sync(() => this.#events.filter(({ sequence }) => sequence > after)),
    );
  }

  order(order: IEngineOrder): Effect.Effect<void, BackendError> {
    return Effect.andThen(
      this.#checkReachable(),
      Effect.suspend(() => {
        if (this.faults.checksFencing && order.fencingToken < this.#highestFencingToken) {
          return failWith(BackendFailure.Rejected, "outdated fencing token");
        }
        this.#highestFencingToken = Math.max(this.#highestFencingToken, order.fencingToken);
        if (order.action === EngineOrderAction.LoadModel) this.models.add(order.model);
        else this.models.delete(order.model);
        this.#lastLoadReport = undefined;
        return Effect.void;
      }),
    );
  }

  /** Drops all state, as a process that crashes does; `restart` brings it back with a new boot id. */
  crash(): void {
    this.faults.crashed = true;
    this.stats.crashes += 1;
    for (const attempt of this.#attempts.values()) {
      if (attempt.result === undefined) {
        this.#fail(attempt, new BackendError(BackendFailure.Broken, { detail: "crashed" }));
      }
    }
    this.#attempts.clear();
    this.#queue.length = 0;
    this.#cachedTokens.clear();
    this.#events = [];
    this.#eventSequence = 0;
    this.#runningCount = 0;
  }

  restart(): void {
    this.#bootCount += 1;
    this.#lastLoadReport = undefined;
    this.faults.crashed = false;
  }

  get cachedProgramIds(): readonly string[] {
    return [...this.#cachedTokens.keys()];
  }

  #checkReachable(): Effect.Effect<void, BackendError> {
    return Effect.suspend(() =>
      this.faults.crashed || this.faults.unreachable
        ? failWith(BackendFailure.NotSent, "connection refused")
        : Effect.void
    );
  }

  #start(req: IGenerateRequest): Effect.Effect<IAttempt, BackendError> {
    return Effect.gen({ self: this }, function* () {
      if (this.faults.leaving || !this.models.has(req.model)) {
        return yield* failWith(BackendFailure.Refused, "the engine is leaving or does not serve the model");
      }
      const attempt: IAttempt = {
        req,
        tokens: [],
        changed: new Signal(),
        slotGranted: Deferred.makeUnsafe<void>(),
        result: undefined,
        failure: undefined,
        fiber: undefined,
        wasInterrupted: false,
      };
      this.#attempts.set(req.attemptId, attempt);
      this.stats.started += 1;
      attempt.fiber = yield* Effect.forkDetach(this.#run(attempt));
      return attempt;
    });
  }

  #run(attempt: IAttempt): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#queue.push(attempt);
      this.#admit();
      yield* Deferred.await(attempt.slotGranted);
      if (attempt.failure !== undefined) return;
      const { messages, programId, maxTokens } = attempt.req;
      if (messages.some(({ content }) => content.includes(CRASHING_CONTENT))) {
        this.crash();
        return;
      }
      const promptTokens = countTokens(messages);
      const cachedTokens = Math.min(promptTokens, this.#cachedTokens.get(programId) ?? 0);
      this.stats.prefilledTokens += promptTokens - cachedTokens;
      const storedBefore = Math.min(promptTokens, this.#lastStoredTokens.get(programId) ?? 0);
      this.stats.wastedPrefillTokens += Math.max(0, storedBefore - cachedTokens);
      yield* Effect.sleep((promptTokens - cachedTokens) / this.#opts.prefillTokensPerSecond * MS_PER_SECOND);
      const answer = this.#generateAnswer(messages, maxTokens);
      const batchSize = this.#opts.tokensPerDecodeStep ?? 1;
      for (let at = 0; at < answer.length; at += batchSize) {
        const tokens = answer.slice(at, at + batchSize);
        yield* Effect.sleep(tokens.length * MS_PER_SECOND / this.#opts.decodeTokensPerSecond);
        if (attempt.failure !== undefined) return;
        attempt.tokens.push(...tokens);
        this.stats.generatedTokens += tokens.length;
        attempt.changed.notify();
      }
      this.#store(programId, promptTokens + answer.length);
      if (attempt.failure !== undefined) return;
      attempt.result = { usage: { promptTokens, cachedTokens, generatedTokens: answer.length } };
      attempt.changed.notify();
      this.#runningCount -= 1;
      this.#admit();
    });
  }

  #generateAnswer(messages: readonly Message[], maxTokens: number): string[] {
    const answer = expectedAnswerTokens(messages, maxTokens);
    if (!this.faults.unsteady) return answer;
    this.#nondeterministicRuns += 1;
    return answer.map((token) => `${this.#opts.id}${this.#nondeterministicRuns}${token}`);
  }

  #admit(): void {
    this.#queue.sort((a, b) => a.req.priority - b.req.priority);
    while (this.#runningCount < this.#opts.slots && this.#queue.length > 0) {
      this.#runningCount += 1;
      Deferred.doneUnsafe(this.#queue.shift()!.slotGranted, Effect.void);
    }
  }

  #fail(attempt: IAttempt, failure: BackendError): void {
    const wasQueued = this.#queue.includes(attempt);
    if (wasQueued) this.#queue.splice(this.#queue.indexOf(attempt), 1);
    else this.#runningCount -= 1;
    attempt.failure = failure;
    attempt.changed.notify();
    Deferred.doneUnsafe(attempt.slotGranted, Effect.void);
    this.#admit();
  }

  #store(programId: string, tokens: number): void {
    this.#cachedTokens.delete(programId);
    this.#cachedTokens.set(programId, tokens);
    this.#lastStoredTokens.set(programId, tokens);
    this.#emitCacheEvent(CacheEventKind.Stored, { programId, tokens });
    let used = [...this.#cachedTokens.values()].reduce((sum, held) => sum + held, 0);
    for (const [oldest, held] of [...this.#cachedTokens]) {
      if (used <= this.#opts.kvCapacityTokens) break;
      this.#evict(oldest);
      used -= held;
    }
  }

  #evict(programId: string): void {
    if (this.#cachedTokens.delete(programId)) {
      this.#emitCacheEvent(CacheEventKind.Evicted, { programId, tokens: 0 });
    }
  }

  #emitCacheEvent(kind: CacheEventKind, event: { programId: string; tokens: number }): void {
    this.#eventSequence += 1;
    const isLost = hash32(`${this.#opts.id} ${this.#eventSequence}`) % 100 < this.faults.eventLoss * 100;
    if (!isLost) this.#events.push({ sequence: this.#eventSequence, kind, ...event });
    if (this.#events.length > 1000) this.#events.shift();
  }

  #makeLoadReport(): IEngineLoadReport {
    return {
      bootId: `${this.#opts.id}-${this.#bootCount}`,
      slots: this.#opts.slots,
      running: this.#runningCount,
      queued: this.#queue.length,
      models: [...this.models],
      kvCapacityTokens: this.#opts.kvCapacityTokens,
      kvUsedTokens: [...this.#cachedTokens.values()].reduce((sum, held) => sum + held, 0),
      prefillTokensPerSecond: this.#opts.prefillTokensPerSecond,
      decodeTokensPerSecond: this.#opts.decodeTokensPerSecond,
      isLeaving: this.faults.leaving,
    };
  }
}

function failWith(failure: BackendFailure, detail: string): Effect.Effect<never, BackendError> {
  return Effect.fail(new BackendError(failure, { detail }));
}
