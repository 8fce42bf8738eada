/** HTTP client for an instance's operator interface. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { Effect } from "effect";
import VError from "verror";
import { toError } from "../../base/common/errors.ts";
import type { HttpClient } from "../../base/node/http_client.ts";
import { readBody } from "../../base/node/http_client.ts";

const REQUEST_TIMEOUT_MS = 10_000;
const KEY_VARIABLE = "RAGWORTCLEAT_OPERATOR_KEY";

/** The instance refused a request or could not be reached. */
export class InstanceError extends VError {
  readonly _tag = "InstanceError";

  constructor(detail: string, cause?: Error) {
    super({ name: "InstanceError", cause }, "%s", detail);
  }
}

export class InstanceClient {
  readonly #client: HttpClient;
  readonly #url: string;
  readonly #key: string;

  constructor(client: HttpClient, opts: { url: string; key: string }) {
    this.#client = client;
    this.#url = opts.url;
    this.#key = opts.key;
  }

  get<T>(path: string): Effect.Effect<T, InstanceError> {
    return Effect.map(this.#send("GET", path), (text) => JSON.parse(text) as T);
  }

  post<T>(path: string): Effect.Effect<T, InstanceError> {
    return Effect.map(this.#send("POST", path), (text) => JSON.parse(text) as T);
  }

  delete<T>(path: string): Effect.Effect<T, InstanceError> {
    return Effect.map(this.#send("DELETE", path), (text) => JSON.parse(text) as T);
  }

  text(path: string): Effect.Effect<string, InstanceError> {
    return this.#send("GET", path);
  }

  /** Calls `onLine` for each line of a streamed response until the instance ends it. */
  lines(path: string, onLine: (line: string) => void): Effect.Effect<void, InstanceError> {
    const opened = this.#client.send({ method: "GET", url: this.#url + path, headers: this.#headers });
    return opened.pipe(
      Effect.mapError((err) => new InstanceError(`${this.#url} cannot be reached`, err)),
      Effect.flatMap((res) =>
        Effect.tryPromise({
          try: async () => {
            let remainder = "";
            for await (const chunk of res.setEncoding("utf8")) {
              const lines = (remainder + chunk).split("\n");
              remainder = lines.pop() ?? "";
              lines.forEach(onLine);
            }
          },
          catch: (err) => new InstanceError("the stream broke", toError(err)),
        })
      ),
    );
  }

  get #headers(): Record<string, string> {
    return { authorization: `Bearer ${this.#key}` };
  }

  #send(method: string, path: string): Effect.Effect<string, InstanceError> {
    const req = { method, url: this.#url + path, headers: this.#headers };
    return Effect.flatMap(this.#client.send(req), readBody).pipe(
      Effect.timeout(REQUEST_TIMEOUT_MS),
      Effect.mapError((err) => new InstanceError(`${this.#url} cannot be reached`, toError(err))),
      Effect.flatMap(({ status, body }) => {
        const text = new TextDecoder().decode(body);
        if (status === 200) return Effect.succeed(text);
        return Effect.fail(
          new InstanceError(`${this.#url} responded with status ${status}: ${detailOf(text)}`),
        );
      }),
    );
  }
}

function detailOf(text: string): string {
  try {
    return (JSON.parse(text) as { detail?: string }).detail ?? text;
  } catch {
    return text;
  }
}

/** Reads the operator's key from a file, or from the environment if no file is given. */
export function readOperatorKey(path: string | undefined): string {
  if (path === undefined) return process.env[KEY_VARIABLE] ?? "";
  try {
    return readFileSync(path, "utf8").trim();
  } catch (err) {
    throw new InstanceError(`${path} cannot be read`, toError(err));
  }
}
