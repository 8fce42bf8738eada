/** Relays the events of a stream, each one complete and exactly once. */
import { Deferred, Effect } from "effect";
import type { IStreamEvent } from "./event_splitter.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { IResponseHead, IResponseSink } from "./opaque_request.ts";
import { BodyFraming, UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { RelayedCall } from "./relayed_call.ts";
import type { ILimitedReceiver, IResponseLimits } from "./response_limits.ts";
import type { IStreamOrigin } from "./stream_origin.ts";

/** Time without an event after which a stream counts as stalled. Callers time out after 2 s without data. */
const STREAM_IDLE_TIMEOUT_MS = 1500;
/** Number of events that a stream may have beyond one for each token, such as those that state its end. */
const MAX_EXTRA_EVENTS = 16;

/** Remembers the origins of streams, so that callers can resume them. */
export interface IStreamOriginRecorder {
  record(stream: { readonly attemptId: string; readonly contentKey: bigint }, origin: IStreamOrigin): void;
}

export interface IStreamRelayOptions {
  readonly sink: IResponseSink;
  readonly head: IResponseHead;
  readonly streams: IStreamOriginRecorder;
  readonly limits: IResponseLimits;
  /**
   * Present if another attempt may be relayed instead: claims the caller's stream at the first event, and returns false
   * if the other attempt has claimed it.
   */
  readonly claim?: (() => boolean) | undefined;
}

/** Relays the part of a caller's stream that comes from one server. */
export class StreamRelay implements ILimitedReceiver {
  readonly #call: RelayedCall;
  readonly #sink: IResponseSink;
  readonly #head: IResponseHead;
  readonly #streams: IStreamOriginRecorder;
  readonly #limits: IResponseLimits;
  readonly #claim: (() => boolean) | undefined;
  readonly #splitter = new EventSplitter();
  readonly #exceeded = Deferred.makeUnsafe<never, UpstreamError>();
  #isExceeded = false;
  /** Time of the last event that the caller did not have yet; other bytes are no progress. */
  #lastEventAtMs = performance.now();
  #firstEventAtMs = 0;
  /** Events received, those that the caller already had included. */
  #events = 0;
  #bytes = 0;

  constructor(call: RelayedCall, { sink, head, streams, limits, claim }: IStreamRelayOptions) {
    this.#call = call;
    this.#sink = sink;
    this.#head = head;
    this.#streams = streams;
    this.#limits = limits;
    this.#claim = claim;
  }

  /** Mean interval between events, in ms; undefined with fewer than three events. */
  get meanEventIntervalMs(): number | undefined {
    return this.#events < 3 ? undefined : (this.#lastEventAtMs - this.#firstEventAtMs) / (this.#events - 1);
  }

  /** Number of bytes after the last complete event. */
  get unfinishedBytes(): number {
    return this.#splitter.remainderBytes;
  }

  get isExceeded(): boolean {
    return this.#isExceeded;
  }

  push(chunk: Uint8Array): void {
    if (this.#isExceeded) return;
    const events = this.#splitter.push(chunk);
    this.#bytes += chunk.length;
    this.#events += events.length;
    const newEvents = events.filter(({ id }) => !this.#isDuplicate(id));
    // An event without id and data, for example a comment, says nothing about the answer.
    const hasAnswer = newEvents.some(({ id, data }) => id !== undefined || data !== "");
    if (hasAnswer) {
      this.#lastEventAtMs = performance.now();
      if (this.#firstEventAtMs === 0) this.#firstEventAtMs = this.#lastEventAtMs;
    }
    const mayRelay = this.#claim === undefined || this.#sink.hasStarted || (hasAnswer && this.#claim());
    if (newEvents.length > 0 && mayRelay) this.#relay(newEvents);
    if (this.#isOverLimit()) {
      this.#isExceeded = true;
      Deferred.doneUnsafe(this.#exceeded, Effect.fail(new UpstreamError(UpstreamFault.TooLarge)));
    }
  }

  #isOverLimit(): boolean {
    const { maxEventBytes, maxResponseBytes } = this.#limits;
    // An event contains at least one token.
    const maxEvents = (this.#call.req.prompt?.maxTokens ?? Infinity) + MAX_EXTRA_EVENTS;
    return this.#events > maxEvents || this.#bytes > maxResponseBytes ||
      this.#splitter.remainderBytes > maxEventBytes;
  }

  #relay(newEvents: readonly IStreamEvent[]): void {
    this.#writeHead();
    this.#recordOrigin();
    for (const { id, data } of newEvents) {
      this.#call.lastEventId = id ?? this.#call.lastEventId;
      this.#call.events += 1;
      if (this.#call.route.keepsHistory) this.#call.output.push(data, "\n");
    }
    this.#sink.write(
      newEvents.length === 1 ? newEvents[0].bytes : Buffer.concat(newEvents.map(({ bytes }) => bytes)),
    );
  }

  failWhenExceeded(): Effect.Effect<never, UpstreamError> {
    return Deferred.await(this.#exceeded);
  }

  get #idleTimeLeftMs(): number {
    return this.#lastEventAtMs + STREAM_IDLE_TIMEOUT_MS - performance.now();
  }

  /** Fails once no event has arrived for the idle timeout. */
  failWhenIdle(): Effect.Effect<never, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const leftMs = this.#idleTimeLeftMs;
        if (leftMs > 0) yield* Effect.sleep(leftMs + 1);
        // After a stall of the event loop, timers run before waiting events are read.
        else yield* Effect.yieldNow;
        if (leftMs <= 0 && this.#idleTimeLeftMs <= 0) {
          return yield* Effect.fail(new UpstreamError(UpstreamFault.TimedOut));
        }
      }
    });
  }

  /**
   * Fails if the stream has been broken off although its body ended in order: within an event, or before the first one if
   * nothing but the end of the connection shows the end.
   */
  failWhenBrokenOff(framing: BodyFraming): Effect.Effect<void, UpstreamError> {
    return Effect.suspend(() => {
      const hasEvents = this.#call.lastEventId !== undefined || this.#call.events > 0;
      const isEmpty = framing === BodyFraming.Connection && !hasEvents;
      if (!isEmpty && !this.#splitter.isWithinEvent) return Effect.void;
      const where = isEmpty ? "before its first event" : "within an event";
      return Effect.fail(new UpstreamError(UpstreamFault.Broken, new Error(`the stream ended ${where}`)));
    });
  }

  /** Completes the response to the caller, including blank lines and comments after the last event. */
  finish(): void {
    this.#writeHead();
    if (this.#splitter.remainder.length > 0) this.#sink.write(this.#splitter.remainder);
    this.#sink.end();
  }

  #writeHead(): void {
    if (this.#sink.hasStarted) return;
    this.#call.firstEventAtMs = Date.now();
    this.#sink.startStream(this.#head.status, this.#head.headers);
  }

  /** Records the origin of the stream at the first event that this call relays. */
  #recordOrigin(): void {
    if (this.#call.events > 0) return;
    const { service, softwareVersion } = this.#call.choice!.backend;
    this.#call.origin ??= { service, softwareVersion };
    if (!this.#call.route.isResumable) return;
    this.#streams.record(this.#call.streamKey, this.#call.origin);
  }

  /** Whether the caller already has the event, from a server that sent an earlier part of the stream. */
  #isDuplicate(id: string | undefined): boolean {
    const lastId = this.#call.lastEventId;
    return id !== undefined && lastId !== undefined && Number(id) <= Number(lastId);
  }
}
