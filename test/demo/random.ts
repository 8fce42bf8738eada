/** Seeded random number generator for workloads. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";

export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 up to, but not including, `limit`. */
  nextInt(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  /** Selects an entry with a probability equal to its share; the shares add up to 1. */
  pickWeighted<T extends { readonly share: number }>(entries: readonly T[]): T {
    let remaining = this.nextInt(10_000) / 10_000;
    for (const entry of entries) {
      remaining -= entry.share;
      if (remaining < 0) return entry;
    }
    return entries[entries.length - 1];
  }
}
