/** Client for a plain service's backend server over HTTP. */
import { Effect } from "effect";
import type { HttpClient } from "../../base/node/http_client.ts";
import { BackendError, BackendFailure } from "../common/model_engine.ts";
import type { IServiceBackend, IServiceRequest, IServiceResponse } from "../common/service_backend.ts";
import { fetchWithTimeout, NOT_EXECUTED_HEADER, toBackendError } from "./http_backend.ts";

const PROBE_TIMEOUT_MS = 1000;

export class HttpServiceBackend implements IServiceBackend {
  readonly #client: HttpClient;
  readonly #address: string;

  constructor(client: HttpClient, address: string) {
    this.#client = client;
    this.#address = address;
  }

  run(req: IServiceRequest): Effect.Effect<IServiceResponse, BackendError> {
    const keyHeaders: Record<string, string> = req.idempotencyKey === ""
      ? {}
      : { "idempotency-key": req.idempotencyKey };
    const exchanged = this.#client.fetch({
      method: "POST",
      url: `http://${this.#address}/v1/services/${req.service}/${req.operation}`,
      headers: { "content-type": "application/json", ...keyHeaders },
      body: req.body,
      freshConnection: !req.isRepeatable,
    });
    return exchanged.pipe(
      Effect.mapError(toBackendError),
      Effect.flatMap((response) => {
        if (response.headers[NOT_EXECUTED_HEADER] === undefined) return Effect.succeed(response);
        const detail = `the backend server refused the request (${response.status})`;
        return Effect.fail(new BackendError(BackendFailure.Refused, { detail }));
      }),
    );
  }

  probe(): Effect.Effect<void, BackendError> {
    const req = { method: "GET", url: `http://${this.#address}/v1/health`, freshConnection: true };
    return Effect.asVoid(fetchWithTimeout(this.#client, { req, timeoutMs: PROBE_TIMEOUT_MS }));
  }
}
