/** Requests that are passed to a backend server as they are: any method, path, headers and bytes. */
import type { Effect } from "effect";
import VError from "verror";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";

/** Part of a prompt that requests share. */
export interface IPromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request to a model engine says of its prompt. */
export interface IPromptInfo {
  readonly model: string;
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly maxTokens: number;
  /** Parts of the prompt in order; the last belongs to the request or its session alone. */
  readonly parts: readonly IPromptPart[];
}

/** The program that a request belongs to. */
export interface IProgramInfo {
  readonly programId: string;
  /** Line of turns within the program. */
  readonly lineId: string;
  /** Time left until the program should be finished, in ms. */
  readonly finishMs: number | undefined;
  /** Tokens that all turns of the program may generate; present for turns. */
  readonly budget: number | undefined;
  /** Turn that this one goes on from, on routes that keep history. */
  readonly previousTurnId: string | undefined;
}

export interface IOpaqueRequest {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Names and values in turn, as they are passed on; without what the system sets itself. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** How long the caller waits, in ms. */
  readonly deadlineMs: number | undefined;
  readonly lastEventId: string | undefined;
  /** Object that the request concerns. */
  readonly affinityKey: string | undefined;
  readonly prompt: IPromptInfo | undefined;
  readonly program: IProgramInfo | undefined;
}

/** What the system adds to a request for one backend server. */
export interface IDispatch {
  /** Time left to the caller, in ms. */
  readonly deadlineMs: number;
  /** Identity that the server must have to run the request. */
  readonly instanceId: string;
  /** Rank towards other requests on an engine, 0 first; undefined for plain services. */
  readonly urgency: number | undefined;
  /** Event after which a stream is to go on. */
  readonly lastEventId: string | undefined;
  /** Length of the body that is sent, in bytes; more than the caller's where history precedes it. */
  readonly bodyLength: number;
}

/** Head of a backend server's answer. */
export interface IAnswerHead {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** The request that the server says it answers. */
  readonly requestId: string | undefined;
  /** Whether the server says that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether the answer bears the server's signature, which a success must. */
  readonly isSigned: boolean;
}

export interface IRawRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Translates between headers on the wire and the types above. */
export interface ICallCodec {
  /** Undefined for a request without an identity. */
  readRequest(raw: IRawRequest): IOpaqueRequest | undefined;
  dispatchHeaders(req: IOpaqueRequest, dispatch: IDispatch): string[];
  readAnswer(status: number, headers: readonly string[]): IAnswerHead;
}

/** How far a request to a backend server came before it failed. */
export enum UpstreamFault {
  /** No connection; no byte of the request left. */
  NotSent = "not-sent",
  /** The connection ended, or brought something that is no answer to this request. */
  Broken = "broken",
  /** No sign within the time given. */
  Silent = "silent",
}

export class UpstreamError extends VError {
  readonly _tag = "UpstreamError";
  readonly fault: UpstreamFault;

  constructor(fault: UpstreamFault, cause?: Error) {
    super({ name: "UpstreamError", cause }, "backend server failed (%s)", fault);
    this.fault = fault;
  }
}

/** Body of an answer, read once. */
export interface IAnswerBody {
  /** Passes each piece on; succeeds at the end of a complete body. */
  read(onChunk: (chunk: Uint8Array) => void): Effect.Effect<void, UpstreamError>;
  /** Reads the rest for nothing, so that the connection can be used again. */
  drain(): void;
  /** Ends the connection without reading further. */
  discard(): void;
}

export interface IUpstreamAnswer {
  readonly head: IAnswerHead;
  readonly body: IAnswerBody;
}

export interface IUpstreamRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Sends requests to backend servers. */
export interface IUpstream {
  /** Succeeds with the head of the answer. Interruption ends the connection, so that the server stops. */
  send(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamAnswer, UpstreamError>;
}

/** Where an answer goes: the caller's connection. */
export interface IAnswerSink {
  /** Whether the head has been written. */
  readonly isBegun: boolean;
  /** Writes a whole answer. */
  whole(status: number, headers: readonly string[], body: Uint8Array): void;
  /** Writes the head of a stream. */
  begin(status: number, headers: readonly string[]): void;
  write(chunk: Uint8Array): void;
  end(): void;
  /** Breaks the connection off, so that what was written does not look complete. */
  abort(): void;
}
