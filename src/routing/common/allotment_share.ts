/** Limits the requests of an organisation on one instance while no other instance responds. */
import type { IAllotment } from "../../services/organisations/common/organisation.ts";

const MS_PER_SECOND = 1000;
/** Part of an allotment that all instances on their own grant together: its owner may still grant the whole. */
const OWNERLESS_PART = 0.5;
/** Part of the slack that they may grant together in each window, whatever the allotment. */
const SLACK_PART = 0.25;
/** Time after its last request at which the state of an organisation is discarded. */
const RETENTION_MS = 60_000;
/** Length of the windows in which the number of requests is limited. */
const WINDOW_S = 5;

export interface IAllotmentShareOptions {
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly slackRequests: number;
}

interface IShareState {
  level: number;
  updatedAtMs: number;
}

/**
 * Grants an equal share of half the rate. The share of one instance is often less than one request, so that a
 * fraction of a token is used at random with a probability of its size: over all instances the number of requests
 * is as large as the sum of the shares. Designed for dozens to hundreds of instances that are cut off at once.
 */
export class AllotmentShare {
  readonly #opts: IAllotmentShareOptions;
  readonly #states = new Map<string, IShareState>();

  constructor(opts: IAllotmentShareOptions) {
    this.#opts = opts;
  }

  /** Decides on one request of an organisation. */
  acquire(
    organisation: string,
    { allotment, instances }: { allotment: IAllotment; instances: number },
  ): boolean {
    const now = this.#opts.now();
    const slack = this.#opts.slackRequests * SLACK_PART;
    const capacity = (allotment.burst * OWNERLESS_PART + slack) / instances;
    const perSecond = Math.max(allotment.perSecond * OWNERLESS_PART, slack / WINDOW_S) / instances;
    this.#evict(now);
    const state = this.#states.get(organisation) ?? { level: slack / instances, updatedAtMs: now };
    const elapsedS = (now - state.updatedAtMs) / MS_PER_SECOND;
    state.level = Math.min(Math.max(capacity, perSecond), state.level + elapsedS * perSecond);
    state.updatedAtMs = now;
    const isGranted = state.level >= 1 || this.#opts.random() < state.level;
    // A fraction that has not led to a grant is used up as well: otherwise it would be tried again.
    state.level = Math.max(0, state.level - 1);
    this.#states.set(organisation, state);
    return isGranted;
  }

  #evict(now: number): void {
    for (const [organisation, { updatedAtMs }] of this.#states) {
      if (updatedAtMs < now - RETENTION_MS) this.#states.delete(organisation);
    }
  }
}
