/** Has other instances send requests to backend servers, over HTTP/1.1. */
import { Effect } from "effect";
import { endToEndHeaders } from "../../base/common/http_headers.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { describeSend, readVerdict, withoutForwardHeaders } from "../common/forward_headers.ts";
import type { ForwardResult, IForwardedSend, IForwardTransport } from "../common/forwarding.ts";
import { ForwardRefusal, ForwardRefusedError } from "../common/forwarding.ts";
import type { IRequestCodec, IResponseBody, IUpstreamResponse } from "../common/opaque_request.ts";
import { isNotSent, UpstreamError, UpstreamFault } from "../common/opaque_request.ts";
import { HttpUpstream } from "./http_upstream.ts";

/**
 * Each request has a connection of its own: one that an intermediary has forgotten would hang, and a request that
 * may not be repeated would be lost with it.
 */
export class HttpForwardTransport implements IForwardTransport {
  readonly #upstream: HttpUpstream;

  constructor(codec: IRequestCodec) {
    this.#upstream = new HttpUpstream(codec, { reusesConnections: false, requiresId: false });
  }

  send(address: string, send: IForwardedSend): ForwardResult {
    const { req } = send;
    const headers = [...req.headers, ...describeSend(send, Date.now())];
    const response = Effect.catchTag(
      this.#upstream.send(toEntry(address), { ...req, headers }),
      "UpstreamError",
      (err) =>
        Effect.fail(
          isNotSent(err)
            ? new ForwardRefusedError(ForwardRefusal.Unreachable, err)
            : new UpstreamError(UpstreamFault.PathLost, err),
        ),
    );
    return Effect.flatMap(response, (res) => readForwarded(res, req.requestId));
  }

  dispose(): void {
    this.#upstream.dispose();
  }
}

function readForwarded(response: IUpstreamResponse, requestId: string): ForwardResult {
  const { head, body } = response;
  const { refusal, fault, framing } = readVerdict(head);
  if (fault !== undefined) {
    body.drain();
    return Effect.fail(new UpstreamError(fault));
  }
  // A server's response always comes with its framing; any other is the instance's own, which has sent nothing.
  if (refusal !== undefined || framing === undefined) {
    body.drain();
    return Effect.fail(new ForwardRefusedError(refusal ?? ForwardRefusal.Unsupported));
  }
  if (head.requestId !== requestId) {
    body.discard();
    const err = new Error("response belongs to a different request");
    return Effect.fail(new UpstreamError(UpstreamFault.Invalid, err));
  }
  const forwardedBody: IResponseBody = {
    framing,
    get connectionError() {
      return body.connectionError;
    },
    read: (onChunk) => readBody(body, onChunk),
    drain: () => body.drain(),
    discard: () => body.discard(),
  };
  return Effect.succeed({
    head: { ...head, headers: withoutForwardHeaders(endToEndHeaders(head.headers)) },
    body: forwardedBody,
  });
}

/** A trailer says that the server's response broke off; a lost connection says nothing about the server. */
function readBody(
  body: IResponseBody,
  onChunk: (chunk: Uint8Array) => void,
): Effect.Effect<void, UpstreamError> {
  const read = Effect.mapError(
    body.read(onChunk),
    (err) => new UpstreamError(UpstreamFault.PathLost, err),
  );
  return Effect.flatMap(read, () => {
    const { fault } = readVerdict({ headers: body.trailers ?? [] });
    return fault === undefined ? Effect.void : Effect.fail(new UpstreamError(fault));
  });
}

function toEntry(address: string): IBackendEntry {
  const colon = address.lastIndexOf(":");
  return {
    id: address,
    service: "",
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
    zone: "",
    slots: 0,
    isDraining: false,
    startedAtMs: 0,
  };
}
