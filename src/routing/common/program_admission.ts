/** Decides whether a program may begin while the engines are crowded. */

/**
 * Share of the engines' slots in use from which on programs of the most important kind are refused:
 * with more under way each of their turns would wait for a slot, and all would end late.
 */
const FULL_SHARE = 0.9;
/** By how much earlier each less important kind is refused, as a share of the slots. */
const PRIORITY_STEP = 0.2;
/** Least share from which any kind is refused. */
const MIN_SHARE = 0.3;
/** When a refused program comes back, in ms: about the time in which a crowded engine ends a turn. */
const RETRY_MS = 700;

export interface IAdmissionDemand {
  /** Requests for each slot of every engine that may take the program. */
  readonly crowding: readonly number[];
  /** 0 is the most important. */
  readonly priority: number;
  /** From 0 up to, not including, 1; spreads the returns. */
  readonly random: number;
}

export type AdmissionVerdict =
  | { readonly isAdmitted: true }
  | { readonly isAdmitted: false; readonly retryAfterMs: number };

export interface IProgramAdmission {
  decide(demand: IAdmissionDemand): AdmissionVerdict;
}

/**
 * Refuses new programs by the mean crowding of the engines; turns of programs under way always go on.
 * Load pattern: a burst of programs of several turns at a multiple of what engines can bear. Begun all
 * at once they would all end late; held back at their first turn, most of the rest are on time.
 */
export class CrowdingAdmission implements IProgramAdmission {
  decide({ crowding, priority, random }: IAdmissionDemand): AdmissionVerdict {
    if (crowding.length === 0) return { isAdmitted: true };
    const mean = crowding.reduce((sum, share) => sum + share, 0) / crowding.length;
    if (mean < Math.max(MIN_SHARE, FULL_SHARE - priority * PRIORITY_STEP)) return { isAdmitted: true };
    return { isAdmitted: false, retryAfterMs: RETRY_MS * (0.5 + random) };
  }
}
