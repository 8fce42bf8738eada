/** Encoding of turn contents: messages, responses and the history sent to an engine. */
import { create } from "@bufbuild/protobuf";
import { Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import type { Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { CallKind, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Message, ModelCall } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { MessageSchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Program } from "../../program/common/program_store.ts";

const CHARS_PER_TOKEN = 4;
const TOKENS_PER_MESSAGE = 4;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** The recorded response of a model call. */
export interface IModelResponse {
  readonly content: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

export function encodeMessages(messages: readonly Message[]): Uint8Array {
  return encoder.encode(JSON.stringify(messages.map(({ role, content }) => ({ role, content }))));
}

export function decodeMessages(bytes: Uint8Array): Message[] {
  const parsed = JSON.parse(decoder.decode(bytes)) as { role: string; content: string }[];
  return parsed.map((message) => create(MessageSchema, message));
}

export function encodeModelResponse(answer: IModelResponse): Uint8Array {
  return encoder.encode(JSON.stringify(answer));
}

export function decodeModelResponse(bytes: Uint8Array): IModelResponse {
  return JSON.parse(decoder.decode(bytes)) as IModelResponse;
}

/** Returns the history of a program: the messages and responses of its model calls. */
export function historyOf(program: Program): Message[] {
  return program.turns.filter(({ kind }) => kind === CallKind.MODEL).flatMap((turn) => [
    ...decodeMessages(turn.request),
    create(MessageSchema, { role: "assistant", content: decodeModelResponse(turn.answer).content }),
  ]);
}

/** A recorded model response as a single token; empty for other calls. */
export function answerTokens(turn: Turn): string[] {
  return turn.kind === CallKind.MODEL ? [decodeModelResponse(turn.answer).content] : [];
}

/** Estimates the number of tokens in messages, for checking the context limit and choosing an engine. */
export function estimateTokens(messages: readonly Message[]): number {
  const lengths = messages.map(({ content }) =>
    Math.ceil(content.length / CHARS_PER_TOKEN) + TOKENS_PER_MESSAGE
  );
  return lengths.reduce((sum, length) => sum + length, 0);
}

/**
 * Returns the messages that a call adds to the history. A call that sends the full history must repeat
 * the recorded history exactly.
 */
export function newMessages(program: Program, call: ModelCall): Effect.Effect<Message[], CallError> {
  if (!call.fullHistory) return Effect.succeed(call.messages);
  const history = historyOf(program);
  const isPrefix = history.every((message, index) => isSameMessage(message, call.messages[index]));
  const added = call.messages.slice(history.length);
  if (isPrefix && added.length > 0) return Effect.succeed(added);
  const detail = "the messages do not continue the program's recorded history";
  return Effect.fail(new CallError(Reason.HISTORY_CONFLICT, { detail, expectedStep: program.nextStep }));
}

function isSameMessage(a: Message, b: Message | undefined): boolean {
  return b !== undefined && a.role === b.role && a.content === b.content;
}
