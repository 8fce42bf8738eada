/**
 * Stops the reading of all connections of clients for the rest of an iteration of the event loop. Answers many connections that
 * become readable at once: Node.js parses everything that it reads from a connection, and keeps it until the connection has been
 * closed at the end of the iteration.
 */
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";

export class ReadBrake {
  readonly #onDidEngage = new Emitter<void>();
  readonly onDidEngage: Event<void> = this.#onDidEngage.event;
  readonly #onDidRelease = new Emitter<void>();
  readonly onDidRelease: Event<void> = this.#onDidRelease.event;
  #isEngaged = false;

  engage(): void {
    if (this.#isEngaged) return;
    this.#isEngaged = true;
    this.#onDidEngage.fire();
    setImmediate(() => {
      this.#isEngaged = false;
      this.#onDidRelease.fire();
    });
  }
}
