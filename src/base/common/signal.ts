/** Notification that fibers can wait for. */
import { Deferred, Effect } from "effect";

/** Each notification wakes all fibers that are waiting at that moment; it is not stored for later ones. */
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
