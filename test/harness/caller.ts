/** A caller that follows the protocol: repeats steps after failures, through any instance, and checks answers. */
import { answerTo } from "../stand_ins/engine_core.ts";
import { keyOf, pause } from "./processes.ts";

const GIVE_UP_MS = 60_000;
const MIN_PAUSE_MS = 20;

interface IMessage {
  role: string;
  content: string;
}

interface IProblemBody {
  readonly title: string;
  readonly ran: string;
  readonly retry_after_ms?: number;
}

/** A request that was refused for good. */
export class RefusedError extends Error {
  readonly problem: IProblemBody;

  constructor(problem: IProblemBody) {
    super(`${problem.title} (${problem.ran})`);
    this.problem = problem;
  }
}

/** What the callers of a run have seen. */
export class Observations {
  readonly wrongAnswers: string[] = [];
  readonly unknownOutcomes: string[] = [];
  retries = 0;
}

/** Problems after which the same step is sent again. */
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
  /** URLs of the instances of the moment. */
  readonly targets: () => readonly string[];
  readonly observations: Observations;
  /** Picks the instance for a request. */
  readonly pick: (count: number) => number;
}

/** Drives one program. */
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
    const reply = await this.#send("POST", {
      path: "/v1/programs",
      body,
      headers: { "idempotency-key": key },
    });
    this.id = (await reply.json() as { id: string }).id;
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
    const expected = answerTo(this.#history, opts.maxTokens).join("");
    if (answer !== expected) this.#opts.observations.wrongAnswers.push(`${this.id} step ${this.#step}`);
    this.#history.push({ role: "assistant", content: answer });
    return answer;
  }

  /** Returns undefined if the outcome is unknown. */
  async callService(target: string, opts: { body: object; key?: string }): Promise<unknown> {
    this.#step += 1;
    const headers: Record<string, string> = opts.key === undefined ? {} : { "idempotency-key": opts.key };
    try {
      const reply = await this.#send("POST", {
        path: `/v1/programs/${this.id}/services/${target}`,
        body: opts.body,
        headers: { ...headers, "ragwortcleat-step": String(this.#step) },
      });
      const answer = await reply.json() as { request: unknown };
      if (JSON.stringify(answer.request) !== JSON.stringify(opts.body)) {
        this.#opts.observations.wrongAnswers.push(`${this.id} step ${this.#step}`);
      }
      return answer;
    } catch (err) {
      if (!(err instanceof RefusedError) || err.problem.title !== "outcome-unknown") throw err;
      this.#opts.observations.unknownOutcomes.push(`${this.id} step ${this.#step}`);
      return undefined;
    }
  }

  async history(): Promise<{ turns: { step: number; answer: string }[] }> {
    const reply = await this.#send("GET", { path: `/v1/programs/${this.id}/history` });
    return await reply.json() as { turns: { step: number; answer: string }[] };
  }

  async end(): Promise<void> {
    await this.#send("DELETE", { path: `/v1/programs/${this.id}` });
  }

  async #sendModelCall(body: { stream: boolean }): Promise<string> {
    const headers = { "ragwortcleat-step": String(this.#step), "ragwortcleat-history": "append" };
    const until = Date.now() + GIVE_UP_MS;
    while (true) {
      const reply = await this.#send("POST", {
        path: `/v1/programs/${this.id}/chat/completions`,
        body,
        headers,
      });
      const answer = body.stream ? await readStream(reply) : await readCompletion(reply);
      if (answer !== undefined) return answer;
      if (Date.now() > until) throw new Error(`gave up on ${this.id} step ${this.#step}`);
      this.#opts.observations.retries += 1;
      await pause(MIN_PAUSE_MS);
    }
  }

  /** Sends a request until it is answered or refused for good. */
  async #send(
    method: string,
    req: { path: string; body?: object; headers?: Record<string, string> },
  ): Promise<Response> {
    const until = Date.now() + GIVE_UP_MS;
    const headers = { authorization: `Bearer ${keyOf(this.#opts.customer)}`, ...req.headers };
    const body = req.body === undefined ? undefined : JSON.stringify(req.body);
    while (true) {
      const targets = this.#opts.targets();
      const url = targets[this.#opts.pick(targets.length)] + req.path;
      const reply = await fetch(url, { method, headers, body }).catch(() => undefined);
      if (reply?.ok) return reply;
      const problem = await reply?.json().catch(() => undefined) as IProblemBody | undefined;
      const isFinal = problem !== undefined && !RETRYABLE.has(problem.title);
      if (isFinal || Date.now() > until) {
        throw new RefusedError(problem ?? { title: "no answer", ran: "unknown" });
      }
      this.#opts.observations.retries += 1;
      await pause(Math.max(MIN_PAUSE_MS, problem?.retry_after_ms ?? 0));
    }
  }
}

async function readCompletion(reply: Response): Promise<string | undefined> {
  const body = await reply.json().catch(() => undefined) as { choices: { message: IMessage }[] } | undefined;
  return body?.choices[0].message.content;
}

/** Text of a streamed answer, or undefined if it did not come to its regular end. */
async function readStream(reply: Response): Promise<string | undefined> {
  const text = await reply.text().catch(() => "");
  const events = text.split("\n\n").filter((event) => event.startsWith("data: ")).map((event) =>
    event.slice(6)
  );
  if (events.at(-1) !== "[DONE]") return undefined;
  const chunks = events.slice(0, -1).map((event) =>
    JSON.parse(event) as { choices: { delta: { content?: string } }[] }
  );
  return chunks.map(({ choices }) => choices[0].delta.content ?? "").join("");
}
