/** Conversion of server limits to and from the messages that instances exchange. */
import { create } from "@bufbuild/protobuf";
import type { ServerLimit } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ServerLimitSchema, ServerRunSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IServerLimit } from "../../services/backends/common/server_limits.ts";

export function toLimitMessage({ run, perSecond, ageMs }: IServerLimit): ServerLimit {
  return create(ServerLimitSchema, { run: create(ServerRunSchema, run), perSecond, ageMs });
}

/** Returns undefined for a message without a server. */
export function fromLimitMessage(message: ServerLimit | undefined): IServerLimit | undefined {
  if (message?.run === undefined) return undefined;
  const { run: { backendId, startedAtMs }, perSecond, ageMs } = message;
  return { run: { backendId, startedAtMs }, perSecond, ageMs };
}
