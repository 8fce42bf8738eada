/** Conversion between call errors and their protocol buffer messages. */
import { create } from "@bufbuild/protobuf";
import { CallError } from "../../base/common/errors.ts";
import type { Failure } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { FailureSchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";

export function toFailure({ reason, ran, retryAfterMs, detail, expectedStep }: CallError): Failure {
  return create(FailureSchema, { reason, ran, retryAfterMs, detail, expectedStep });
}

export function toCallError({ reason, ran, retryAfterMs, detail, expectedStep }: Failure): CallError {
  return new CallError(reason, { ran, retryAfterMs, detail, expectedStep });
}
