/** Headers that two instances exchange when one sends a request for the other. */
import { fromHeaderValue, toHeaderValue } from "../../base/common/http_headers.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IForwardedSend } from "./forwarding.ts";
import { ForwardRefusal } from "./forwarding.ts";
import type { IResponseBody, IResponseHead } from "./opaque_request.ts";
import { BodyFraming, UpstreamFault } from "./opaque_request.ts";

const PREFIX = "x-forward-";
/** Id of the backend server that the request is for. */
export const SERVER_HEADER = `${PREFIX}server`;
const STARTED_AT_HEADER = `${PREFIX}server-started-at`;
const REQUEST_ID_HEADER = `${PREFIX}request-id`;
const PERMIT_HEADER = `${PREFIX}permit`;
/** Time until the sender gives the request up, in ms. */
const TIMEOUT_HEADER = `${PREFIX}timeout`;
const FRAMING_HEADER = `${PREFIX}framing`;
const REFUSED_HEADER = `${PREFIX}refused`;
/** In a response's head or trailers: how the request failed at the server. */
const FAULT_HEADER = `${PREFIX}fault`;

/** The send that a request's headers describe. */
export interface IForwardDescription {
  readonly serverId: string;
  readonly startedAtMs: number;
  readonly requestId: string;
  readonly hasPermit: boolean;
  /** Undefined if the sender does not state it, as old builds do not. */
  readonly timeoutMs: number | undefined;
}

/** What the response of a forwarding instance says beside the server's response. */
export interface IForwardVerdict {
  readonly refusal: ForwardRefusal | undefined;
  readonly fault: UpstreamFault | undefined;
  readonly framing: BodyFraming | undefined;
}

export function describeSend({ backend, req, hasPermit }: IForwardedSend, now: number): string[] {
  const { id, startedAtMs }: IBackendEntry = backend;
  const headers = [SERVER_HEADER, toHeaderValue(id), STARTED_AT_HEADER, String(startedAtMs)];
  headers.push(REQUEST_ID_HEADER, req.requestId);
  if (hasPermit) headers.push(PERMIT_HEADER, "1");
  if (req.deadlineAtMs !== undefined) {
    headers.push(TIMEOUT_HEADER, String(Math.round(req.deadlineAtMs - now)));
  }
  return headers;
}

/** Returns undefined if the headers describe no send. */
export function readDescription(headers: readonly string[]): IForwardDescription | undefined {
  const serverId = valueOf(headers, SERVER_HEADER);
  const requestId = valueOf(headers, REQUEST_ID_HEADER);
  const startedAtMs = Number(valueOf(headers, STARTED_AT_HEADER));
  const timeoutMs = Number(valueOf(headers, TIMEOUT_HEADER) ?? NaN);
  if (serverId === undefined || requestId === undefined || !Number.isFinite(startedAtMs)) return undefined;
  return {
    serverId: fromHeaderValue(serverId),
    startedAtMs,
    requestId,
    hasPermit: valueOf(headers, PERMIT_HEADER) === "1",
    timeoutMs: Number.isFinite(timeoutMs) ? timeoutMs : undefined,
  };
}

export function describeRefusal(refusal: ForwardRefusal): string[] {
  return [REFUSED_HEADER, refusal];
}

export function describeFault(fault: UpstreamFault): string[] {
  return [FAULT_HEADER, fault];
}

/** A forwarded body is in chunks, so that trailers can follow. Its original framing goes into a header. */
export function describeFraming({ framing }: Pick<IResponseBody, "framing">): string[] {
  return [FRAMING_HEADER, framing];
}

/** Announces that a fault may follow the body. */
export function announceFaultTrailer(): string[] {
  return ["Trailer", FAULT_HEADER];
}

export function readVerdict({ headers }: Pick<IResponseHead, "headers">): IForwardVerdict {
  return {
    refusal: memberOf(ForwardRefusal, valueOf(headers, REFUSED_HEADER)),
    fault: memberOf(UpstreamFault, valueOf(headers, FAULT_HEADER)),
    framing: memberOf(BodyFraming, valueOf(headers, FRAMING_HEADER)),
  };
}

/** Removes the headers of this module. */
export function withoutForwardHeaders(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    if (!headers[i].toLowerCase().startsWith(PREFIX)) kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}

function valueOf(headers: readonly string[], name: string): string | undefined {
  for (let i = 0; i < headers.length; i += 2) if (headers[i].toLowerCase() === name) return headers[i + 1];
  return undefined;
}

function memberOf<T extends string>(values: Record<string, T>, text: string | undefined): T | undefined {
  return Object.values(values).find((value) => value === text);
}
