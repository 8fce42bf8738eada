/** One structured log line for each routing or placement decision. */
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";
import type { ILogger } from "./logger.ts";

const MAX_RECENT = 500;

export enum DecisionKind {
  Engine = "engine",
  Service = "service",
  Refusal = "refusal",
  Retry = "retry",
  Kv = "kv",
  Placement = "placement",
  Quarantine = "quarantine",
}

/** What was decided, and why. */
export interface IDecision {
  readonly kind: DecisionKind;
  readonly programId: string;
  readonly step: number;
  /** What was chosen; empty for a refusal. */
  readonly choice: string;
  readonly reason: string;
  readonly preset: string;
  /** The alternatives with what spoke for and against them. */
  readonly candidates: readonly object[];
}

export interface ITimedDecision extends IDecision {
  /** Unix time in ms. */
  readonly atMs: number;
}

export interface IDecisionLog {
  write(decision: IDecision): void;
}

/** Writes decisions to the log and keeps the latest for operators. */
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
    if (this.#recent.length > MAX_RECENT) this.#recent.shift();
    this.#logger.info("decision", timed);
    this.#onDidDecide.fire(timed);
  }
}
