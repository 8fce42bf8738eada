/** Tracks which programs of an organisation are active, and how many requests a second an active program makes. */

/** Time after its last request at which a program no longer counts as active; longer than most pauses in a program. */
const ACTIVE_MS = 2000;
/** Time after its last request at which a program is forgotten, so that its next request counts as a new program's. */
const BEGUN_TTL_MS = 60_000;
/** Time constant of the averages. */
const AVERAGING_MS = 3000;
/** Rate assumed until programs have been observed, in requests per second, and the weight of the assumption, in s. */
const INITIAL_PER_SECOND = 2;
const INITIAL_WEIGHT_S = 0.3;
const MS_PER_SECOND = 1000;

export class ProgramActivity {
  /** Time of the last request of each program that has begun, least recent first. */
  readonly #begun = new Map<string, number>();
  /** The same for active programs only. */
  readonly #active = new Map<string, number>();
  /** Number of requests of begun programs, and time that programs were active in s; older ones count less. */
  #requests = 0;
  #activeS = 0;
  #updatedAtMs: number;

  constructor(now: number) {
    this.#updatedAtMs = now;
  }

  /** Whether a request of the program has been granted within the retention period. */
  hasBegun(program: string, now: number): boolean {
    return (this.#begun.get(program) ?? -Infinity) >= now - BEGUN_TTL_MS;
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

  /** Records a request of a program that has begun or begins with it. */
  record(program: string, now: number): void {
    this.#update(now);
    this.#requests += 1;
    for (const programs of [this.#begun, this.#active]) {
      programs.delete(program);
      programs.set(program, now);
    }
  }

  #update(now: number): void {
    const elapsedMs = now - this.#updatedAtMs;
    evictBefore(this.#begun, now - BEGUN_TTL_MS);
    evictBefore(this.#active, now - ACTIVE_MS);
    if (elapsedMs <= 0) return;
    const decay = Math.exp(-elapsedMs / AVERAGING_MS);
    this.#requests *= decay;
    this.#activeS = this.#activeS * decay + this.#active.size * elapsedMs / MS_PER_SECOND;
    this.#updatedAtMs = now;
  }
}

/** Removes the entries that are older than a time, from a map in the order of its times. */
function evictBefore(times: Map<string, number>, oldestMs: number): void {
  for (const [key, atMs] of times) {
    if (atMs >= oldestMs) return;
    times.delete(key);
  }
}
