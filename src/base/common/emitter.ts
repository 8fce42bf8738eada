/** Synchronous events with disposable subscriptions. */

/** Holds a resource until it is disposed of. */
export interface IDisposable {
  dispose(): void;
}

/** Subscribes a listener; the returned handle ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/** Source of one event. */
export class Emitter<T> {
  readonly #listeners = new Set<(value: T) => void>();

  /** Subscribes to this emitter; exposed to consumers in place of the emitter itself. */
  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return { dispose: () => this.#listeners.delete(listener) };
  };

  /** Calls all listeners in subscription order. */
  fire(value: T): void {
    for (const listener of [...this.#listeners]) listener(value);
  }
}
