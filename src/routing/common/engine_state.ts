/** State of one engine as tracked by this instance. */
import { ProgramCacheIndex } from "./program_cache_index.ts";
import type { IEngineLoadReport, IModelEngine } from "./model_engine.ts";

/** Weight of the newest sample in the moving average of call durations. */
const DURATION_SMOOTHING = 0.1;
const INITIAL_MEAN_CALL_MS = 500;
/** Weight of the newest report in the moving average of the load; reports arrive about twice a second. */
const LOAD_SMOOTHING = 0.25;

/** Share of an engine's KV cache that new programs may fill; the rest is reserved for growing histories. */
const MAX_NEW_PROGRAM_MEMORY_SHARE = 0.75;
/** Factor applied to the tokens of unreported new programs each time a report arrives. */
const UNREPORTED_TOKENS_DECAY = 0.5;

export enum BackendCondition {
  Live = "live",
  /** Completes its running calls and receives no new ones. */
  Leaving = "leaving",
  /** Failed to respond recently. */
  Suspect = "suspect",
}

/** Updated by the polling loop of the backend registry and by calls; read when an engine is chosen. */
export class EngineState {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly client: IModelEngine;
  readonly cache = new ProgramCacheIndex();
  condition = BackendCondition.Live;
  loadReport: IEngineLoadReport | undefined;
  reportedAtMs = 0;
  /** Calls of this instance running on the engine. */
  inFlight = 0;
  /** Moving average of this instance's running calls over the period by which reports may lag. */
  #meanOwnCalls = 0;
  /** Tokens of recently dispatched new programs that reports may not include yet. */
  #unreportedTokens = 0;
  /** Moving average of the calls of other instances running on the engine. */
  #meanPeerCalls = 0;
  meanCallMs = INITIAL_MEAN_CALL_MS;
  /** Clock time in ms at which this instance last dispatched a new program to the engine. */
  lastProgramStartAtMs = 0;

  constructor(opts: { id: string; zone: string; address: string; client: IModelEngine }) {
    this.id = opts.id;
    this.zone = opts.zone;
    this.address = opts.address;
    this.client = opts.client;
  }

  /**
   * Estimated calls on the engine. Calls of this instance are counted exactly; those of other instances
   * are estimated as the reported calls less this instance's own. Reports lag, so the difference is
   * taken between moving averages.
   */
  get load(): number {
    return this.inFlight + this.#meanPeerCalls;
  }

  get slots(): number {
    return this.loadReport?.slots ?? 1;
  }

  /** Whether new calls to a model may be sent to the engine. */
  accepts(model: string): boolean {
    return this.condition === BackendCondition.Live && this.loadReport !== undefined &&
      this.loadReport.models.includes(model);
  }

  /** Whether a new program's history fits into the engine's KV cache without evicting others. */
  hasMemoryFor(tokens: number): boolean {
    const { kvUsedTokens, kvCapacityTokens } = this.loadReport ??
      { kvUsedTokens: 0, kvCapacityTokens: Infinity };
    return kvUsedTokens + this.#unreportedTokens + tokens <= kvCapacityTokens * MAX_NEW_PROGRAM_MEMORY_SHARE;
  }

  /** Records that a new program was dispatched to the engine; reports include its history only later. */
  recordNewProgram(tokens: number, now: number): void {
    this.lastProgramStartAtMs = now;
    this.#unreportedTokens += tokens;
  }

  /** Applies a load report. A changed boot id means that the engine restarted with an empty cache. */
  applyLoadReport(report: IEngineLoadReport, now: number): void {
    if (this.loadReport !== undefined && this.loadReport.bootId !== report.bootId) this.cache.clear();
    const peerCalls = Math.max(0, report.running + report.queued - this.#meanOwnCalls);
    const weight = this.loadReport === undefined ? 1 : LOAD_SMOOTHING;
    this.#meanPeerCalls += (peerCalls - this.#meanPeerCalls) * weight;
    this.#meanOwnCalls += (this.inFlight - this.#meanOwnCalls) * LOAD_SMOOTHING;
    this.#unreportedTokens *= UNREPORTED_TOKENS_DECAY;
    this.loadReport = report;
    this.reportedAtMs = now;
    if (report.isLeaving) this.condition = BackendCondition.Leaving;
    else if (this.condition === BackendCondition.Suspect) this.condition = BackendCondition.Live;
  }

  recordCallStart(): void {
    this.inFlight += 1;
  }

  recordCallEnd(durationMs: number | undefined): void {
    this.inFlight -= 1;
    if (durationMs === undefined) return;
    this.meanCallMs += (durationMs - this.meanCallMs) * DURATION_SMOOTHING;
  }
}
