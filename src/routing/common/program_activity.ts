/** Tracks which programs of an organisation are active, and how many requests a second an active program makes. */

/**
 * A program counts as active for a multiple of the mean pause between two requests of a program after its last
 * request, within these bounds: most have gone on or ended by then.
 */
const ACTIVE_PAUSES = 4;
const MIN_ACTIVE_MS = 250;
const MAX_ACTIVE_MS = 4000;
/** Means that are assumed until some programs have been observed, and the share of each new value in a mean. */
const INITIAL_PAUSE_MS = 500;
const INITIAL_DURATION_MS = 2000;
const MEAN_WEIGHT = 0.05;
/** Time after its last request at which a program is forgotten, so that its next request counts as a new program's. */
const BEGUN_TTL_MS = 60_000;
/** Time constant of the averages. */
const AVERAGING_MS = 3000;
/** Rate assumed until programs have been observed, in requests per second, and the weight of the assumption, in s. */
const INITIAL_PER_SECOND = 2;
const INITIAL_WEIGHT_S = 0.3;
const MS_PER_SECOND = 1000;

interface IProgram {
  /** Times of the first request and of the last one, in ms of the clock. */
  readonly beganAtMs: number;
  lastAtMs: number;
  hasRefusal: boolean;
}

export class ProgramActivity {
  /** Programs that have begun, least recent first. */
  readonly #begun = new Map<string, IProgram>();
  /** Those of them that are active. */
  readonly #active = new Map<string, IProgram>();
  /** Number of requests of begun programs, and time that programs were active in s; older ones count less. */
  #requests = 0;
  #activeS = 0;
  #meanPauseMs = INITIAL_PAUSE_MS;
  #meanDurationMs = INITIAL_DURATION_MS;
  #updatedAtMs: number;

  constructor(now: number) {
    this.#updatedAtMs = now;
  }

  /** Whether a request of the program has been granted within the retention period. */
  hasBegun(program: string, now: number): boolean {
    return (this.#begun.get(program)?.lastAtMs ?? -Infinity) >= now - BEGUN_TTL_MS;
  }

  /** Number of active programs. */
  activeCount(now: number): number {
    this.#update(now);
    return this.#active.size;
  }

  /** Mean number of requests per second that an active program makes. */
  requestsPerSecond(now: number): number {
    this.#update(now);
    return (this.#requests + INITIAL_PER_SECOND * INITIAL_WEIGHT_S) / (this.#activeS + INITIAL_WEIGHT_S);
  }

  /** Mean time from the first to the last request of a program of which none was refused, in s. */
  get durationS(): number {
    return this.#meanDurationMs / MS_PER_SECOND;
  }

  /** Records a request of a program that has begun or begins with it. */
  record(name: string, { isGranted, now }: { isGranted: boolean; now: number }): void {
    this.#update(now);
    this.#requests += 1;
    const program = this.#active.get(name) ?? { beganAtMs: now, lastAtMs: now, hasRefusal: false };
    const pauseMs = now - (this.#begun.get(name)?.lastAtMs ?? now);
    if (pauseMs > 0) this.#meanPauseMs = blend(this.#meanPauseMs, Math.min(pauseMs, MAX_ACTIVE_MS));
    program.lastAtMs = now;
    if (!isGranted) program.hasRefusal = true;
    for (const programs of [this.#begun, this.#active]) {
      programs.delete(name);
      programs.set(name, program);
    }
  }

  #update(now: number): void {
    const elapsedMs = now - this.#updatedAtMs;
    takeBefore(this.#begun, now - BEGUN_TTL_MS);
    const activeMs = Math.max(MIN_ACTIVE_MS, Math.min(MAX_ACTIVE_MS, ACTIVE_PAUSES * this.#meanPauseMs));
    for (const { beganAtMs, lastAtMs, hasRefusal } of takeBefore(this.#active, now - activeMs)) {
      if (!hasRefusal && lastAtMs > beganAtMs) {
        this.#meanDurationMs = blend(this.#meanDurationMs, lastAtMs - beganAtMs);
      }
    }
    if (elapsedMs <= 0) return;
    const decay = Math.exp(-elapsedMs / AVERAGING_MS);
    this.#requests *= decay;
    this.#activeS = this.#activeS * decay + this.#active.size * elapsedMs / MS_PER_SECOND;
    this.#updatedAtMs = now;
  }
}

/** Removes the programs whose last request is older than a time, from a map in the order of these times. */
function takeBefore(programs: Map<string, IProgram>, oldestMs: number): IProgram[] {
  const taken: IProgram[] = [];
  for (const [name, program] of programs) {
    if (program.lastAtMs >= oldestMs) break;
    programs.delete(name);
    taken.push(program);
  }
  return taken;
}

function blend(mean: number, value: number): number {
  return mean + (value - mean) * MEAN_WEIGHT;
}
