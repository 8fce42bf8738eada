/** Passes the events of a stream on, each whole and once. */
import { Effect } from "effect";
import { EventSplitter } from "./event_splitter.ts";
import type { IAnswerHead, IAnswerSink } from "./opaque_call.ts";
import { UpstreamError, UpstreamFault } from "./opaque_call.ts";
import type { RelayedCall } from "./relayed_call.ts";

/** Gap in a stream after which its server counts as silent, in ms: callers give up after two seconds. */
const STREAM_GAP_MS = 1500;

/** One server's part of the stream to one caller. */
export class StreamRelay {
  readonly #call: RelayedCall;
  readonly #sink: IAnswerSink;
  readonly #head: IAnswerHead;
  readonly #splitter = new EventSplitter();
  #lastSignMs = performance.now();
  #firstMs = 0;
  #events = 0;

  constructor(call: RelayedCall, { sink, head }: { sink: IAnswerSink; head: IAnswerHead }) {
    this.#call = call;
    this.#sink = sink;
    this.#head = head;
  }

  /** Mean time between two events, in ms; undefined with too few. */
  get paceMs(): number | undefined {
    return this.#events < 3 ? undefined : (this.#lastSignMs - this.#firstMs) / (this.#events - 1);
  }

  push(chunk: Uint8Array): void {
    this.#lastSignMs = performance.now();
    const events = this.#splitter.push(chunk);
    if (events.length === 0) return;
    if (this.#events === 0) this.#firstMs = this.#lastSignMs;
    this.#events += events.length;
    const fresh = events.filter(({ id }) => !this.#isOld(id));
    if (fresh.length === 0) return;
    this.#begin();
    for (const { id, data } of fresh) {
      this.#call.lastEventId = id ?? this.#call.lastEventId;
      this.#call.events += 1;
      if (this.#call.route.keepsHistory) this.#call.output.push(data, "\n");
    }
    this.#sink.write(fresh.length === 1 ? fresh[0].bytes : Buffer.concat(fresh.map(({ bytes }) => bytes)));
  }

  /** Fails once no byte has come for too long. */
  awaitSilence(): Effect.Effect<never, UpstreamError> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const leftMs = this.#lastSignMs + STREAM_GAP_MS - performance.now();
        if (leftMs <= 0) return yield* Effect.fail(new UpstreamError(UpstreamFault.Silent));
        yield* Effect.sleep(leftMs + 1);
      }
    });
  }

  /** Ends the answer to the caller as complete. */
  finish(): void {
    this.#begin();
    if (this.#splitter.rest.length > 0) this.#sink.write(this.#splitter.rest);
    this.#sink.end();
  }

  #begin(): void {
    if (this.#sink.isBegun) return;
    this.#call.firstEventAtMs = Date.now();
    this.#sink.begin(this.#head.status, this.#head.headers);
  }

  /** Whether an event was passed on before, from the server that had the stream first. */
  #isOld(id: string | undefined): boolean {
    const last = this.#call.lastEventId;
    return id !== undefined && last !== undefined && Number(id) <= Number(last);
  }
}
