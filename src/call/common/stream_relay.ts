/** Relays the events of a stream, each one complete and exactly once. */
import { Deferred, Effect } from "effect";
import type { IStreamEvent } from "./event_splitter.ts";
import { EventPosition } from "./event_order.ts";
import { EventSplitter, hasOnlyEventLines } from "./event_splitter.ts";
import type { IResponseHead, IResponseSink } from "./opaque_request.ts";
import { BodyFraming, UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { RelayedCall } from "./relayed_call.ts";
import type { ILimitedReceiver, IResponseLimits } from "./response_limits.ts";
import type { ISilence } from "./silence_limits.ts";
import type { IStreamOrigin } from "./stream_origin.ts";

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
  /** Since when the server and the caller have been waiting. */
  readonly silence: ISilence;
  /** Time in ms of a clock that does not jump. */
  readonly now: () => number;
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
  /** Whether the caller has received the beginning of the stream from another server. */
  readonly #isContinuation: boolean;
  readonly #failed = Deferred.makeUnsafe<never, UpstreamError>();
  #hasFailed = false;
  /** Whether this server has sent an event that the caller did not have. */
  #hasNewEvent = false;
  readonly #silence: ISilence;
  readonly #now: () => number;
  /** Time of the last event that the caller did not have yet; other bytes are no progress. */
  #lastEventAtMs = 0;
  #firstEventAtMs = 0;
  /** Events received, those that the caller already had included. */
  #events = 0;
  #bytes = 0;

  constructor(call: RelayedCall, { sink, head, streams, limits, silence, now, claim }: IStreamRelayOptions) {
    this.#call = call;
    this.#sink = sink;
    this.#head = head;
    this.#streams = streams;
    this.#limits = limits;
    this.#silence = silence;
    this.#now = now;
    this.#claim = claim;
    this.#isContinuation = call.lastEventId !== undefined;
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
    return this.#hasFailed;
  }

  push(chunk: Uint8Array): void {
    if (this.#hasFailed) return;
    const events = this.#splitter.push(chunk);
    this.#bytes += chunk.length;
    this.#events += events.length;
    const newEvents = this.#selectNew(events);
    const hasAnswer = newEvents.some(isAnswer);
    if (hasAnswer) {
      this.#lastEventAtMs = this.#now();
      if (this.#firstEventAtMs === 0) this.#firstEventAtMs = this.#lastEventAtMs;
    }
    const mayRelay = this.#claim === undefined || this.#sink.hasStarted || (hasAnswer && this.#claim());
    if (newEvents.length > 0 && mayRelay) this.#relay(newEvents);
    if (this.#isOverLimit()) this.#fail(new UpstreamError(UpstreamFault.TooLarge));
  }

  /** Selects the events to relay. The stream fails at the first one that cannot follow those before it. */
  #selectNew(events: readonly IStreamEvent[]): IStreamEvent[] {
    const selected: IStreamEvent[] = [];
    const { order } = this.#call;
    for (const event of events) {
      if (this.#isContinuation && !hasOnlyEventLines(event.bytes)) {
        this.#failOutOfOrder("other bytes than events");
        break;
      }
      if (!isAnswer(event)) {
        if (!this.#isContinuation) selected.push(event);
        continue;
      }
      const position = order.positionOf(event.id);
      const isRepeated = position === EventPosition.Earlier && this.#isContinuation && !this.#hasNewEvent;
      if (isRepeated) continue;
      // A server that begins a stream determines its ids; only a repeated one contradicts itself.
      const isInOrder = position === EventPosition.Next ||
        (!this.#isContinuation && position !== EventPosition.Earlier);
      if (!isInOrder) {
        this.#failOutOfOrder(`event ${event.id} after ${order.lastId} (${position})`);
        break;
      }
      order.record(event.id);
      this.#hasNewEvent = true;
      selected.push(event);
    }
    return selected;
  }

  #failOutOfOrder(reason: string): void {
    this.#fail(new UpstreamError(UpstreamFault.Invalid, new Error(reason)));
  }

  #fail(err: UpstreamError): void {
    this.#hasFailed = true;
    Deferred.doneUnsafe(this.#failed, Effect.fail(err));
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
    this.#call.lastEventAtMs = this.#now();
    for (const { data } of newEvents.filter(isAnswer)) {
      this.#call.events += 1;
      if (this.#call.route.keepsHistory) this.#call.output.push(data, "\n");
    }
    this.#sink.write(
      newEvents.length === 1 ? newEvents[0].bytes : Buffer.concat(newEvents.map(({ bytes }) => bytes)),
    );
  }

  failWhenExceeded(): Effect.Effect<never, UpstreamError> {
    return Deferred.await(this.#failed);
  }

  /** Since when no event has arrived that the caller did not have, and whether none has arrived at all. */
  get silence(): ISilence & { readonly isFirstEvent: boolean } {
    if (!this.#hasNewEvent) return { ...this.#silence, isFirstEvent: true };
    return { serverSinceMs: this.#lastEventAtMs, callerSinceMs: this.#lastEventAtMs, isFirstEvent: false };
  }

  /**
   * Fails if the stream has been broken off although its body ended in order: within an event, or before the first one if
   * nothing but the end of the connection shows the end. A server that resumes a stream and adds nothing to it may not know
   * the stream, so that its response does not show where the stream ends.
   */
  failWhenBrokenOff(framing: BodyFraming): Effect.Effect<void, UpstreamError> {
    return Effect.suspend(() => {
      if (this.#splitter.isWithinEvent) return brokenOff(UpstreamFault.Broken, "within an event");
      if (this.#hasNewEvent) return Effect.void;
      if (this.#isContinuation) return brokenOff(UpstreamFault.Invalid, "without an event that follows");
      return framing === BodyFraming.Connection
        ? brokenOff(UpstreamFault.Broken, "before its first event")
        : Effect.void;
    });
  }

  /** Completes the response to the caller, including blank lines and comments after the last event. */
  finish(): void {
    this.#writeHead();
    const { remainder } = this.#splitter;
    if (remainder.length > 0 && !this.#isContinuation) this.#sink.write(remainder);
    this.#sink.end();
  }

  #writeHead(): void {
    if (this.#sink.hasStarted) return;
    this.#call.firstEventAtMs = Date.now();
    this.#call.streamStatus = this.#head.status;
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
}

/** Whether an event is part of the answer. One without id and data, for example a comment, is not. */
function isAnswer({ id, data }: IStreamEvent): boolean {
  return id !== undefined || data !== "";
}

function brokenOff(fault: UpstreamFault, where: string): Effect.Effect<never, UpstreamError> {
  return Effect.fail(new UpstreamError(fault, new Error(`the stream ended ${where}`)));
}
