/** Checks of the reports of other instances. */
import type { LoadDigest, ServerAnswers } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  isUsableName,
  isUsableRun,
  isUsableStream,
  isUsableStrike,
  toUsableLimit,
} from "../../call/common/usable_messages.ts";
import type { ReportEvents } from "./report_events.ts";

/** Largest number of requests or answers in a report, of which the sum over all instances fits into the 32 bits of a message. */
const MAX_COUNT = 500_000;
/** Largest number of instances in a report, with the same property. */
const MAX_INSTANCES = 65_535;

/** A report with the usable part of its contents. */
export interface IUsableReport {
  readonly digest: LoadDigest;
  /** Number of events and loads that were left out. */
  readonly unusable: number;
}

/** Returns undefined for a report of an instance whose name is unusable. */
export function toUsableReport(digest: LoadDigest, now: number): IUsableReport | undefined {
  if (digest.instance !== "" && !isUsableName(digest.instance)) return undefined;
  const events: ReportEvents = {
    strikeChanges: digest.strikeChanges.filter(({ strike }) => isUsableStrike(strike, now)),
    prefixes: digest.prefixes.filter(({ partId, backendId }) => partId !== "" && isUsableName(backendId)),
    streams: digest.streams.filter((stream) => isUsableStream(stream, now)),
    leaving: digest.leaving.filter((run) => isUsableRun(run, now)),
    limits: digest.limits.filter((limit) => toUsableLimit(limit, now) !== undefined),
    latencySamples: digest.latencySamples,
    serverAnswers: digest.serverAnswers.filter((answers) => isUsableCount(answers, now)),
  };
  const loads = digest.loads.filter(({ backendId, running }) =>
    isUsableName(backendId) && running <= MAX_COUNT
  );
  const cutOffHosts = digest.cutOffHosts.filter(isUsableName);
  const usable = { ...digest, ...events, loads, cutOffHosts };
  const instanceCount = Math.min(digest.instanceCount, MAX_INSTANCES);
  return { digest: { ...usable, instanceCount }, unusable: countItems(digest) - countItems(usable) };
}

function isUsableCount({ run, answers, failures }: ServerAnswers, now: number): boolean {
  return isUsableRun(run, now) && answers <= MAX_COUNT && failures <= answers;
}

function countItems(digest: LoadDigest): number {
  const { loads, cutOffHosts, strikeChanges, prefixes, streams, leaving, limits, serverAnswers } = digest;
  return [loads, cutOffHosts, strikeChanges, prefixes, streams, leaving, limits, serverAnswers]
    .reduce((sum, items) => sum + items.length, 0);
}
