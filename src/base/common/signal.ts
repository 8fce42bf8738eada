/** A condition that fibers wait for. */
import { Deferred, Effect } from "effect";

/** Wakes all fibers that wait at the moment of notification. */
export class Signal {
  #next = Deferred.makeUnsafe<void>();

  /** Waits for the next notification. */
  wait(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#next));
  }

  notify(): void {
    const current = this.#next;
    this.#next = Deferred.makeUnsafe<void>();
    Deferred.doneUnsafe(current, Effect.void);
  }
}
