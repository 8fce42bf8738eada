/** Test client for the caller API: retries steps through any instance and verifies the answers. */
import { expectedAnswerTokens } from "../stand_ins/engine_core.ts";
import { apiKeyOf, sleep } from "./processes.ts";

const RETRY_TIMEOUT_MS = 60_000;
const MIN_RETRY_DELAY_MS = 20;

interface IMessage {
  role: string;
  content: string;
}

interface IProblemBody {
  readonly title: string;
  /** Whether a backend server may have executed the request: `not-run`, `ran` or `unknown`. */
  readonly ran: string;
  readonly retry_after_ms?: number;
}

/** Thrown when a request fails with a problem that is not retryable, or when the retries time out. */
export class RequestFailedError extends Error {
  readonly problem: IProblemBody;

  constructor(problem: IProblemBody) {
    super(`${problem.title} (${problem.ran})`);
    this.problem = problem;
  }
}

/** Results collected from all callers of a test run. */
export class CallerObservations {
  readonly wrongAnswers: string[] = [];
  readonly unknownOutcomes: string[] = [];
  retries = 0;
}

/** Titles of problems after which the caller retries the same step. */
const RETRYABLE = new Set([
  "overloaded",
  "no-backend",
  "store-unavailable",
  "not-owner",
  "owner-unavailable",
  "draining",
  "backend-failed",
  "stream-broken",
]);

export interface ICallerOptions {
  readonly customer: string;
  /** Returns the base URLs of the instances that are currently in use. */
  readonly instanceUrls: () => readonly string[];
  readonly observations: CallerObservations;
  /** Returns the index of the instance to send the next request to. */
  readonly chooseInstance: (count: number) => number;
}

/** Sends the calls of one program and checks each answer against the expected one. */
export class ProgramCaller {
  readonly #opts: ICallerOptions;
  readonly #history: IMessage[] = [];
  #step = 0;
  id = "";

  constructor(opts: ICallerOptions) {
    this.#opts = opts;
  }

  async open(
    body: { kind: string; parent?: string; deadline_ms?: number; budget?: object },
    key: string,
  ): Promise<void> {
    const response = await this.#send("POST", {
      path: "/v1/programs",
      body,
      headers: { "idempotency-key": key },
    });
    this.id = (await response.json() as { id: string }).id;
  }

  async callModel(
    model: string,
    opts: { content: string; maxTokens: number; stream: boolean },
  ): Promise<string> {
    this.#step += 1;
    const message = { role: "user", content: opts.content };
    const body = { model, messages: [message], max_tokens: opts.maxTokens, stream: opts.stream };
    const answer = await this.#sendModelCall(body);
    this.#history.push(message);
    const expected = expectedAnswerTokens(this.#history, opts.maxTokens).join("");
    if (answer !== expected) this.#opts.observations.wrongAnswers.push(`${this.id} step ${this.#step}`);
    this.#history.push({ role: "assistant", content: answer });
    return answer;
  }

  /**
   * Calls `operationPath`, which has the form `SERVICE/OPERATION`. Returns the answer, or undefined if the
   * outcome of the call is unknown.
   */
  async callService(operationPath: string, opts: { body: object; key?: string }): Promise<unknown> {
    this.#step += 1;
    const headers: Record<string, string> = opts.key === undefined ? {} : { "idempotency-key": opts.key };
    try {
      const response = await this.#send("POST", {
        path: `/v1/programs/${this.id}/services/${operationPath}`,
        body: opts.body,
        headers: { ...headers, "ragwortcleat-step": String(this.#step) },
      });
      // The fake service returns the request body in its answer.
      const answer = await response.json() as { request: unknown };
      if (JSON.stringify(answer.request) !== JSON.stringify(opts.body)) {
        this.#opts.observations.wrongAnswers.push(`${this.id} step ${this.#step}`);
      }
      return answer;
    } catch (err) {
      if (!(err instanceof RequestFailedError) || err.problem.title !== "outcome-unknown") throw err;
      this.#opts.observations.unknownOutcomes.push(`${this.id} step ${this.#step}`);
      return undefined;
    }
  }

  async history(): Promise<{ turns: { step: number; answer: string }[] }> {
    const response = await this.#send("GET", { path: `/v1/programs/${this.id}/history` });
    return await response.json() as { turns: { step: number; answer: string }[] };
  }

  async end(): Promise<void> {
    await this.#send("DELETE", { path: `/v1/programs/${this.id}` });
  }

  /** Sends a model call. After a truncated answer, it repeats the call with the same step. */
  async #sendModelCall(body: { stream: boolean }): Promise<string> {
    // With "append", the body contains only the new message; the scheduler prepends the history.
    const headers = { "ragwortcleat-step": String(this.#step), "ragwortcleat-history": "append" };
    const retryUntilMs = Date.now() + RETRY_TIMEOUT_MS;
    while (true) {
      const response = await this.#send("POST", {
        path: `/v1/programs/${this.id}/chat/completions`,
        body,
        headers,
      });
      const answer = body.stream ? await readStream(response) : await readCompletion(response);
      if (answer !== undefined) return answer;
      if (Date.now() > retryUntilMs) {
        throw new Error(`no complete answer to ${this.id} step ${this.#step} within ${RETRY_TIMEOUT_MS} ms`);
      }
      this.#opts.observations.retries += 1;
      await sleep(MIN_RETRY_DELAY_MS);
    }
  }

  /** Retries a request until it succeeds, fails with a problem that is not retryable, or times out. */
  async #send(
    method: string,
    req: { path: string; body?: object; headers?: Record<string, string> },
  ): Promise<Response> {
    const retryUntilMs = Date.now() + RETRY_TIMEOUT_MS;
    const headers = { authorization: `Bearer ${apiKeyOf(this.#opts.customer)}`, ...req.headers };
    const body = req.body === undefined ? undefined : JSON.stringify(req.body);
    while (true) {
      const urls = this.#opts.instanceUrls();
      const url = urls[this.#opts.chooseInstance(urls.length)] + req.path;
      const response = await fetch(url, { method, headers, body }).catch(() => undefined);
      if (response?.ok) return response;
      const problem = await response?.json().catch(() => undefined) as IProblemBody | undefined;
      const isNotRetryable = problem !== undefined && !RETRYABLE.has(problem.title);
      if (isNotRetryable || Date.now() > retryUntilMs) {
        throw new RequestFailedError(problem ?? { title: "no answer", ran: "unknown" });
      }
      this.#opts.observations.retries += 1;
      await sleep(Math.max(MIN_RETRY_DELAY_MS, problem?.retry_after_ms ?? 0));
    }
  }
}

async function readCompletion(response: Response): Promise<string | undefined> {
  const body = await response.json().catch(() => undefined) as
    | { choices: { message: IMessage }[] }
    | undefined;
  return body?.choices[0].message.content;
}

/** Returns the text of a streamed answer, or undefined if the stream ended before `[DONE]`. */
async function readStream(response: Response): Promise<string | undefined> {
  const text = await response.text().catch(() => "");
  const events = text.split("\n\n").filter((event) => event.startsWith("data: ")).map((event) =>
    event.slice(6)
  );
  if (events.at(-1) !== "[DONE]") return undefined;
  const chunks = events.slice(0, -1).map((event) =>
    JSON.parse(event) as { choices: { delta: { content?: string } }[] }
  );
  return chunks.map(({ choices }) => choices[0].delta.content ?? "").join("");
}
