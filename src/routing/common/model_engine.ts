/** Client interface of model engines. */
import type { Effect } from "effect";
import VError from "verror";
import type { Message } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";

/** How a request to a backend server failed. */
export enum BackendFailure {
  /** The connection could not be established; no byte of the request was sent. */
  NotSent = "not-sent",
  /** The backend server refused the request without executing it. */
  Refused = "refused",
  /** The exchange failed after the request may have reached the backend server; the outcome is unknown. */
  Broken = "broken",
  /** No response arrived within the timeout. */
  TimedOut = "silent",
  /** The backend server rejected the request as invalid. */
  Rejected = "rejected",
}

export class BackendError extends VError {
  readonly _tag = "BackendError";
  readonly failure: BackendFailure;

  constructor(failure: BackendFailure, opts: { detail: string; cause?: Error }) {
    super({ name: "BackendError", cause: opts.cause }, "%s", opts.detail);
    this.failure = failure;
  }

  /** Whether the request is known not to have been executed. */
  get isNotRun(): boolean {
    return this.failure === BackendFailure.NotSent || this.failure === BackendFailure.Refused;
  }
}

export interface IGenerateRequest {
  /** Unique per attempt; the engine includes it in every event of the stream. */
  readonly attemptId: string;
  readonly programId: string;
  readonly model: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  /** Lower values are scheduled first. */
  readonly priority: number;
  /** Id of the last event received; set to resume the attempt's stream after that event. */
  readonly lastEventId?: number;
}

export interface IGenerateUsage {
  readonly promptTokens: number;
  /** Prompt tokens served from the engine's prefix cache. */
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

export interface IGenerateResult {
  readonly usage: IGenerateUsage;
}

/** A streamed token and the id of its event, after which the stream can be resumed. */
export interface IEngineToken {
  readonly eventId: number;
  readonly text: string;
}

/** Load as reported by the engine; may be out of date. */
export interface IEngineLoadReport {
  /** Changes with every restart of the engine. */
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

/** A change to an engine's prefix cache. Events may be delayed, and their sequence may have gaps. */
export interface ICacheEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  readonly programId: string;
  readonly tokens: number;
}

/** KV cache that an engine holds for one program. */
export interface IKvCacheEntry {
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
  /** Generates a response; calls `onToken` for each token as it is received. */
  generate(
    req: IGenerateRequest,
    onToken: (token: IEngineToken) => void,
  ): Effect.Effect<IGenerateResult, BackendError>;
  cancel(attemptId: string): Effect.Effect<void, BackendError>;
  /** Frees the KV cache of the given programs. The cache has been freed once the effect succeeds. */
  releaseKv(programIds: readonly string[]): Effect.Effect<void, BackendError>;
  listKv(): Effect.Effect<readonly IKvCacheEntry[], BackendError>;
  /** Copies a program's KV cache from the engine at `fromAddress`. */
  importKv(programId: string, fromAddress: string): Effect.Effect<void, BackendError>;
  getLoadReport(): Effect.Effect<IEngineLoadReport, BackendError>;
  /** Returns the cache events with a sequence number greater than `after`. */
  listCacheEvents(after: number): Effect.Effect<readonly ICacheEvent[], BackendError>;
  order(order: IEngineOrder): Effect.Effect<void, BackendError>;
}

/** Creates the client for the engine at `address`. */
export type EngineFactory = (address: string) => IModelEngine;
