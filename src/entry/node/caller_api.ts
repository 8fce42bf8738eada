/** HTTP API for callers: opens and ends programs, runs their calls, and returns their histories. */
import { randomBytes } from "node:crypto";
import type { ServerResponse } from "node:http";
import { create } from "@bufbuild/protobuf";
import { Clock, Effect } from "effect";
import { CallError, toKebabCase } from "../../base/common/errors.ts";
import type { ProgramSpec, Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import {
  BudgetSchema,
  CallKind,
  EndCause,
  ProgramSpecSchema,
  Ran,
  Reason,
  TurnStatus,
} from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { ProgramSnapshot } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { CallRequest } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { CallRequestSchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { hashHex } from "../../base/common/hash.ts";
import { subProgramId } from "../../base/common/ids.ts";
import type { ICallResult } from "../../call/common/call_run.ts";
import { decodeMessages, decodeModelResponse } from "../../call/common/turn_content.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import { badRequest, checkJson, parseChatCompletion, parseOpenProgram } from "../common/request_bodies.ts";
import { DeliveredTokens } from "../common/delivered_tokens.ts";
import type { OwnerRouter } from "../common/owner_router.ts";
import { toProblemDetails } from "../common/problem.ts";
import type { HttpHandler, IHttpRoute, IHttpServerRequest, IHttpServerResponse } from "./http_server.ts";
import type { ApiKeyStore } from "./api_key_store.ts";

/** Request and response header with the number of the call within its program, from 1. */
export const STEP_HEADER = "ragwortcleat-step";
/** Request header; `append` states that the messages of a model call are only the new part of the history. */
export const HISTORY_HEADER = "ragwortcleat-history";
/** Response header: whether the journal or only copies on other instances hold the turn's record. */
export const DURABILITY_HEADER = "ragwortcleat-durability";
const RANDOM_ID_BYTES = 8;
const MS_PER_SECOND = 1000;
const MAX_STEP = 1_000_000;

export interface ICallerApiOptions {
  readonly region: string;
  readonly router: OwnerRouter;
  readonly keys: ApiKeyStore;
  readonly metrics: Metrics;
}

export class CallerApi {
  readonly #opts: ICallerApiOptions;

  constructor(opts: ICallerApiOptions) {
    this.#opts = opts;
  }

  get routes(): IHttpRoute[] {
    const program = "/v1/programs/:programId";
    return [
      this.#route("POST", {
        pattern: "/v1/programs",
        handle: (customer, request) => this.#open(customer, request),
      }),
      this.#route("GET", { pattern: program, handle: (customer, request) => this.#show(customer, request) }),
      this.#route("DELETE", {
        pattern: program,
        handle: (customer, request) => this.#end(customer, request),
      }),
      this.#route("GET", {
        pattern: `${program}/history`,
        handle: (customer, request) => this.#history(customer, request),
      }),
      this.#route("POST", {
        pattern: `${program}/chat/completions`,
        handle: (customer, request) => this.#callModel(customer, request),
      }),
      this.#route("POST", {
        pattern: `${program}/services/:service/:operation`,
        handle: (customer, request) => this.#callService(customer, request),
      }),
    ];
  }

  #route(
    method: string,
    { pattern, handle }: {
      pattern: string;
      handle: (customer: string, request: IHttpServerRequest) => ReturnType<HttpHandler>;
    },
  ): IHttpRoute {
    const handler: HttpHandler = (request) =>
      Effect.gen({ self: this }, function* () {
        const startedAt = yield* Clock.currentTimeMillis;
        const customer = yield* this.#authenticate(request);
        const reply = yield* Effect.tapError(handle(customer, request), (err) =>
          Effect.sync(() =>
            this.#opts.metrics.incrementCounter("refusals", { reason: toProblemDetails(err).title })
          ));
        this.#opts.metrics.recordDuration("request", (yield* Clock.currentTimeMillis) - startedAt, {
          route: pattern,
          method,
        });
        return reply;
      });
    return { method, pattern, handler };
  }

  #authenticate({ headers }: IHttpServerRequest): Effect.Effect<string, CallError> {
    const customer = this.#opts.keys.principalOf(headers.authorization);
    if (customer !== undefined) return Effect.succeed(customer);
    return Effect.fail(new CallError(Reason.UNAUTHORIZED, { detail: "a customer's key is required" }));
  }

  #open(customer: string, request: IHttpServerRequest): Effect.Effect<IHttpServerResponse, CallError> {
    return Effect.gen({ self: this }, function* () {
      const body = yield* parseOpenProgram(request.body);
      const programId = this.#makeProgramId(body.parent, {
        customer,
        key: request.headers["idempotency-key"],
      });
      const spec = create(ProgramSpecSchema, {
        programId,
        parentId: body.parent,
        customer,
        kind: body.kind,
        deadlineMs: body.deadline_ms,
        budget: create(BudgetSchema, {
          generatedTokens: body.budget.generated_tokens,
          calls: body.budget.calls,
          wallMs: body.budget.wall_ms,
        }),
      });
      const snapshot = yield* this.#opts.router.open(spec);
      return { status: 201, body: describeProgram(snapshot) };
    });
  }

  /** Id of a new program. Derived from the idempotency key if there is one, so that a retry opens the same program. */
  #makeProgramId(parent: string, opts: { customer: string; key: string | string[] | undefined }): string {
    const isKeyed = typeof opts.key === "string" && opts.key !== "";
    const suffix = isKeyed
      ? hashHex(JSON.stringify([opts.customer, parent, opts.key]))
      : randomBytes(RANDOM_ID_BYTES).toString("hex");
    return parent === "" ? `${this.#opts.region}-${suffix}` : subProgramId(parent, suffix);
  }

  #show(customer: string, { params }: IHttpServerRequest): Effect.Effect<IHttpServerResponse, CallError> {
    const found = this.#opts.router.get(params.programId, customer);
    return Effect.map(found, (snapshot) => ({ status: 200, body: describeProgram(snapshot) }));
  }

  #end(customer: string, { params }: IHttpServerRequest): Effect.Effect<IHttpServerResponse, CallError> {
    const ended = this.#opts.router.end(params.programId, { customer, cause: EndCause.CALLER });
    return Effect.map(ended, (snapshot) => ({ status: 200, body: describeProgram(snapshot) }));
  }

  #history(customer: string, { params }: IHttpServerRequest): Effect.Effect<IHttpServerResponse, CallError> {
    const found = this.#opts.router.get(params.programId, customer);
    return Effect.map(found, (snapshot) => {
      const turns = snapshot.turns.map(describeTurn);
      return { status: 200, body: { ...describeProgram(snapshot), turns } };
    });
  }

  #callModel(
    customer: string,
    request: IHttpServerRequest,
  ): Effect.Effect<IHttpServerResponse | undefined, CallError> {
    return Effect.gen({ self: this }, function* () {
      const step = yield* readStep(request);
      const body = yield* parseChatCompletion(request.body);
      const req = create(CallRequestSchema, {
        customer,
        programId: request.params.programId,
        step,
        wantTokens: body.stream,
        call: {
          case: "model",
          value: {
            model: body.model,
            messages: body.messages.map(({ role, content }) => ({ role, content })),
            maxTokens: body.max_tokens ?? 0,
            fullHistory: request.headers[HISTORY_HEADER] !== "append",
          },
        },
      });
      if (body.stream) return yield* this.#stream(req, request.res);
      const answer = yield* this.#opts.router.call(req, () => {});
      return { status: 200, headers: answerHeaders(answer), body: toCompletion(req, answer.turn) };
    });
  }

  /** Streams tokens as they arrive; the final event is sent only after the answer has been recorded. */
  #stream(req: CallRequest, res: ServerResponse): Effect.Effect<undefined, CallError> {
    return Effect.gen({ self: this }, function* () {
      const delivered = new DeliveredTokens();
      const send = (text: string) => writeEvent(res, toChunk(req, { content: text }));
      const answer = this.#opts.router.call(req, ({ index, text }) => {
        if (delivered.accept(index, text)) send(text);
      });
      const complete = Effect.flatMap(answer, ({ turn }) => {
        const remainder = delivered.remainderOf(decodeModelResponse(turn.answer).content);
        if (remainder === undefined) return Effect.fail(streamBroken());
        if (remainder !== "") send(remainder);
        writeEvent(res, { ...toChunk(req, {}, "stop"), usage: usageOf(turn) });
        res.end("data: [DONE]\n\n");
        return Effect.succeed(undefined);
      });
      return yield* Effect.catch(complete, (err) => {
        if (!res.headersSent) return Effect.fail(err);
        writeEvent(res, { error: toProblemDetails(err) });
        res.end();
        return Effect.succeed(undefined);
      });
    });
  }

  #callService(customer: string, request: IHttpServerRequest): Effect.Effect<IHttpServerResponse, CallError> {
    return Effect.gen({ self: this }, function* () {
      const step = yield* readStep(request);
      const body = yield* checkJson(request.body);
      const { programId, service, operation } = request.params;
      const key = request.headers["idempotency-key"];
      const idempotencyKey = typeof key === "string" ? key : "";
      const value = { service, operation, body, idempotencyKey };
      const req = create(CallRequestSchema, { customer, programId, step, call: { case: "service", value } });
      const answer = yield* this.#opts.router.call(req, () => {});
      return { status: answer.turn.httpStatus, headers: answerHeaders(answer), body: answer.turn.answer };
    });
  }
}

