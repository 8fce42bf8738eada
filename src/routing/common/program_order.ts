/** Order in which waiting calls go, and the priority that engines get. */
import type { Preset } from "../../services/settings/common/gen/configuration.ts";

/** What the order of a call depends on. */
export interface IOrderedCall {
  /** Class of the program's kind; lower goes first. */
  readonly class: number;
  /** Unix time in ms, 0 when there is none. */
  readonly deadlineMs: number;
  /** Unix time of the program's opening, in ms. */
  readonly openedAtMs: number;
  /** Weight of the customer. */
  readonly weight: number;
  readonly queuedAtMs: number;
}

/** Compares waiting calls. */
export interface IProgramOrder {
  /** Negative if `a` goes before `b`. */
  compare(a: IOrderedCall, b: IOrderedCall, now: number): number;
  /** Priority for the engine's own queue; lower goes first. */
  priority(call: IOrderedCall, now: number): number;
}

const PRIORITY_PER_CLASS = 1000;
/** Width of the steps in which the time to a deadline counts, in ms. */
const SLACK_STEP_MS = 1000;
const MAX_SLACK_STEPS = 999;

/**
 * Class first, lifted by ageing, then the time to the deadline, then the program that was opened first.
 * Programs under way finish before new ones spread the engines' memory over more histories.
 */
export class ClassDeadlineOrder implements IProgramOrder {
  readonly #preset: () => Preset;

  constructor(preset: () => Preset) {
    this.#preset = preset;
  }

  compare(a: IOrderedCall, b: IOrderedCall, now: number): number {
    const byPriority = this.priority(a, now) - this.priority(b, now);
    if (byPriority !== 0) return byPriority;
    const byOpening = a.openedAtMs - b.openedAtMs;
    return byOpening !== 0 ? byOpening : a.queuedAtMs - b.queuedAtMs;
  }

  priority(call: IOrderedCall, now: number): number {
    const lift = Math.floor((now - call.queuedAtMs) / this.#preset().ageingMs);
    const effectiveClass = Math.max(0, call.class - lift);
    return effectiveClass * PRIORITY_PER_CLASS + slackSteps(call, now);
  }
}

function slackSteps({ deadlineMs }: IOrderedCall, now: number): number {
  if (deadlineMs === 0) return MAX_SLACK_STEPS;
  return Math.min(MAX_SLACK_STEPS, Math.max(0, Math.floor((deadlineMs - now) / SLACK_STEP_MS)));
}
