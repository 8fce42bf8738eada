/** Client for a model engine over HTTP with server-sent events. */
import type { IncomingMessage } from "node:http";
import { Effect, Exit } from "effect";
import type { EventSourceMessage } from "eventsource-parser";
import { createParser } from "eventsource-parser";
import { toError } from "../../base/common/errors.ts";
import type { HttpClient, IHttpResponse } from "../../base/node/http_client.ts";
import { readBody } from "../../base/node/http_client.ts";
import type {
  ICacheEvent,
  IEngineLoadReport,
  IEngineOrder,
  IEngineToken,
  IGenerateRequest,
  IGenerateResult,
  IKvCacheEntry,
  IModelEngine,
} from "../common/model_engine.ts";
import { BackendError, BackendFailure } from "../common/model_engine.ts";
import {
  fetchWithTimeout,
  NOT_EXECUTED_HEADER,
  parseJson,
  timeoutError,
  toBackendError,
} from "./http_backend.ts";

const CONTROL_TIMEOUT_MS = 2000;
/** Timeout for the response head of a stream, including time in the engine's own queue. */
const FIRST_EVENT_TIMEOUT_MS = 60_000;
/** Timeout between two chunks of a stream. */
const CHUNK_GAP_TIMEOUT_MS = 5000;

interface IStreamEvent {
  readonly attemptId: string;
  readonly token?: string;
  readonly done?: IGenerateResult["usage"];
}

export class HttpModelEngine implements IModelEngine {
  readonly #client: HttpClient;
  readonly #address: string;
  /** Number of events that were discarded because they belonged to another attempt. */
  discardedEvents = 0;

  constructor(client: HttpClient, address: string) {
    this.#client = client;
    this.#address = address;
  }

  generate(
    req: IGenerateRequest,
    onToken: (token: IEngineToken) => void,
  ): Effect.Effect<IGenerateResult, BackendError> {
    return Effect.gen({ self: this }, function* () {
      const resumeHeaders: Record<string, string> = req.lastEventId === undefined
        ? {}
        : { "last-event-id": String(req.lastEventId) };
      const { lastEventId: _, ...body } = req;
      const res = yield* this.#client.send({
        method: "POST",
        url: this.#url("/v1/generate"),
        headers: { "content-type": "application/json", accept: "text/event-stream", ...resumeHeaders },
        body: JSON.stringify(body),
      }).pipe(
        Effect.mapError(toBackendError),
        Effect.timeoutOrElse({ duration: FIRST_EVENT_TIMEOUT_MS, orElse: () => Effect.fail(timeoutError()) }),
      );
      if (res.statusCode !== 200) return yield* failWithResponse(res);
      const result = this.#readStream(res, { attemptId: req.attemptId, onToken });
      // The connection is reused after a complete stream and closed otherwise.
      return yield* Effect.onExit(
        result,
        (exit) => Effect.sync(() => Exit.isSuccess(exit) ? res.resume() : res.destroy()),
      );
    });
  }

  cancel(attemptId: string): Effect.Effect<void, BackendError> {
    return Effect.asVoid(this.#control("POST", { path: "/v1/cancel", body: { attemptId } }));
  }

  releaseKv(programIds: readonly string[]): Effect.Effect<void, BackendError> {
    return Effect.asVoid(this.#control("POST", { path: "/v1/kv/release", body: { programIds } }));
  }

  listKv(): Effect.Effect<readonly IKvCacheEntry[], BackendError> {
    const response = this.#control<{ holdings: IKvCacheEntry[] }>("GET", { path: "/v1/kv" });
    return Effect.map(response, ({ holdings }) => holdings);
  }

  importKv(programId: string, fromAddress: string): Effect.Effect<void, BackendError> {
    const body = { programId, from: fromAddress };
    return Effect.asVoid(this.#control("POST", { path: "/v1/kv/import", body }));
  }

  getLoadReport(): Effect.Effect<IEngineLoadReport, BackendError> {
    return this.#control("GET", { path: "/v1/load" });
  }

  listCacheEvents(after: number): Effect.Effect<readonly ICacheEvent[], BackendError> {
    const response = this.#control<{ events: ICacheEvent[] }>("GET", {
      path: `/v1/cache-events?after=${after}`,
    });
    return Effect.map(response, ({ events }) => events);
  }

  order(order: IEngineOrder): Effect.Effect<void, BackendError> {
    return Effect.asVoid(this.#control("POST", { path: "/v1/orders", body: order }));
  }

  #url(path: string): string {
    return `http://${this.#address}${path}`;
  }

  #control<T>(method: string, call: { path: string; body?: unknown }): Effect.Effect<T, BackendError> {
    const body = call.body === undefined ? undefined : JSON.stringify(call.body);
    const req = { method, url: this.#url(call.path), headers: { "content-type": "application/json" }, body };
    return fetchWithTimeout(this.#client, { req, timeoutMs: CONTROL_TIMEOUT_MS }).pipe(
      Effect.flatMap(expectSuccess),
      Effect.flatMap((response) => parseJson<T>(new TextDecoder().decode(response.body))),
    );
  }

  #readStream(
    res: IncomingMessage,
    opts: { attemptId: string; onToken: (token: IEngineToken) => void },
  ): Effect.Effect<IGenerateResult, BackendError> {
    return Effect.gen({ self: this }, function* () {
      const chunks = res[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
      const decoder = new TextDecoder();
      const events: EventSourceMessage[] = [];
      const parser = createParser({ onEvent: (event) => events.push(event) });
      while (true) {
        const chunk = yield* nextChunk(chunks);
        parser.feed(decoder.decode(chunk, { stream: true }));
        for (const event of events.splice(0)) {
          const body = yield* parseJson<IStreamEvent>(event.data);
          if (body.attemptId !== opts.attemptId) {
            this.discardedEvents += 1;
            continue;
          }
          if (body.done !== undefined) return { usage: body.done };
          if (body.token !== undefined) opts.onToken({ eventId: Number(event.id), text: body.token });
        }
      }
    });
  }
}

