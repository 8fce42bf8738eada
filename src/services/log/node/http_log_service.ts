/** HTTP client for the platform's log service. */
import { Effect } from "effect";
import { PlatformError, toError } from "../../../base/common/errors.ts";
import type { HttpClient, IHttpRequest, IHttpResponse } from "../../../base/node/http_client.ts";
import type { ILogPage, ILogReadOptions, ILogService } from "../common/log_service.ts";

const REQUEST_TIMEOUT_MS = 2000;

interface ILogPageBody {
  readonly entries: readonly { readonly offset: number; readonly data: string }[];
  readonly next: number;
  readonly oldest: number;
}

export class HttpLogService implements ILogService {
  readonly #client: HttpClient;
  readonly #baseUrl: string;

  constructor(client: HttpClient, baseUrl: string) {
    this.#client = client;
    this.#baseUrl = baseUrl;
  }

  append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError> {
    const req = { method: "POST", url: this.#url(stream), body: data };
    return Effect.map(this.#send(req, REQUEST_TIMEOUT_MS), (body) => (body as { offset: number }).offset);
  }

  read(stream: string, opts: ILogReadOptions): Effect.Effect<ILogPage, PlatformError> {
    const query = `from=${opts.from}&limit=${opts.limit}&waitMs=${opts.waitMs}`;
    const req = { method: "GET", url: `${this.#url(stream)}?${query}` };
    return Effect.map(
      this.#send(req, REQUEST_TIMEOUT_MS + opts.waitMs),
      (body) => toPage(body as ILogPageBody),
    );
  }

  #url(stream: string): string {
    return `${this.#baseUrl}/v1/streams/${stream}/entries`;
  }

  #send(req: IHttpRequest, timeoutMs: number): Effect.Effect<unknown, PlatformError> {
    return this.#client.fetch(req).pipe(
      Effect.timeout(timeoutMs),
      Effect.mapError((err) => new PlatformError("request to the log service failed", toError(err))),
      Effect.flatMap(parseResponse),
    );
  }
}

function parseResponse(response: IHttpResponse): Effect.Effect<unknown, PlatformError> {
  if (response.status !== 200) {
    return Effect.fail(new PlatformError(`log service responded with HTTP status ${response.status}`));
  }
  return Effect.try({
    try: () => JSON.parse(new TextDecoder().decode(response.body)),
    catch: (err) => new PlatformError("malformed JSON from the log service", toError(err)),
  });
}

function toPage(body: ILogPageBody): ILogPage {
  const entries = body.entries.map(({ offset, data }) => ({ offset, data: fromBase64(data) }));
  return { entries, next: body.next, oldest: body.oldest };
}

function fromBase64(text: string): Uint8Array {
  return Uint8Array.from(atob(text), (char) => char.charCodeAt(0));
}
