/** Fingerprints of requests. */
import type { CallRequest, Message } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { hash64 } from "../../base/common/hash.ts";

/** Hash of a call's content as its caller sent it, to tell a repeated request from a different one. */
export function requestFingerprint(req: CallRequest): bigint {
  const { call } = req;
  if (call.case === "model") {
    const { model, messages, maxTokens } = call.value;
    return hash64(JSON.stringify([model, messages.map(({ role, content }) => [role, content]), maxTokens]));
  }
  if (call.case === "service") {
    const { service, operation, body, idempotencyKey } = call.value;
    return hash64(JSON.stringify([service, operation, new TextDecoder().decode(body), idempotencyKey]));
  }
  return 0n;
}

/** Hash of what an engine is given, whichever program it belongs to. */
export function promptFingerprint(model: string, messages: readonly Message[]): bigint {
  return hash64(JSON.stringify([model, messages.map(({ role, content }) => [role, content])]));
}

/** Hash of what a backend server of a plain service is given. */
export function servicePayloadFingerprint(target: string, body: Uint8Array): bigint {
  return hash64(JSON.stringify([target, new TextDecoder().decode(body)]));
}
