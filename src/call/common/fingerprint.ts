/** Content hashes of requests. */
import type { CallRequest, Message } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { hash64 } from "../../base/common/hash.ts";

/** Hashes a call's content as the caller sent it, to distinguish a retry from a different request. */
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

/** Hashes the content that an engine receives. The result does not depend on the program. */
export function promptFingerprint(model: string, messages: readonly Message[]): bigint {
  return hash64(JSON.stringify([model, messages.map(({ role, content }) => [role, content])]));
}

/** Hashes the content that a backend server of a plain service receives. */
export function servicePayloadFingerprint(target: string, body: Uint8Array): bigint {
  return hash64(JSON.stringify([target, new TextDecoder().decode(body)]));
}
