/** Messages of the reports between instances. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create } from "@bufbuild/protobuf";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { LoadDigestSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { ServerLoads } from "./report_contents.ts";

/** Interval between the messages from and to aggregators while there is something to report. */
export const AGGREGATED_INTERVAL_MS = 150;

/** A message to some instances. */
export interface IOutgoingReport {
  /** Hosts. */
  readonly recipients: readonly string[];
  readonly digest: LoadDigest;
}

type DigestFields = Omit<MessageInitShape<typeof LoadDigestSchema>, "$typeName" | "loads">;

export function makeDigest(loads: ServerLoads, fields: DigestFields): LoadDigest {
  const running = [...loads].filter(([, running]) => running > 0)
    .map(([backendId, running]) => ({ backendId, running }));
  return create(LoadDigestSchema, { ...fields, loads: running });
}

/** Makes a message that contains events only. */
export function makeEventDigest(events: Omit<DigestFields, "instance">): LoadDigest {
  return create(LoadDigestSchema, events);
}

/** Has instances forget what one has last reported, so that its load is not counted twice. */
export function makeFarewell(
  recipients: readonly string[],
  { kind, instance }: { kind: ReportKind; instance: string },
): IOutgoingReport {
  return { recipients, digest: create(LoadDigestSchema, { kind, instance, instanceCount: 0 }) };
}
