/** Periodic work that costs nothing while there is none. */
import { Clock, Effect } from "effect";

export interface IPeriodicWork {
  readonly intervalMs: number;
  /** Waits until there may be work; returns at once while there is. */
  readonly awaitWork: Effect.Effect<void>;
  readonly work: Effect.Effect<unknown>;
}

/** Does the work at multiples of the interval since the start, but sets no timer while there is none. */
export function repeatWhenNeeded({ intervalMs, awaitWork, work }: IPeriodicWork): Effect.Effect<never> {
  return Effect.gen(function* () {
    const startedAtMs = yield* Clock.currentTimeMillis;
    while (true) {
      yield* awaitWork;
      const elapsedMs = (yield* Clock.currentTimeMillis) - startedAtMs;
      yield* Effect.sleep(intervalMs - elapsedMs % intervalMs);
      yield* work;
    }
  });
}
