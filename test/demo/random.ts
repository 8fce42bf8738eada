/** Seeded random numbers for workloads. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";

export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Whole number from 0 to below `limit`. */
  below(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  /** Picks an entry by its share. */
  pick<T extends { readonly share: number }>(entries: readonly T[]): T {
    let left = this.below(10_000) / 10_000;
    for (const entry of entries) {
      left -= entry.share;
      if (left < 0) return entry;
    }
    return entries[entries.length - 1];
  }
}
