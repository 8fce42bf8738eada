/** HTTP client for the platform's instance list. */
import { Effect } from "effect";
import { PlatformError, toError } from "../../../base/common/errors.ts";
import type { HttpClient } from "../../../base/node/http_client.ts";
import type { IInstanceInfo, IInstanceList } from "../common/instance_list.ts";

const REQUEST_TIMEOUT_MS = 2000;

export class HttpInstanceList implements IInstanceList {
  readonly #client: HttpClient;
  readonly #baseUrl: string;

  constructor(client: HttpClient, baseUrl: string) {
    this.#client = client;
    this.#baseUrl = baseUrl;
  }

  list(): Effect.Effect<readonly IInstanceInfo[], PlatformError> {
    return this.#client.fetch({ method: "GET", url: `${this.#baseUrl}/v1/instances` }).pipe(
      Effect.timeout(REQUEST_TIMEOUT_MS),
      Effect.flatMap((response) =>
        Effect.try({
          try: () => JSON.parse(new TextDecoder().decode(response.body)).instances,
          catch: toError,
        })
      ),
      Effect.mapError((err) => new PlatformError("reading the instance list failed", toError(err))),
    );
  }
}
