/** Priority policy for queued calls and for the engines' own queues. */
import type { Preset } from "../../services/settings/common/gen/configuration.ts";

/** Properties that determine the priority of a call. */
export interface IPrioritizedCall {
  /** Priority class of the program's kind; lower values are scheduled first. */
  readonly class: number;
  /** Unix time in ms; 0 if the program has no deadline. */
  readonly deadlineMs: number;
  /** Unix time in ms at which the program was opened. */
  readonly openedAtMs: number;
  /** Weight of the customer. */
  readonly weight: number;
  readonly queuedAtMs: number;
}

/** Defines the order of queued calls. */
export interface ICallPriorityPolicy {
  /** Returns a negative number if `a` is scheduled before `b`. */
  compare(a: IPrioritizedCall, b: IPrioritizedCall, now: number): number;
  /** Returns the priority for the engine's own queue; lower values are scheduled first. */
  priority(call: IPrioritizedCall, now: number): number;
}

const PRIORITY_PER_CLASS = 1000;
/** Granularity at which the time to a deadline is compared. */
const SLACK_STEP_MS = 1000;
const MAX_SLACK_STEPS = 999;

/**
 * Orders calls by priority class, which improves with ageing, then by the time to the deadline, then by the
 * time at which the program was opened. Older programs complete first, before newer ones divide the engines'
 * memory among more histories.
 */
export class ClassDeadlinePolicy implements ICallPriorityPolicy {
  readonly #preset: () => Preset;

  constructor(preset: () => Preset) {
    this.#preset = preset;
  }

  compare(a: IPrioritizedCall, b: IPrioritizedCall, now: number): number {
    const byPriority = this.priority(a, now) - this.priority(b, now);
    if (byPriority !== 0) return byPriority;
    const byOpening = a.openedAtMs - b.openedAtMs;
    return byOpening !== 0 ? byOpening : a.queuedAtMs - b.queuedAtMs;
  }

  priority(call: IPrioritizedCall, now: number): number {
    const ageingSteps = Math.floor((now - call.queuedAtMs) / this.#preset().ageingMs);
    const effectiveClass = Math.max(0, call.class - ageingSteps);
    return effectiveClass * PRIORITY_PER_CLASS + slackSteps(call, now);
  }
}

function slackSteps({ deadlineMs }: IPrioritizedCall, now: number): number {
  if (deadlineMs === 0) return MAX_SLACK_STEPS;
  return Math.min(MAX_SLACK_STEPS, Math.max(0, Math.floor((deadlineMs - now) / SLACK_STEP_MS)));
}
