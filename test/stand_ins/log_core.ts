/** In-memory fake of the platform's log service with injectable faults. */
import { Clock, Effect, Fiber, Option } from "effect";
import { PlatformError } from "../../src/base/common/errors.ts";
import { Signal } from "../../src/base/common/signal.ts";
import type {
  ILogEntry,
  ILogPage,
  ILogReadOptions,
  ILogService,
} from "../../src/services/log/common/log_service.ts";

/** Faults that a test injects. */
export interface ILogFaults {
  /** Fails every request. */
  outage: boolean;
  delayMs: number;
  /** Number of appends that take effect although their response is lost. */
  answersToLose: number;
  /** Number of entries that a stream retains. */
  keep: number;
}

export class LogCore implements ILogService {
  readonly faults: ILogFaults = { outage: false, delayMs: 0, answersToLose: 0, keep: Infinity };
  readonly #streams = new Map<string, { entries: ILogEntry[]; next: number }>();
  readonly #didAppend = new Signal();
  appendCount = 0;

  /** Appends data; as on a remote server, it takes effect even if the sender is interrupted. */
  append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError> {
    return Effect.flatMap(Effect.forkDetach(this.#append(stream, data)), Fiber.join);
  }

  #append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#applyFaults();
      const { entries, next } = this.#stream(stream);
      entries.push({ offset: next, data });
      this.#stream(stream).next = next + 1;
      this.appendCount += 1;
      while (entries.length > this.faults.keep) entries.shift();
      this.#didAppend.notify();
      if (this.faults.answersToLose > 0) {
        this.faults.answersToLose -= 1;
        return yield* Effect.fail(new PlatformError("append response lost"));
      }
      return next;
    });
  }

  read(stream: string, opts: ILogReadOptions): Effect.Effect<ILogPage, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#applyFaults();
      const deadlineMs = (yield* Clock.currentTimeMillis) + opts.waitMs;
      while (this.#stream(stream).next <= opts.from) {
        const remainingMs = deadlineMs - (yield* Clock.currentTimeMillis);
        if (remainingMs <= 0) break;
        const appended = yield* Effect.timeoutOption(this.#didAppend.wait(), remainingMs);
        if (this.faults.outage) return yield* Effect.fail(new PlatformError("log service outage"));
        if (Option.isNone(appended)) break;
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

  /** Sets faults and wakes waiting readers, so that an outage interrupts them. */
  setFaults(faults: Partial<ILogFaults>): void {
    Object.assign(this.faults, faults);
    this.#didAppend.notify();
  }

  #applyFaults(): Effect.Effect<void, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      if (this.faults.delayMs > 0) yield* Effect.sleep(this.faults.delayMs);
      if (this.faults.outage) yield* Effect.fail(new PlatformError("log service outage"));
    });
  }

  #stream(name: string): { entries: ILogEntry[]; next: number } {
    const stream = this.#streams.get(name) ?? { entries: [], next: 0 };
    this.#streams.set(name, stream);
    return stream;
  }
}
