/** Model engines, as the system uses them. */
import type { Effect } from "effect";
import VError from "verror";
import type { Message } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";

/** How a request to a backend server failed. */
export enum BackendFailure {
  /** No byte of the request left this process. */
  NotSent = "not-sent",
  /** The backend server refused it before running it. */
  Refused = "refused",
  /** The connection broke after the request may have arrived. */
  Broken = "broken",
  /** Nothing came within the time limit. */
  Silent = "silent",
  /** The backend server answered that the request is at fault. */
  Rejected = "rejected",
}

export class BackendError extends VError {
  readonly _tag = "BackendError";
  readonly failure: BackendFailure;

  constructor(failure: BackendFailure, opts: { detail: string; cause?: Error }) {
    super({ name: "BackendError", cause: opts.cause }, "%s", opts.detail);
    this.failure = failure;
  }

  /** Whether the request certainly did not run. */
  get isNotRun(): boolean {
    return this.failure === BackendFailure.NotSent || this.failure === BackendFailure.Refused;
  }
}

export interface IGenerateRequest {
  /** Unique for each attempt; the engine repeats it in every event. */
  readonly attemptId: string;
  readonly programId: string;
  readonly model: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  /** Lower goes first. */
  readonly priority: number;
  /** Id of the last event received, to resume the attempt's stream after it. */
  readonly lastEventId?: number;
}

export interface IGenerateUsage {
  readonly promptTokens: number;
  /** Prompt tokens that were in the engine's cache. */
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

export interface IGenerateResult {
  readonly usage: IGenerateUsage;
}

/** One token of a stream, with the event id that a resume starts after. */
export interface IEngineToken {
  readonly eventId: number;
  readonly text: string;
}

/** An engine's own report; it lags behind the truth. */
export interface ILoadReport {
  /** Changes with every start of the engine. */
  readonly bootId: string;
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  readonly models: readonly string[];
  readonly kvCapacityTokens: number;
  readonly kvUsedTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  readonly isLeaving: boolean;
}

export enum CacheEventKind {
  Stored = "stored",
  Evicted = "evicted",
}

/** A change of an engine's prefix cache. Events come late and with gaps in their sequence. */
export interface ICacheEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  readonly programId: string;
  readonly tokens: number;
}

/** KV cache that an engine holds for a program. */
export interface IKvHolding {
  readonly programId: string;
  readonly tokens: number;
}

export enum EngineOrderAction {
  LoadModel = "load-model",
  UnloadModel = "unload-model",
}

export interface IEngineOrder {
  readonly action: EngineOrderAction;
  readonly model: string;
  readonly fencingToken: number;
}

export interface IModelEngine {
  /** Generates an answer; tokens are passed on as they come. */
  generate(
    req: IGenerateRequest,
    onToken: (token: IEngineToken) => void,
  ): Effect.Effect<IGenerateResult, BackendError>;
  cancel(attemptId: string): Effect.Effect<void, BackendError>;
  /** Frees the KV cache of programs. Done when it succeeds. */
  releaseKv(programIds: readonly string[]): Effect.Effect<void, BackendError>;
  listKv(): Effect.Effect<readonly IKvHolding[], BackendError>;
  /** Copies a program's KV cache from another engine, named by its address. */
  importKv(programId: string, fromAddress: string): Effect.Effect<void, BackendError>;
  report(): Effect.Effect<ILoadReport, BackendError>;
  cacheEvents(after: number): Effect.Effect<readonly ICacheEvent[], BackendError>;
  order(order: IEngineOrder): Effect.Effect<void, BackendError>;
}

/** Makes the client of an engine. */
export type MakeEngine = (address: string) => IModelEngine;
