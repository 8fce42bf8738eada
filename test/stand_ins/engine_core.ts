/** Stand-in for a model engine: slots, priorities, a prefix cache in limited memory, and switchable faults. */
import type { Fiber } from "effect";
import { Clock, Deferred, Effect } from "effect";
import { hash32 } from "../../src/base/common/hash.ts";
import { Signal } from "../../src/base/common/signal.ts";
import type { Message } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type {
  ICacheEvent,
  IEngineOrder,
  IEngineToken,
  IGenerateRequest,
  IGenerateResult,
  IKvHolding,
  ILoadReport,
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
/** Content that crashes the engine. */
export const POISON = "crash-the-engine";

export interface IEngineFaults {
  crashed: boolean;
  leaving: boolean;
  /** Breaks every stream after so many tokens, once each. */
  cutAfter: number;
  /** Refuses control requests, as if the network were gone. */
  unreachable: boolean;
  /** Share of cache events that are dropped. */
  eventLoss: number;
  reportLagMs: number;
  checksFencing: boolean;
  /** Makes answers differ between attempts. */
  unsteady: boolean;
}

export interface IEngineOptions {
  readonly id: string;
  readonly models: readonly string[];
  readonly slots: number;
  readonly kvCapacityTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Tokens that come at a time; more make long runs cheaper. */
  readonly tokensPerStep?: number;
  /** Reads the tokens that another engine holds for a program, to import them. */
  readonly exportFrom?: (address: string, programId: string) => Effect.Effect<number, BackendError>;
}

export const DEFAULT_ENGINE: Omit<IEngineOptions, "id" | "models"> = {
  slots: 8,
  kvCapacityTokens: 60_000,
  prefillTokensPerSecond: 20_000,
  decodeTokensPerSecond: 400,
};

/** The answer that every engine gives to a conversation. */
export function answerTo(messages: readonly Pick<Message, "content">[], maxTokens: number): string[] {
  const text = messages.map(({ content }) => content).join("\n");
  const seed = hash32(text);
  const asked = /answer:(\d+)/.exec(messages[messages.length - 1]?.content ?? "")?.[1];
  const count = Math.min(maxTokens, asked === undefined ? 8 + seed % 8 : Number(asked));
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
  readonly turn: Deferred.Deferred<void>;
  result: IGenerateResult | undefined;
  failure: BackendError | undefined;
  fiber: Fiber.Fiber<void> | undefined;
  hasBeenCut: boolean;
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
  readonly #kv = new Map<string, number>();
  readonly models: Set<string>;
  #events: ICacheEvent[] = [];
  #eventSequence = 0;
  #running = 0;
  #boot = 1;
  #lastReport: { report: ILoadReport; atMs: number } | undefined;
  #highestFence = -1;
  #unsteadyRuns = 0;
  /** What has been done, for the checks of tests. */
  readonly stats = {
    started: 0,
    generatedTokens: 0,
    prefilledTokens: 0,
    wastedPrefillTokens: 0,
    crashes: 0,
  };
  readonly #everHeld = new Map<string, number>();

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
      yield* this.#checkUp();
      const known = this.#attempts.get(req.attemptId);
      if (known === undefined && req.lastEventId !== undefined) {
        return yield* failWith(BackendFailure.Broken, "nothing to resume");
      }
      const attempt = known ?? (yield* this.#start(req));
      let next = req.lastEventId === undefined ? 0 : req.lastEventId + 1;
      while (true) {
        for (; next < attempt.tokens.length; next++) {
          onToken({ eventId: next, text: attempt.tokens[next] });
          if (this.faults.cutAfter > 0 && next + 1 >= this.faults.cutAfter && !attempt.hasBeenCut) {
            attempt.hasBeenCut = true;
            return yield* failWith(BackendFailure.Broken, "cut");
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
      this.#checkUp(),
      Effect.sync(() => {
        const attempt = this.#attempts.get(attemptId);
        if (attempt === undefined || attempt.result !== undefined) return;
        this.#fail(attempt, new BackendError(BackendFailure.Broken, { detail: "cancelled" }));
      }),
    );
  }

  releaseKv(programIds: readonly string[]): Effect.Effect<void, BackendError> {
    return Effect.andThen(this.#checkUp(), Effect.sync(() => programIds.forEach((id) => this.#evict(id))));
  }

  listKv(): Effect.Effect<readonly IKvHolding[], BackendError> {
    return Effect.andThen(
      this.#checkUp(),
      Effect.sync(() => [...this.#kv].map(([programId, tokens]) => ({ programId, tokens }))),
    );
  }

  importKv(programId: string, fromAddress: string): Effect.Effect<void, BackendError> {
    const fetched = this.#opts.exportFrom?.(fromAddress, programId) ?? Effect.succeed(0);
    return Effect.flatMap(Effect.andThen(this.#checkUp(), fetched), (tokens) => {
      if (tokens === 0) return failWith(BackendFailure.Rejected, "nothing to import");
      this.#store(programId, tokens);
      return Effect.void;
    });
  }

  /** Tokens that the engine holds for a program. */
  exportKv(programId: string): number {
    return this.faults.crashed ? 0 : this.#kv.get(programId) ?? 0;
  }

  report(): Effect.Effect<ILoadReport, BackendError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#checkUp();
      const atMs = yield* Clock.currentTimeMillis;
      if (this.#lastReport === undefined || atMs - this.#lastReport.atMs >= this.faults.reportLagMs) {
        this.#lastReport = { report: this.#makeReport(), atMs };
      }
      return this.#lastReport.report;
    });
  }

  cacheEvents(after: number): Effect.Effect<readonly ICacheEvent[], BackendError> {
    return Effect.andThen(
      this.#checkUp(),
      Effect.sync(() => this.#events.filter(({ sequence }) => sequence > after)),
    );
  }

  order(order: IEngineOrder): Effect.Effect<void, BackendError> {
    return Effect.andThen(
      this.#checkUp(),
      Effect.suspend(() => {
        if (this.faults.checksFencing && order.fencingToken < this.#highestFence) {
          return failWith(BackendFailure.Rejected, "old fencing token");
        }
        this.#highestFence = Math.max(this.#highestFence, order.fencingToken);
        if (order.action === EngineOrderAction.LoadModel) this.models.add(order.model);
        else this.models.delete(order.model);
        this.#lastReport = undefined;
        return Effect.void;
      }),
    );
  }

  /** Loses everything, as a process that dies; `restart` brings it back with a new boot id. */
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
    this.#kv.clear();
    this.#events = [];
    this.#eventSequence = 0;
    this.#running = 0;
  }

  restart(): void {
    this.#boot += 1;
    this.#lastReport = undefined;
    this.faults.crashed = false;
  }

  get heldPrograms(): readonly string[] {
    return [...this.#kv.keys()];
  }

  #checkUp(): Effect.Effect<void, BackendError> {
    return Effect.suspend(() =>
      this.faults.crashed || this.faults.unreachable
        ? failWith(BackendFailure.NotSent, "connection refused")
        : Effect.void
    );
  }

  #start(req: IGenerateRequest): Effect.Effect<IAttempt, BackendError> {
    return Effect.gen({ self: this }, function* () {
      if (this.faults.leaving || !this.models.has(req.model)) {
        return yield* failWith(BackendFailure.Refused, "refused");
      }
      const attempt: IAttempt = {
        req,
        tokens: [],
        changed: new Signal(),
        turn: Deferred.makeUnsafe<void>(),
        result: undefined,
        failure: undefined,
        fiber: undefined,
        hasBeenCut: false,
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
      yield* Deferred.await(attempt.turn);
      if (attempt.failure !== undefined) return;
      const { messages, programId, maxTokens } = attempt.req;
      if (messages.some(({ content }) => content.includes(POISON))) {
        this.crash();
        return;
      }
      const promptTokens = countTokens(messages);
      const cachedTokens = Math.min(promptTokens, this.#kv.get(programId) ?? 0);
      this.stats.prefilledTokens += promptTokens - cachedTokens;
      const onceHeld = Math.min(promptTokens, this.#everHeld.get(programId) ?? 0);
      this.stats.wastedPrefillTokens += Math.max(0, onceHeld - cachedTokens);
      yield* Effect.sleep((promptTokens - cachedTokens) / this.#opts.prefillTokensPerSecond * MS_PER_SECOND);
      const answer = this.#answer(messages, maxTokens);
      const stride = this.#opts.tokensPerStep ?? 1;
      for (let at = 0; at < answer.length; at += stride) {
        const tokens = answer.slice(at, at + stride);
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
      this.#running -= 1;
      this.#admit();
    });
  }

  #answer(messages: readonly Message[], maxTokens: number): string[] {
    const answer = answerTo(messages, maxTokens);
    if (!this.faults.unsteady) return answer;
    this.#unsteadyRuns += 1;
    return answer.map((token) => `${this.#opts.id}${this.#unsteadyRuns}${token}`);
  }

  #admit(): void {
    this.#queue.sort((a, b) => a.req.priority - b.req.priority);
    while (this.#running < this.#opts.slots && this.#queue.length > 0) {
      this.#running += 1;
      Deferred.doneUnsafe(this.#queue.shift()!.turn, Effect.void);
    }
  }

  #fail(attempt: IAttempt, failure: BackendError): void {
    const wasQueued = this.#queue.includes(attempt);
    if (wasQueued) this.#queue.splice(this.#queue.indexOf(attempt), 1);
    else this.#running -= 1;
    attempt.failure = failure;
    attempt.changed.notify();
    Deferred.doneUnsafe(attempt.turn, Effect.void);
    this.#admit();
  }

  #store(programId: string, tokens: number): void {
    this.#kv.delete(programId);
    this.#kv.set(programId, tokens);
    this.#everHeld.set(programId, tokens);
    this.#emit(CacheEventKind.Stored, { programId, tokens });
    let used = [...this.#kv.values()].reduce((sum, held) => sum + held, 0);
    for (const [oldest, held] of [...this.#kv]) {
      if (used <= this.#opts.kvCapacityTokens) break;
      this.#evict(oldest);
      used -= held;
    }
  }

  #evict(programId: string): void {
    if (this.#kv.delete(programId)) this.#emit(CacheEventKind.Evicted, { programId, tokens: 0 });
  }

  #emit(kind: CacheEventKind, event: { programId: string; tokens: number }): void {
    this.#eventSequence += 1;
    const isLost = hash32(`${this.#opts.id} ${this.#eventSequence}`) % 100 < this.faults.eventLoss * 100;
    if (!isLost) this.#events.push({ sequence: this.#eventSequence, kind, ...event });
    if (this.#events.length > 1000) this.#events.shift();
  }

  #makeReport(): ILoadReport {
    return {
      bootId: `${this.#opts.id}-${this.#boot}`,
      slots: this.#opts.slots,
      running: this.#running,
      queued: this.#queue.length,
      models: [...this.models],
      kvCapacityTokens: this.#opts.kvCapacityTokens,
      kvUsedTokens: [...this.#kv.values()].reduce((sum, held) => sum + held, 0),
      prefillTokensPerSecond: this.#opts.prefillTokensPerSecond,
      decodeTokensPerSecond: this.#opts.decodeTokensPerSecond,
      isLeaving: this.faults.leaving,
    };
  }
}

function failWith(failure: BackendFailure, detail: string): Effect.Effect<never, BackendError> {
  return Effect.fail(new BackendError(failure, { detail }));
}
