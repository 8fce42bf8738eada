/** What this instance knows of one engine. */
import { CacheMap } from "./cache_map.ts";
import type { ILoadReport, IModelEngine } from "./model_engine.ts";

/** Weight of the newest sample in the mean duration of calls. */
const DURATION_SMOOTHING = 0.1;
const INITIAL_CALL_MS = 500;
/** Weight of the newest report in the mean load; reports come about twice a second. */
const LOAD_SMOOTHING = 0.25;

/** Share of an engine's memory up to which new programs start; the rest is for histories to grow into. */
const START_BELOW = 0.75;
/** Factor by which programs sent earlier still count beside a new report. */
const STARTED_DECAY = 0.5;

export enum BackendCondition {
  Live = "live",
  /** Finishes its calls and gets no new ones. */
  Leaving = "leaving",
  /** Did not answer lately. */
  Suspect = "suspect",
}

/** State that the engine watch keeps up to date and the choice of an engine reads. */
export class EngineState {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly client: IModelEngine;
  readonly cache = new CacheMap();
  condition = BackendCondition.Live;
  report: ILoadReport | undefined;
  reportedAt = 0;
  /** Calls of this instance under way on the engine. */
  inFlight = 0;
  /** Mean of this instance's own calls over the time that a report may lag behind. */
  #ownMean = 0;
  /** Tokens of programs sent lately that reports may not show yet. */
  #startedTokens = 0;
  /** Mean of the calls that other instances have on the engine. */
  #othersMean = 0;
  meanCallMs = INITIAL_CALL_MS;
  /** Time of the last start of a program from here, in ms of the clock. */
  lastNewProgramAt = 0;

  constructor(opts: { id: string; zone: string; address: string; client: IModelEngine }) {
    this.id = opts.id;
    this.zone = opts.zone;
    this.address = opts.address;
    this.client = opts.client;
  }

  /**
   * Calls on the engine. This instance's own are known exactly; the others' are what the reports show
   * beyond them. Reports come late, so both sides of that difference are means over some time.
   */
  get load(): number {
    return this.inFlight + this.#othersMean;
  }

  get slots(): number {
    return this.report?.slots ?? 1;
  }

  /** Whether new calls of a model may be sent. */
  accepts(model: string): boolean {
    return this.condition === BackendCondition.Live && this.report !== undefined &&
      this.report.models.includes(model);
  }

  /** Whether a new program's history fits into the engine's memory without pushing others out. */
  hasMemoryFor(tokens: number): boolean {
    const { kvUsedTokens, kvCapacityTokens } = this.report ?? { kvUsedTokens: 0, kvCapacityTokens: Infinity };
    return kvUsedTokens + this.#startedTokens + tokens <= kvCapacityTokens * START_BELOW;
  }

  /** A new program has been sent to the engine; reports show its history only later. */
  noteNewProgram(tokens: number, now: number): void {
    this.lastNewProgramAt = now;
    this.#startedTokens += tokens;
  }

  /** Takes a new report in; a changed boot id means that the cache is empty. */
  update(report: ILoadReport, now: number): void {
    if (this.report !== undefined && this.report.bootId !== report.bootId) this.cache.clear();
    const others = Math.max(0, report.running + report.queued - this.#ownMean);
    const weight = this.report === undefined ? 1 : LOAD_SMOOTHING;
    this.#othersMean += (others - this.#othersMean) * weight;
    this.#ownMean += (this.inFlight - this.#ownMean) * LOAD_SMOOTHING;
    this.#startedTokens *= STARTED_DECAY;
    this.report = report;
    this.reportedAt = now;
    if (report.isLeaving) this.condition = BackendCondition.Leaving;
    else if (this.condition === BackendCondition.Suspect) this.condition = BackendCondition.Live;
  }

  noteStart(): void {
    this.inFlight += 1;
  }

  noteEnd(durationMs: number | undefined): void {
    this.inFlight -= 1;
    if (durationMs === undefined) return;
    this.meanCallMs += (durationMs - this.meanCallMs) * DURATION_SMOOTHING;
  }
}
