/** Relays the events of a stream, each one complete and exactly once. */
import { Effect } from "effect";
import { EventSplitter } from "./event_splitter.ts";
import type { IResponseHead, IResponseSink } from "./opaque_request.ts";
import { UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { RelayedCall } from "./relayed_call.ts";
import type { IStreamOrigin } from "./stream_origin.ts";
import { contentKeyOf } from "./stream_origin.ts";

/** Idle time after which a stream counts as stalled. Callers time out after 2 s without data. */
const STREAM_IDLE_TIMEOUT_MS = 1500;

/** Remembers the origins of streams, so that callers can resume them. */
export interface IStreamOriginRecorder {
  record(stream: { readonly attemptId: string; readonly contentKey: bigint }, origin: IStreamOrigin): void;
}

export interface IStreamRelayOptions {
  readonly sink: IResponseSink;
  readonly head: IResponseHead;
  readonly streams: IStreamOriginRecorder;
}

/** Relays the part of a caller's stream that comes from one server. */
export class StreamRelay {
  readonly #call: RelayedCall;
  readonly #sink: IResponseSink;
  readonly #head: IResponseHead;
  readonly #streams: IStreamOriginRecorder;
  readonly #splitter = new EventSplitter();
  #lastChunkAtMs = performance.now();
  #firstEventAtMs = 0;
  #events = 0;

  constructor(call: RelayedCall, { sink, head, streams }: IStreamRelayOptions) {
    this.#call = call;
    this.#sink = sink;
    this.#head = head;
    this.#streams = streams;
  }

  /** Mean interval between events, in ms; undefined with fewer than three events. */
  get meanEventIntervalMs(): number | undefined {
    return this.#events < 3 ? undefined : (this.#lastChunkAtMs - this.#firstEventAtMs) / (this.#events - 1);
  }

  push(chunk: Uint8Array): void {
    this.#lastChunkAtMs = performance.now();
    const events = this.#splitter.push(chunk);
    if (events.length === 0) return;
    if (this.#events === 0) this.#firstEventAtMs = this.#lastChunkAtMs;
    this.#events += events.length;
    const newEvents = events.filter(({ id }) => !this.#isDuplicate(id));
    if (newEvents.length === 0) return;
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

  /** Fails once no data has arrived for the idle timeout. */
  failWhenIdle(): Effect.Effect<never, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const leftMs = this.#lastChunkAtMs + STREAM_IDLE_TIMEOUT_MS - performance.now();
        if (leftMs <= 0) return yield* Effect.fail(new UpstreamError(UpstreamFault.TimedOut));
        yield* Effect.sleep(leftMs + 1);
      }
    });
  }

  /** Completes the response to the caller, including any bytes after the last event. */
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
    const { req, identity, origin } = this.#call;
    this.#streams.record({ attemptId: req.id, contentKey: contentKeyOf(identity, req) }, origin);
  }

  /** Whether the caller already has the event, from a server that sent an earlier part of the stream. */
  #isDuplicate(id: string | undefined): boolean {
    const lastId = this.#call.lastEventId;
    return id !== undefined && lastId !== undefined && Number(id) <= Number(lastId);
  }
}