/** Reads the next chunk. Comments also reset the timeout: an engine sends them while a call is queued. */
function nextChunk(chunks: AsyncIterator<Uint8Array>): Effect.Effect<Uint8Array, BackendError> {
  return Effect.tryPromise({ try: () => chunks.next(), catch: toError }).pipe(
    Effect.mapError((cause) =>
      new BackendError(BackendFailure.Broken, { detail: "the stream broke", cause })
    ),
    Effect.timeoutOrElse({ duration: CHUNK_GAP_TIMEOUT_MS, orElse: () => Effect.fail(timeoutError()) }),
    Effect.flatMap((next) => {
      if (!next.done) return Effect.succeed(next.value);
      return Effect.fail(new BackendError(BackendFailure.Broken, { detail: "the stream ended early" }));
    }),
  );
}

/** Fails unless the status is 2xx. */
function expectSuccess(response: IHttpResponse): Effect.Effect<IHttpResponse, BackendError> {
  if (response.status >= 200 && response.status < 300) return Effect.succeed(response);
  return Effect.fail(toResponseError(response));
}

function failWithResponse(res: IncomingMessage): Effect.Effect<never, BackendError> {
  return Effect.flatMap(
    Effect.mapError(readBody(res), toBackendError),
    (response) => Effect.fail(toResponseError(response)),
  );
}

function toResponseError(response: IHttpResponse): BackendError {
  const detail = `the backend server answered ${response.status}`;
  if (response.headers[NOT_EXECUTED_HEADER] !== undefined) {
    return new BackendError(BackendFailure.Refused, { detail });
  }
  const isClientError = response.status >= 400 && response.status < 500;
  return new BackendError(isClientError ? BackendFailure.Rejected : BackendFailure.Broken, { detail });
}
