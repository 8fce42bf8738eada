/** Structured log of routing and placement decisions, one line for each. */
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "./logger.ts";

const MAX_RECENT_DECISIONS = 500;

export enum DecisionKind {
  Engine = "engine",
  Service = "service",
  Refusal = "refusal",
  Retry = "retry",
  Kv = "kv",
  Placement = "placement",
  Quarantine = "quarantine",
}

/** A decision and its reason. */
export interface IDecision {
  readonly kind: DecisionKind;
  readonly programId: string;
  readonly step: number;
  /** Id of the chosen candidate; empty for a refusal. */
  readonly choice: string;
  readonly reason: string;
  readonly preset: string;
  /** The candidates that were considered, with the inputs to the choice. */
  readonly candidates: readonly object[];
}

export interface ITimedDecision extends IDecision {
  /** Unix time in ms. */
  readonly atMs: number;
}

export interface IDecisionLog {
  write(decision: IDecision): void;
}

/** Writes decisions to the log and keeps the most recent ones for operators. */
export class DecisionLog implements IDecisionLog {
  readonly #logger: ILogger;
  readonly #now: () => number;
  readonly #recent: ITimedDecision[] = [];
  readonly #onDidDecide = new Emitter<ITimedDecision>();
  readonly onDidDecide: Event<ITimedDecision> = this.#onDidDecide.event;

  constructor(logger: ILogger, now: () => number) {
    this.#logger = logger;
    this.#now = now;
  }

  get recent(): readonly ITimedDecision[] {
    return this.#recent;
  }

  write(decision: IDecision): void {
    const timed = { atMs: this.#now(), ...decision };
    this.#recent.push(timed);
    if (this.#recent.length > MAX_RECENT_DECISIONS) this.#recent.shift();
    this.#logger.info("decision", timed);
    this.#onDidDecide.fire(timed);
  }
}
