/** Parsing of callers' request bodies and their validation against JSON schemas. */
import type { ValidateFunction } from "ajv";
import { Ajv } from "ajv";
import { Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import { Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { ChatCompletionBody } from "../../services/settings/common/gen/chat_completion.ts";
import { CHAT_COMPLETION_SCHEMA } from "../../services/settings/common/gen/chat_completion.ts";
import type { OpenProgramBody } from "../../services/settings/common/gen/open_program.ts";
import { OPEN_PROGRAM_SCHEMA } from "../../services/settings/common/gen/open_program.ts";

const ajv = new Ajv({ useDefaults: true });
const validateOpenProgram = ajv.compile<OpenProgramBody>(OPEN_PROGRAM_SCHEMA);
const validateChatCompletion = ajv.compile<ChatCompletionBody>(CHAT_COMPLETION_SCHEMA);

export function parseOpenProgram(body: Uint8Array): Effect.Effect<OpenProgramBody, CallError> {
  return parse(body, validateOpenProgram);
}

export function parseChatCompletion(body: Uint8Array): Effect.Effect<ChatCompletionBody, CallError> {
  return parse(body, validateChatCompletion);
}

/** Returns the body unchanged if it is valid JSON, and fails otherwise. */
export function checkJson(body: Uint8Array): Effect.Effect<Uint8Array, CallError> {
  return Effect.as(parseJson(body), body);
}

function parse<T>(body: Uint8Array, validate: ValidateFunction<T>): Effect.Effect<T, CallError> {
  return Effect.flatMap(parseJson(body), (value) => {
    if (validate(value)) return Effect.succeed(value);
    return Effect.fail(badRequest(ajv.errorsText(validate.errors, { dataVar: "body" })));
  });
}

function parseJson(body: Uint8Array): Effect.Effect<unknown, CallError> {
  return Effect.try({
    try: () => JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(body)) as unknown,
    catch: () => badRequest("the body is not JSON"),
  });
}

export function badRequest(detail: string): CallError {
  return new CallError(Reason.BAD_REQUEST, { detail });
}