function readStep({ headers }: IHttpServerRequest): Effect.Effect<number, CallError> {
  const step = Number(headers[STEP_HEADER]);
  if (Number.isInteger(step) && step >= 1 && step <= MAX_STEP) return Effect.succeed(step);
  return Effect.fail(
    badRequest(`the header ${STEP_HEADER} must be the number of the call in its program, from 1`),
  );
}

function streamBroken(): CallError {
  return new CallError(Reason.STREAM_BROKEN, {
    ran: Ran.RAN,
    retryAfterMs: 1,
    detail: "the tokens sent are not the beginning of the recorded answer; repeat the step to get it whole",
  });
}

function answerHeaders({ turn, isReplicatedOnly }: ICallResult): Record<string, string> {
  return { [STEP_HEADER]: String(turn.step), [DURABILITY_HEADER]: isReplicatedOnly ? "copies" : "journal" };
}

function writeEvent(res: ServerResponse, event: object): void {
  if (!res.headersSent) {
    res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
  }
  res.write(`data: ${JSON.stringify(event)}\n\n`);
}

function toChunk(
  { programId, step }: CallRequest,
  delta: object,
  finishReason: string | null = null,
): object {
  return {
    id: `${programId}-${step}`,
    object: "chat.completion.chunk",
    choices: [{ index: 0, delta, finish_reason: finishReason }],
  };
}

