/** Admission control for new programs by the utilization of the engines. */

/**
 * Utilization of the engines' slots from which programs of the highest priority are refused. Above it,
 * every turn would queue for a slot, and all programs would miss their targets.
 */
const MAX_UTILIZATION = 0.9;
/** Decrease of the utilization limit per priority level. */
const UTILIZATION_STEP_PER_PRIORITY = 0.2;
/** Lower bound of the utilization limit at any priority. */
const MIN_UTILIZATION_LIMIT = 0.3;
/** Mean retry delay of refused programs: about the time a highly utilized engine takes for a turn. */
const MEAN_RETRY_DELAY_MS = 700;

export interface IProgramAdmissionRequest {
  /** Utilization, in requests per slot, of each engine that may serve the program. */
  readonly engineUtilizations: readonly number[];
  /** 0 is the highest priority; may be a fraction. */
  readonly priority: number;
  /** Random number in [0, 1) that adds jitter to the retry delay. */
  readonly random: number;
}

export type AdmissionDecision =
  | { readonly isAdmitted: true }
  | { readonly isAdmitted: false; readonly retryAfterMs: number };

export interface IProgramAdmission {
  decide(req: IProgramAdmissionRequest): AdmissionDecision;
}

/**
 * Refuses new programs by the mean utilization of the engines; turns of running programs are always
 * admitted. Designed for bursts of programs of several turns at a multiple of the engines' capacity. If
 * all were admitted, all would miss their targets; with some refused at their first turn, most of the
 * others complete in time.
 */
export class UtilizationAdmission implements IProgramAdmission {
  decide(
    { engineUtilizations, priority, random }: IProgramAdmissionRequest,
  ): AdmissionDecision {
    if (engineUtilizations.length === 0) return { isAdmitted: true };
    const mean = engineUtilizations.reduce((sum, utilization) => sum + utilization, 0) /
      engineUtilizations.length;
    if (mean < Math.max(MIN_UTILIZATION_LIMIT, MAX_UTILIZATION - priority * UTILIZATION_STEP_PER_PRIORITY)) {
      return { isAdmitted: true };
    }
    return { isAdmitted: false, retryAfterMs: MEAN_RETRY_DELAY_MS * (0.5 + random) };
  }
}
