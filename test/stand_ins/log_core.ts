/** Stand-in for the platform's log service: streams in memory with switchable faults. */
import { Clock, Effect, Fiber, Option } from "effect";
import { PlatformError } from "../../src/base/common/errors.ts";
import { Signal } from "../../src/base/common/signal.ts";
import type {
  ILogEntry,
  ILogPage,
  ILogReadOptions,
  ILogService,
} from "../../src/services/log/common/log_service.ts";

/** Faults that a test flips. */
export interface ILogFaults {
  outage: boolean;
  delayMs: number;
  /** Appends that take effect while their answer is lost. */
  answersToLose: number;
  /** Entries that a stream keeps. */
  keep: number;
}

export class LogCore implements ILogService {
  readonly faults: ILogFaults = { outage: false, delayMs: 0, answersToLose: 0, keep: Infinity };
  readonly #streams = new Map<string, { entries: ILogEntry[]; next: number }>();
  readonly #appended = new Signal();
  appendCount = 0;

  /** An append takes effect even if its sender goes away meanwhile. */
  append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError> {
    return Effect.flatMap(Effect.forkDetach(this.#append(stream, data)), Fiber.join);
  }

  #append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#pass();
      const { entries, next } = this.#stream(stream);
      entries.push({ offset: next, data });
      this.#stream(stream).next = next + 1;
      this.appendCount += 1;
      while (entries.length > this.faults.keep) entries.shift();
      this.#appended.notify();
      if (this.faults.answersToLose > 0) {
        this.faults.answersToLose -= 1;
        return yield* Effect.fail(new PlatformError("the answer was lost"));
      }
      return next;
    });
  }

  read(stream: string, opts: ILogReadOptions): Effect.Effect<ILogPage, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#pass();
      const until = (yield* Clock.currentTimeMillis) + opts.waitMs;
      while (this.#stream(stream).next <= opts.from) {
        const left = until - (yield* Clock.currentTimeMillis);
        if (left <= 0) break;
        const woken = yield* Effect.timeoutOption(this.#appended.wait(), left);
        if (this.faults.outage) return yield* Effect.fail(new PlatformError("outage"));
        if (Option.isNone(woken)) break;
      }
      const { entries, next } = this.#stream(stream);
      const oldest = entries[0]?.offset ?? next;
      const first = Math.max(0, opts.from - oldest);
      const page = entries.slice(first, first + opts.limit);
      return {
        entries: page,
        next: page.length > 0 ? page[page.length - 1].offset + 1 : Math.max(opts.from, oldest),
        oldest,
      };
    });
  }

  /** Flips faults. */
  set(faults: Partial<ILogFaults>): void {
    Object.assign(this.faults, faults);
    this.#appended.notify();
  }

  #pass(): Effect.Effect<void, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      if (this.faults.delayMs > 0) yield* Effect.sleep(this.faults.delayMs);
      if (this.faults.outage) yield* Effect.fail(new PlatformError("outage"));
    });
  }

  #stream(name: string): { entries: ILogEntry[]; next: number } {
    const stream = this.#streams.get(name) ?? { entries: [], next: 0 };
    this.#streams.set(name, stream);
    return stream;
  }
}