function toCompletion({ programId, step }: CallRequest, turn: Turn): object {
  const { content } = decodeModelResponse(turn.answer);
  return {
    id: `${programId}-${step}`,
    object: "chat.completion",
    created: Math.floor(Date.now() / MS_PER_SECOND),
    model: turn.target,
    choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: "stop" }],
    usage: usageOf(turn),
  };
}

function usageOf(turn: Turn): object {
  const { promptTokens, generatedTokens, cachedTokens } = decodeModelResponse(turn.answer);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: generatedTokens,
    total_tokens: promptTokens + generatedTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}

function describeProgram(
  { spec, turns, ended, settledTokens, settledCalls, grant }: ProgramSnapshot,
): object {
  const { programId, parentId, kind, deadlineMs, openedAtMs, budget } = spec as ProgramSpec;
  return {
    id: programId,
    parent: parentId,
    kind,
    deadline_ms: deadlineMs,
    opened_at_ms: openedAtMs,
    next_step: turns.length + 1,
    ended: ended === EndCause.UNSPECIFIED ? null : toKebabCase(EndCause[ended]),
    budget: { generated_tokens: budget?.generatedTokens, calls: budget?.calls, wall_ms: budget?.wallMs },
    spent: {
      generated_tokens: settledTokens + (grant?.burnedTokens ?? 0),
      calls: settledCalls + (grant?.burnedCalls ?? 0),
    },
  };
}

function describeTurn(turn: Turn): object {
  const common = { step: turn.step, target: turn.target, status: toKebabCase(TurnStatus[turn.status]) };
  if (turn.kind === CallKind.MODEL) {
    const messages = decodeMessages(turn.request).map(({ role, content }) => ({ role, content }));
    return { ...common, messages, answer: decodeModelResponse(turn.answer).content, usage: usageOf(turn) };
  }
  const decode = (bytes: Uint8Array) => new TextDecoder().decode(bytes);
  return {
    ...common,
    request: decode(turn.request),
    answer: decode(turn.answer),
    http_status: turn.httpStatus,
  };
}
